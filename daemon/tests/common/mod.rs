//! Helpers that several test programs share.

use {
    lentil_fakes::deployment::{Deployment, InstanceProcess},
    std::process::Command,
};

/// Starts instance `i` as a process of the real program.
pub fn start_process(deployment: &Deployment, i: usize) -> InstanceProcess {
    deployment.start_process(i, |file| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilgrade"));
        command.arg("--settings").arg(file);
        command
    })
}
