use {
    super::callers::{Exchange, RouteKind},
    crate::platform::{event, split_software, Message, POISON, STREAM_EVENTS, TAINTED_PART},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Minimum share of the requests after the last fault that must be served.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Time after the third crash under a request from which its resends count.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Most such resends that may reach targets.
const MAX_LATE_RESENDS: usize = 3;

/// Time from a target's first answer that it is leaving, until when no instance sends it requests: the
/// bound of the platform, and the time in which the others hear of it.
const LEAVING_TIME: Duration = Duration::from_millis(3_000);
/// Time after a limit was announced from which it is checked.
const LIMIT_WINDOW: Duration = Duration::from_secs(3);
/// Span in which requests to a limited target are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Requests allowed in a span: this multiple of what the limit allows, and a number besides.
const LIMIT_RATIO: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Returns a line for each stream with events of several software versions, in one answer or over its
/// caller's tries.
fn check_software(history: &[Exchange]) -> Vec<String> {
    let mut streams: HashMap<&str, BTreeSet<String>> = HashMap::new();
    for exchange in history {
        let Some(response) = exchange.response.as_ref().filter(|r| r.status() == 200) else {
            continue;
        };
        let stream = exchange.resumes.as_deref().unwrap_or(&exchange.id);
        let text = response.text();
        let software = split_software(&text).1.into_iter().map(str::to_owned);
        streams.entry(stream).or_default().extend(software);
    }
    let mixed = streams.into_iter().filter(|(_, software)| software.len() > 1);
    mixed.map(|(stream, software)| format!("stream {stream} has events of {software:?}")).collect()
}

/// Returns a violation if a request that crashes targets was sent to them for too long;
/// `poisonings` says when it reached targets, in order.
pub fn check_poison(poisonings: &[Instant]) -> Option<String> {
    let third = *poisonings.get(2)?;
    let late = poisonings.iter().filter(|t| **t > third + STABLE_WINDOW).count();
    (late > MAX_LATE_RESENDS).then(|| {
        format!("{late} late resends of {} of a request that crashes targets", poisonings.len())
    })
}

/// Returns a violation if requests that share a part which crashes targets were sent to them for too
/// long; `taintings` says when they reached targets, in order.
pub fn check_tainted(taintings: &[Instant]) -> Option<String> {
    let fifth = *taintings.get(4)?;
    let late = taintings.iter().filter(|t| **t > fifth + STABLE_WINDOW).count();
    (late > MAX_LATE_RESENDS).then(|| {
        format!("{late} late requests of {} with a part that crashes targets", taintings.len())
    })
}

/// Returns a violation if a target that announces `limit` since `announced` got far more requests.
pub fn check_limit(arrivals: &[Instant], limit: f64, announced: Instant) -> Option<String> {
    let due: Vec<Instant> =
        arrivals.iter().copied().filter(|a| *a >= announced + LIMIT_WINDOW).collect();
    let within = |i: usize| due[i..].iter().take_while(|a| **a < due[i] + LIMIT_SPAN).count();
    let most = (0..due.len()).map(within).max().unwrap_or(0);
    let allowed = LIMIT_RATIO * limit * LIMIT_SPAN.as_secs_f64() + LIMIT_SLACK;
    (most as f64 > allowed)
        .then(|| format!("{most} requests in 4 s at a target with a limit of {limit}/s"))
}

/// Returns a violation if requests reached a target that had told the instances in its answers, from
/// `announced` on, that it is leaving. All instances get an answer, or hear of it, in this time.
pub fn check_leaving(arrivals: &[Instant], announced: Instant) -> Option<String> {
    let late = arrivals.iter().filter(|a| **a > announced + LEAVING_TIME).count();
    (late > 0).then(|| format!("{late} requests at a target that had said that it is leaving"))
}

/// Compares what callers received with what targets ran; returns a line for each violation.
///
/// Requests from index `recovered` on ended after the last fault.
pub fn check(history: &[Exchange], runs: &[Message], recovered: usize) -> Vec<String> {
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *run_counts.entry(run.header("request-id").unwrap_or("")).or_default() += 1;
    }
    let mut violations: Vec<String> = Vec::new();
    for exchange in history {
        let run_count = run_counts.get(exchange.id.as_str()).copied().unwrap_or(0);
        violations.extend(check_exchange(exchange, run_count));
    }
    let known: std::collections::HashSet<&str> = history.iter().map(|e| e.id.as_str()).collect();
    for run in runs.iter().filter(|run| ![POISON, TAINTED_PART].contains(&run.text().as_str())) {
        let id = run.header("request-id").unwrap_or("");
        if !known.contains(id) || run.text() != id {
            violations.push(format!(
                "a target ran {id:?} with body {:?}, which no caller sent",
                run.text()
            ));
        }
    }
    violations.extend(check_software(history));
    let last = &history[recovered..];
    let served = last.iter().filter(|e| is_served(e)).count();
    if (served as f64) < last.len() as f64 * MIN_SERVED_SHARE || last.is_empty() {
        violations
            .push(format!("after the last fault {served} of {} requests were served", last.len()));
    }
    violations
}

