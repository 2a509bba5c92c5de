//! Start and stop of an instance.

mod args;
mod serve;

pub use {
    args::{ports, read_settings, run, Args, BAD_SETTINGS},
    serve::{run as run_instance, serve, Sockets},
};
