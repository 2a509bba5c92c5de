//! Start-up, shutdown and logging of an instance.

mod args;
mod hosted;
mod log_writer;
mod serve;

pub use {
    args::{build_ports, read_settings, run, Args, BAD_SETTINGS_EXIT_CODE},
    hosted::{run_hosted, HostedSockets},
    log_writer::LogWriter,
    serve::{run as run_instance, serve, Sockets},
};
