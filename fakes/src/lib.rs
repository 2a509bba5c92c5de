//! Fakes of the platform's services and of the targets, each a real HTTP server on loopback with
//! fault injection, plus a simulation in virtual time. The fakes contain no logic of lentilgrade.

pub mod client;
pub mod deployment;
pub mod engine;
pub mod kv;
pub mod list;
pub mod server;
pub mod service;
pub mod simulation;
pub mod weights;
