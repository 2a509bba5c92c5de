use {
    crate::{
        args::Explain,
        logs::{Line, Logs},
        FAULTY,
    },
    anyhow::Result,
    std::{collections::BTreeSet, fmt::Write as _, time::Duration},
};

/// How long before a request's first line what its targets and dependencies did may explain it.
const BEFORE: Duration = Duration::from_secs(10);
/// The same after its last line: a crash is found out a little later.
const AFTER: Duration = Duration::from_secs(2);

/// Prints the story of one request.
///
/// # Errors
/// If the logs can't be read.
pub fn explain(args: &Explain) -> Result<i32> {
    let logs = Logs::read(&args.logs)?;
    let Some(story) = story(&logs, &args.id) else {
        eprintln!("no line names request {:?}; {} lines were left out", args.id, logs.left_out);
        return Ok(FAULTY);
    };
    print!("{story}");
    Ok(0)
}

/// The story of one request in time order, with what else happened to what it met; `None` if no
/// line names it.
pub fn story(logs: &Logs, id: &str) -> Option<String> {
    let own: Vec<&Line> = logs.lines.iter().filter(|l| l.field("id") == Some(id)).collect();
    let (first, last) = (own.first()?, own.last()?);
    let targets: BTreeSet<&str> = ["decode", "prefill", "at"]
        .iter()
        .flat_map(|name| own.iter().filter_map(|l| l.field(name)))
        .filter(|t| *t != "-")
        .collect();
    let instances: BTreeSet<&str> = own.iter().map(|l| l.instance.as_str()).collect();
    let near = |l: &&Line| l.since(first.at) <= last.since(first.at) + AFTER;
    let recent = |l: &&Line| l.at >= first.at - BEFORE;
    let about = |l: &&Line| about(l, &targets, &instances);
    let around = logs.lines.iter().filter(recent).filter(near).filter(about);
    let mut all: Vec<(&Line, &str)> = own.iter().map(|l| (*l, ">")).collect();
    all.extend(around.map(|l| (l, " ")));
    all.sort_by_key(|(l, _)| l.at);
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = writeln!(text, "request {id}, first seen {} by {}", first.at, first.instance);
    for (line, mark) in all {
        let at = (line.at - first.at).as_seconds_f64();
        let _ = writeln!(text, "{mark} {at:+8.3} s  {}  {}", line.instance, line.message);
    }
    let _ = writeln!(text, "end: {}", end(&own));
    if logs.left_out > 0 {
        let _ = writeln!(text, "{} lines were left out of these logs", logs.left_out);
    }
    Some(text)
}

/// Whether a line tells of a target of the request, or of its instance's dependencies.
fn about(line: &Line, targets: &BTreeSet<&str>, instances: &BTreeSet<&str>) -> bool {
    let target = line.field("target").or(line.field("engine"));
    let named = target.is_some_and(|t| targets.contains(t));
    let named =
        named || line.part() == "control" && targets.iter().any(|t| line.message.contains(t));
    let beliefs = ["directory: lost", "directory: regained", "routes:", "daemon:", "control: cell"];
    let here = instances.contains(line.instance.as_str());
    named || here && target.is_none() && beliefs.iter().any(|b| line.message.starts_with(b))
}

/// How a request ended, in a sentence.
fn end(own: &[&Line]) -> String {
    if let Some(line) = own.iter().rfind(|l| l.part() == "front") {
        let (kind, status) = (line.field("kind"), line.field("status").unwrap_or("?"));
        let why = kind.and_then(meaning).unwrap_or("see the lines");
        return format!("answered {status} by the instance: {why}");
    }
    let Some(line) = own.iter().rfind(|l| l.part() == "run") else { return "not known".into() };
    match () {
        () if line.says("cut") => {
            let why = line.field("why").unwrap_or("");
            let kind = why.split(':').next().and_then(meaning);
            format!("broke off after {} events: {}", events(line), kind.unwrap_or(why))
        }
        () if line.says("left") => format!("the caller left after {} events", events(line)),
        () => match line.field("status") {
            Some(status) if line.field("late") == Some("yes") => {
                format!("answered {status} by a target, later than its objective")
            }
            Some(status) => format!("answered {status} by a target"),
            None => {
                "no end is logged: it was in work when the log ends, or lines are missing".into()
            }
        },
    }
}

fn events(line: &Line) -> u64 {
    line.number("events").unwrap_or(0)
}

/// What a kind of error means for whoever looks for its cause.
fn meaning(kind: &str) -> Option<&'static str> {
    Some(match kind {
        "no-capacity" => "nothing was sent, the queues were too long; it may come back",
        "no-target" => "nothing ran, no target was open for it; see breaker and directory lines",
        "not-ready" => "nothing was sent, the instance did not know the routes yet",
        "stopping" => "nothing was sent, the instance was stopping",
        "no-route" => "no route of the configuration in force fits",
        "quarantined" => "not sent again, it has crashed two targets",
        "target-lost" => "a target broke the connection after it was sent: it may have run",
        "target-timeout" => "its time ended before the target was done",
        "bad-answer" => "a target's answer was broken or a failure",
        "too-large" => "its body is larger than the configuration allows",
        "bad-request" => "it is malformed or did not come whole",
        _ => return None,
    })
}
