//! Stand-ins of the platform, its runners, its clients and its operator, and the cases that use them.

mod apart;
mod deployment;
mod http;
mod json;
mod lost_path;
mod moved_stream;
mod other_caller;
mod other_host;
mod poison;
mod proxy;
mod quarantine;
mod runner;
mod silent_watch;
mod split_stream;
mod store;
mod store_drill;
mod streams;
mod uploads;

use std::process::exit;

/// How a case ended; the value is the exit code of its script.
pub enum End {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [case, rest @ ..] = args.as_slice() else { exit(2) };
    let folder = rest.first().map_or(".", String::as_str);
    let end = match case.as_str() {
        "runner" => return runner::run(rest),
        "poison" => poison::run(folder, trouble),
        "quarantine" => quarantine::run(folder, trouble),
        "silent-watch" => silent_watch::run(folder, trouble),
        "moved-stream" => moved_stream::run(folder, trouble),
        "split-stream" => split_stream::run(folder, trouble),
        "apart" => apart::run(folder, trouble),
        "lost-path" => lost_path::run(folder, trouble),
        "other-caller" => other_caller::run(folder, trouble),
        "other-host" => other_host::run(folder, trouble),
        "uploads" => uploads::run(folder, trouble),
        "store-drill" => store_drill::run(folder, trouble),
        _ => End::NotRun,
    };
    exit(end as i32);
}
