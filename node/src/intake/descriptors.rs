use nix::sys::resource::{getrlimit, Resource};

/// Assumed limit where the system tells none.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// Returns how many file descriptors the process may open.
pub fn descriptor_limit() -> u64 {
    getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_DESCRIPTORS, |(soft, _)| soft)
}
