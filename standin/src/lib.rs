//! Stand-ins for the systems that hosts talk to, and a load driver with callers.
//!
//! The stand-ins are small fakes that speak the real protocols over HTTP and inject faults on
//! request.

pub mod caller;
pub mod client;
pub mod config_latency;
pub mod control_cost;
pub mod daemon_fleet;
pub mod demo;
pub mod driver;
pub mod engine;
pub mod engine_memory;
pub mod engine_slot;
pub mod engine_state;
pub mod experiment;
pub mod http_server;
pub mod load;
pub mod local_fleet;
pub mod overhead;
pub mod plain_server;
pub mod platform;
pub mod plots;
pub mod recorder;
pub mod report;
pub mod scenario;
pub mod tokens;
pub mod weight_store;
pub mod world;
