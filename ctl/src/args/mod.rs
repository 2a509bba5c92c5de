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
