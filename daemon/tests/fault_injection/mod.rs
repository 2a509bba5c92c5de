//! Parts of the fault soak: real processes behind proxies, a plan of faults, callers, and the check
//! of what callers and targets observed.

pub mod callers;
pub mod check;
pub mod fault_plan;
pub mod fleet;
