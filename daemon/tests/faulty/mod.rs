//! Parts of the fault soak: processes, proxies, faults, callers, and the check of their history.

pub mod callers;
pub mod check;
pub mod faults;
pub mod process;
pub mod proxy;
