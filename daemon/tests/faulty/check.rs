use {
    super::callers::{Asked, Kind},
    crate::platform::{all_events, event, Message, STREAM_EVENTS},
    std::collections::HashMap,
};

/// Part of the requests after the last fault that must be served.
const SERVED: f64 = 0.95;

/// What the history of a run breaks of the promises.
pub fn check(history: &[Asked], runs: &[Message], calm: usize) -> Vec<String> {
    let mut ran: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *ran.entry(run.header("request-id").unwrap_or("")).or_default() += 1;
    }
    let mut found: Vec<String> = Vec::new();
    for asked in history {
        let times = ran.get(asked.id.as_str()).copied().unwrap_or(0);
        found.extend(one(asked, times));
    }
    let known: std::collections::HashSet<&str> = history.iter().map(|a| a.id.as_str()).collect();
    for run in runs {
        let id = run.header("request-id").unwrap_or("");
        if !known.contains(id) || run.text() != id {
            found
                .push(format!("a target ran {id:?} with body {:?}, which nobody sent", run.text()));
        }
    }
    let after = &history[calm..];
    let served = after.iter().filter(|a| is_served(a)).count();
    if (served as f64) < after.len() as f64 * SERVED || after.is_empty() {
        found
            .push(format!("after the last fault {served} of {} requests were served", after.len()));
    }
    found
}

/// Whether a request was answered whole.
pub fn is_served(asked: &Asked) -> bool {
    asked.answer.as_ref().is_some_and(|a| a.status() == 200 && a.complete)
}

fn one(asked: &Asked, times: usize) -> Option<String> {
    let (id, kind) = (&asked.id, asked.kind);
    let once = matches!(kind, Kind::Once | Kind::Firm);
    if once && times > 1 {
        return Some(format!("{kind:?} {id} ran {times} times"));
    }
    let answer = asked.answer.as_ref()?;
    let status = answer.status();
    if once && [429, 503, 408, 421].contains(&status) && times > 0 {
        return Some(format!("{kind:?} {id} was said not to have run, and ran"));
    }
    if answer.header("request-id").is_some_and(|other| other != id) {
        return Some(format!("{kind:?} {id} got an answer to another request"));
    }
    if status != 200 {
        return None;
    }
    if answer.header("response-seal").is_none() {
        return Some(format!("{kind:?} {id} got a success without a seal"));
    }
    match kind {
        Kind::Safe | Kind::Once => body(answer, id).map(|e| format!("{kind:?} {id} {e}")),
        Kind::Stream | Kind::Firm => stream(answer).map(|e| format!("{kind:?} {id} {e}")),
    }
}

fn body(answer: &Message, id: &str) -> Option<String> {
    let text = answer.text();
    let own = text.ends_with(&format!(" ran {id}")) || text == "once";
    (answer.complete && !own).then(|| format!("got the body {text:?}"))
}

fn stream(answer: &Message) -> Option<String> {
    let text = answer.text();
    let prefix = (0..=STREAM_EVENTS).any(|n| text == (1..=n).map(event).collect::<String>());
    // One target's stand-in answers streams with a plain body when it is told to.
    let plain = !text.starts_with("id:") && !text.is_empty();
    match (answer.complete, plain) {
        (_, true) => None,
        (true, _) if text != all_events() => Some(format!("ended as whole with {text:?}")),
        (false, _) if !prefix => Some(format!("broke off with {text:?}")),
        _ => None,
    }
}
