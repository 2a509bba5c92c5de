//! Start and stop of an instance.

mod args;
mod hosted;
mod serve;
mod sink;

pub use {
    args::{ports, read_settings, run, Args, BAD_SETTINGS},
    hosted::{run_hosted, HostedSockets},
    serve::{run as run_instance, serve, Sockets},
    sink::Sink,
};
