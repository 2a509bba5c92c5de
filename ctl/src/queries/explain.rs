use {
    crate::{
        args::Explain,
        logs::{Line, Logs},
        INVALID_EXIT_CODE,
    },
    anyhow::Result,
    std::{collections::BTreeSet, fmt::Write as _, time::Duration},
};

/// Time before a request's first line from which events of its targets and instances are shown.
const CONTEXT_BEFORE: Duration = Duration::from_secs(10);
/// Time after a request's last line up to which such events are shown; a crash is detected with
/// some delay.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);

/// Prints what happened to one request.
///
/// # Errors
/// If the logs cannot be read.
pub fn explain(args: &Explain) -> Result<i32> {
    let logs = Logs::read(&args.logs)?;
    let Some(text) = request_timeline(&logs, &args.id) else {
        eprintln!("no line names request {:?}; {} lines were left out", args.id, logs.left_out);
        return Ok(INVALID_EXIT_CODE);
    };
    print!("{text}");
    Ok(0)
}

/// Describes one request in time order, with events of its targets and instances around that time;
/// `None` if no line names the request.
pub fn request_timeline(logs: &Logs, id: &str) -> Option<String> {
    let own: Vec<&Line> = logs.lines.iter().filter(|l| l.field("id") == Some(id)).collect();
    let (first, last) = (own.first()?, own.last()?);
    let targets: BTreeSet<&str> = ["decode", "prefill", "at", "to"]
        .iter()
        .flat_map(|name| own.iter().filter_map(|l| l.field(name)))
        .filter(|t| *t != "-")
        .collect();
    let instances: BTreeSet<&str> = own.iter().map(|l| l.instance.as_str()).collect();
    let not_late = |l: &&Line| l.since(first.at) <= last.since(first.at) + CONTEXT_AFTER;
    let not_early = |l: &&Line| l.at >= first.at - CONTEXT_BEFORE;
    let related = |l: &&Line| is_related(l, &targets, &instances);
    let context = logs.lines.iter().filter(not_early).filter(not_late).filter(related);
    let mut all: Vec<(&Line, &str)> = own.iter().map(|l| (*l, ">")).collect();
    all.extend(context.map(|l| (l, " ")));
    all.sort_by_key(|(l, _)| l.at);
    let mut text = String::new();
    // Writing to a string cannot fail.
    let workspace = own.iter().find_map(|l| l.field("workspace"));
    let workspace = workspace.map_or_else(String::new, |w| format!(" of workspace {w}"));
    let _ =
        writeln!(text, "request {id}{workspace}, first seen {} by {}", first.at, first.instance);
    for (line, mark) in all {
        let at = (line.at - first.at).as_seconds_f64();
        let _ = writeln!(text, "{mark} {at:+8.3} s  {}  {}", line.instance, line.message);
    }
    let _ = writeln!(text, "end: {}", describe_end(&own));
    if logs.left_out > 0 {
        let _ = writeln!(text, "{} lines were left out of these logs", logs.left_out);
    }
    Some(text)
}

/// Returns whether a line concerns a target of the request, or the state of an instance that
/// handled it.
fn is_related(line: &Line, targets: &BTreeSet<&str>, instances: &BTreeSet<&str>) -> bool {
    let target = line.field("target").or(line.field("engine"));
    let named = target.is_some_and(|t| targets.contains(t));
    let named =
        named || line.part() == "control" && targets.iter().any(|t| line.message.contains(t));
    let state_changes =
        ["directory: lost", "directory: regained", "routes:", "daemon:", "control: cell", "reach:"];
    let same_instance = instances.contains(line.instance.as_str());
    named
        || same_instance
            && target.is_none()
            && state_changes.iter().any(|b| line.message.starts_with(b))
}

/// Describes how a request ended.
fn describe_end(own: &[&Line]) -> String {
    if let Some(line) = own.iter().rfind(|l| l.part() == "front") {
        let (kind, status) = (line.field("kind"), line.field("status").unwrap_or("?"));
        let why = kind.and_then(kind_meaning).unwrap_or("see the lines");
        return format!("answered {status} by the instance: {why}");
    }
    let Some(line) = own.iter().rfind(|l| l.part() == "run") else { return "not known".into() };
    match () {
        () if line.has_word("cut") => {
            let why = line.field("why").unwrap_or("");
            let kind = why.split(':').next().and_then(kind_meaning);
            format!("broke off after {} events: {}", events(line), kind.unwrap_or(why))
        }
        () if line.has_word("left") => format!("the caller left after {} events", events(line)),
        () => match line.field("status") {
            Some(status) if line.field("late") == Some("yes") => {
                format!("answered {status} by a target, later than its objective")
            }
            Some(status) => format!("answered {status} by a target"),
            None => {
                "no end is logged: it was still running when the log ended, or lines are missing"
                    .into()
            }
        },
    }
}

fn events(line: &Line) -> u64 {
    line.number("events").unwrap_or(0)
}

/// Explains an error kind to the operator; `None` if the kind is unknown.
fn kind_meaning(kind: &str) -> Option<&'static str> {
    Some(match kind {
        "no-capacity" => "nothing was sent, the queues were too long; the caller may retry",
        "no-target" => "nothing ran, no target was open for it; see breaker and directory lines",
        "not-ready" => {
            "nothing was sent, the instance did not know the routes yet, had read the keys too long \
             ago, or reached no target"
        }
        "over-share" => "nothing was sent, its workspace used more than its share; the caller may retry",
        "no-caller" => "nothing was sent, it had no known key",
        "stopping" => "nothing was sent, the instance was stopping",
        "no-route" => "no route of the configuration in force matches it",
        "quarantined" => "not sent again, it has crashed two targets",
        "target-lost" => "a target closed the connection after it was sent: it may have run",
        "target-timeout" => "its deadline passed before the target had finished",
        "bad-answer" => "a target's response was malformed or an error",
        "too-large" => "its body is larger than the configuration allows",
        "bad-request" => "it is malformed or was not received completely",
        _ => return None,
    })
}
