//! Command-line arguments.

use {
    argh::FromArgs,
    lentil_core::ids::Revision,
    std::{net::SocketAddr, path::PathBuf},
};

/// Edits the manifest of a lentilgrade deployment, shows its state and analyses its logs.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands of `lentilctl`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Validates a manifest file.
    Check(Check),
    /// Hashes a bearer key.
    Key(Key),
    /// Prints the manifest in the store.
    Get(Get),
    /// Compares a manifest file with the manifest in the store.
    Diff(Diff),
    /// Writes a manifest to the store.
    Apply(Apply),
    /// Shows the latest edits of the manifest.
    History(History),
    /// Shows the state of instances.
    Status(Status),
    /// Shows the builds of all instances.
    Instances(Instances),
    /// Explains one request from the logs.
    Explain(Explain),
    /// Reports how far the objectives were met.
    Burn(Burn),
}

/// show what happened to one request, from the instances' logs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the request
    #[argh(positional)]
    pub id: String,
    /// log files, named after their instances; default: standard input
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// report how the objectives were met by route, from the instances' logs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct Burn {
    /// share of requests that must be complete and in time; default: 0.99
    #[argh(option, default = "0.99")]
    pub goal: f64,
    /// length of a window in seconds; default: 10
    #[argh(option, default = "10.0")]
    pub window: f64,
    /// also write the report to this file as an HTML page
    #[argh(option)]
    pub html: Option<PathBuf>,
    /// log files, named after their instances; default: standard input
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// validate a manifest; lists each problem with its JSON path
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// manifest, a JSON file
    #[argh(positional)]
    pub manifest: PathBuf,
}

/// read a bearer key from standard input and print its hash for use in a manifest
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {}

/// print the manifest in the store to standard output and its revision to standard error
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// address of the key-value service
    #[argh(option)]
    pub store: SocketAddr,
}

/// show how a manifest differs from the one in the store
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// manifest, a JSON file
    #[argh(positional)]
    pub manifest: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    pub store: SocketAddr,
}

/// write a manifest to the store, unless the manifest there has changed since the base revision
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// manifest, a JSON file
    #[argh(positional)]
    pub manifest: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    pub store: SocketAddr,
    /// revision of the manifest that this one is based on; 0 for the first manifest
    #[argh(option)]
    pub base: Revision,
}

/// show the latest edits of the manifest
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// address of the key-value service
    #[argh(option)]
    pub store: SocketAddr,
}

/// show the build of each instance and the versions of the protocol between instances that it
/// announced
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instances")]
pub struct Instances {
    /// address of an instance that answers /status; may be repeated, the first that answers is used
    #[argh(option)]
    pub instance: Vec<SocketAddr>,
}

/// show the state of instances, their members and their engines
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// caller address of an instance; may be repeated
    #[argh(option)]
    pub instance: Vec<SocketAddr>,
}
