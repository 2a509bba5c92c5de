//! Plays a case of the review: `drill CASE RECORD`, where TROUBLE=0 leaves out the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod crowd;
mod holders;
mod http;
mod instance;
mod json;
mod poison;
mod record;
mod runner;
mod slow;
mod store;

use std::{path::PathBuf, process::exit};

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: drill CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(&path);
    let scratch = std::env::temp_dir().join(format!("drill-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let play = || match case.as_str() {
        "holders" => holders::play(&record, &scratch, trouble),
        "poison" => poison::play(&record, &scratch, trouble),
        "crowd" => crowd::play(&record, &scratch, trouble),
        "slow" => slow::play(&record, &scratch, trouble),
        _ => Err(format!("no case is called {case:?}")),
    };
    // A stand-in that fails ends its processes and says nothing of the rule.
    let broken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play))
        .unwrap_or_else(|_| Err("a stand-in has failed".into()));
    if std::env::var("KEEP").is_err() {
        // What is left behind in the temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let code = match broken {
        Ok(broken) => i32::from(broken),
        Err(text) => {
            record.line(&format!("the case couldn't run: {text}"));
            eprintln!("{text}");
            2
        }
    };
    exit(code);
}
