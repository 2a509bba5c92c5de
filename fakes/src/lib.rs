//! Stand-ins of the platform and of the targets, each a real HTTP server on loopback with a fault
//! table. They hold no decision of lentilgrade's.

pub mod client;
pub mod engine;
pub mod kv;
pub mod list;
pub mod server;
pub mod simulation;
pub mod site;

pub mod service;
pub mod weights;
