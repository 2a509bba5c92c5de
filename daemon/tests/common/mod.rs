//! What several test programs share.

use {
    lentil_fakes::deployment::{Deployment, InstanceProcess},
    std::process::Command,
};

/// Starts entry instance `i` as a process of the real program.
pub fn start(site: &Deployment, i: usize) -> InstanceProcess {
    site.start_process(i, |file| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilgrade"));
        command.arg("--settings").arg(file);
        command
    })
}
