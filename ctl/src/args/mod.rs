//! Arguments of the command line.

use {
    argh::FromArgs,
    lentil_core::ids::Revision,
    std::{net::SocketAddr, path::PathBuf},
};

/// Edits the manifest of a lentilgrade deployment and shows its state.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a manifest.
    Check(Check),
    /// Hash a key.
    Key(Key),
    /// Print the manifest.
    Get(Get),
    /// Compare manifests.
    Diff(Diff),
    /// Put a manifest in force.
    Apply(Apply),
    /// Show the latest edits.
    History(History),
    /// Show what instances know.
    Status(Status),
    /// Tell the story of a request.
    Explain(Explain),
    /// Report on the objectives.
    Burn(Burn),
}

/// tell the story of one request from the instances' logs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's id
    #[argh(positional)]
    pub id: String,
    /// log files, named after their instances; standard input if there are none
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// report from the instances' logs how the objectives were met, by route
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct Burn {
    /// part of the requests that are to be whole and in time; 0.99 if not given
    #[argh(option, default = "0.99")]
    pub goal: f64,
    /// length of a window in seconds; 10 if not given
    #[argh(option, default = "10.0")]
    pub window: f64,
    /// file for the report as one HTML page
    #[argh(option)]
    pub html: Option<PathBuf>,
    /// log files, named after their instances; standard input if there are none
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// check a manifest; names each fault by its JSON path
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the manifest, a JSON file
    #[argh(positional)]
    pub manifest: PathBuf,
}

/// print the hash of a bearer key, as a manifest names it; reads the key from standard input
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {}

/// print the manifest in the store, and on standard error its revision
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
    /// the manifest, a JSON file
    #[argh(positional)]
    pub manifest: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    pub store: SocketAddr,
}

/// put a manifest in force, if the store still has the one that it was made from
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the manifest, a JSON file
    #[argh(positional)]
    pub manifest: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    pub store: SocketAddr,
    /// revision that it was made from; 0 for the first manifest
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

/// show what instances know
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// callers' address of an instance; may be given several times
    #[argh(option)]
    pub instance: Vec<SocketAddr>,
}