/// Whether a request got a complete response with status 200.
pub fn is_served(exchange: &Exchange) -> bool {
    exchange.response.as_ref().is_some_and(|r| r.status() == 200 && r.complete)
}

/// Returns the first violation of a request that targets ran `run_count` times.
fn check_exchange(exchange: &Exchange, run_count: usize) -> Option<String> {
    let (id, kind) = (&exchange.id, exchange.kind);
    let run_once = matches!(kind, RouteKind::NonIdempotent | RouteKind::NonResumableStream);
    if run_once && run_count > 1 {
        return Some(format!("{kind:?} {id} ran {run_count} times"));
    }
    let response = exchange.response.as_ref()?;
    let status = response.status();
    if run_once && [429, 503, 408, 421].contains(&status) && run_count > 0 {
        return Some(format!(
            "{kind:?} {id} ran, but its response ({status}) says that it did not"
        ));
    }
    if response.header("request-id").is_some_and(|other| other != id) {
        return Some(format!("{kind:?} {id} got the response to another request"));
    }
    if status != 200 {
        return None;
    }
    if response.header("response-seal").is_none() {
        return Some(format!("{kind:?} {id} got a successful response without a seal"));
    }
    match kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            check_body(response, id).map(|e| format!("{kind:?} {id} {e}"))
        }
        RouteKind::ResumableStream | RouteKind::NonResumableStream => {
            check_stream(response, 0).map(|e| format!("{kind:?} {id} {e}"))
        }
        RouteKind::ResumedStream(after) => {
            check_stream(response, after).map(|e| format!("{kind:?} {id} {e}"))
        }
    }
}

fn check_body(response: &Message, id: &str) -> Option<String> {
    let text = response.text();
    let own = text.ends_with(&format!(" ran {id}")) || text == "once";
    (response.complete && !own).then(|| format!("got the body {text:?}"))
}

/// Checks a stream of which the caller has the events up to `after`.
fn check_stream(response: &Message, after: u64) -> Option<String> {
    let text = response.text();
    let text = split_software(&text).0;
    let events = |last: u64| (after + 1..=last).map(event).collect::<String>();
    let is_prefix = (after..=STREAM_EVENTS).any(|n| text == events(n));
    // Some behaviors of the fake target send a plain body on streaming routes too.
    let is_plain = !text.starts_with("id:") && !text.is_empty();
    match (response.complete, is_plain) {
        (_, true) => None,
        (true, _) if text != events(STREAM_EVENTS) => {
            Some(format!("ended as complete with {text:?}"))
        }
        (false, _) if !is_prefix => Some(format!("was interrupted after {text:?}")),
        _ => None,
    }
}
