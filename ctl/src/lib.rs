//! The operator's command line. It edits the manifest and shows state; it gives no orders to
//! engines.

pub mod args;
pub mod commands;
pub mod logs;
pub mod queries;

use {anyhow::Result, args::Command};

/// Exit code of a check that found faults.
pub const FAULTY: i32 = 2;
/// Exit code of an edit that lost against another.
pub const CONFLICT: i32 = 3;

/// Runs one command and gives the exit code.
///
/// # Errors
/// What went wrong, for people.
pub async fn run(command: Command) -> Result<i32> {
    match command {
        Command::Check(args) => queries::check(&args),
        Command::Key(args) => queries::key(&args),
        Command::Get(args) => queries::get(&args).await,
        Command::Diff(args) => queries::diff(&args).await,
        Command::History(args) => queries::history(&args).await,
        Command::Explain(args) => queries::explain(&args),
        Command::Burn(args) => queries::burn(&args),
        Command::Status(args) => queries::status(&args).await,
        Command::Apply(args) => commands::apply(&args).await,
    }
}
