//! The serving daemon: the HTTP front end, routing, the mesh between instances, configuration and
//! engine control. The decisions themselves are made by `lentil_core`.

pub mod adapters;
pub mod app;
pub mod claims;
pub mod commands;
pub mod control;
pub mod daemon;
pub mod follow;
pub mod front;
pub mod http;
pub mod intake;
pub mod mesh;
pub mod metrics;
pub mod ports;
pub mod queries;
pub mod reach;
pub mod relay;
pub mod run;
pub mod usage;
