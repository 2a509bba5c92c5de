//! `lentilctl`, the operator's command line: edits the manifest, shows the state of instances and
//! analyses their logs. It never sends orders to engines.

pub mod args;
pub mod commands;
pub mod logs;
pub mod queries;

use {anyhow::Result, args::Command};

/// Exit code for an invalid manifest, or a request that is not in the logs.
pub const INVALID_EXIT_CODE: i32 = 2;
/// Exit code for a conflict: the manifest in the store is not the one that an edit is based on.
pub const CONFLICT_EXIT_CODE: i32 = 3;

/// Runs one command and returns the exit code.
///
/// # Errors
/// Any failure of the command, with a message for the operator.
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
        Command::Instances(args) => queries::instances(&args).await,
        Command::Apply(args) => commands::apply(&args).await,
    }
}
