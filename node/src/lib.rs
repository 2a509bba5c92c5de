//! The serving daemon: callers' side, routing, mesh, configuration and control around the
//! decisions of `lentil_core`.

pub mod adapters;
pub mod app;
pub mod claims;
pub mod commands;
pub mod control;
pub mod daemon;
pub mod follow;
pub mod front;
pub mod http;
pub mod mesh;
pub mod metrics;
pub mod ports;
pub mod queries;
pub mod run;
