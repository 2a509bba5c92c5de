//! What several test programs share.

use {
    lentil_fakes::site::{Process, Site},
    std::process::Command,
};

/// Starts entry instance `i` as a process of the real program.
pub fn start(site: &Site, i: usize) -> Process {
    site.process(i, |file| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilgrade"));
        command.arg("--settings").arg(file);
        command
    })
}
