//! Metrics of one instance.

mod metrics;

pub use metrics::*;
