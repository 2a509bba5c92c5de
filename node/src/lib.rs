//! The serving daemon: callers' side, routing, mesh, configuration and control around the
//! decisions of `lentil_core`.

pub mod adapters;
pub mod http;
pub mod ports;
