//! Stand-ins of the outside systems, and what drives load against the router.
//!
//! They are small fakes at the interfaces: they keep to the protocols and misbehave on request.

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
