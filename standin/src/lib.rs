//! Stand-ins of the outside systems, and what drives load against the router.
//!
//! They are small fakes at the interfaces: they keep to the protocols and misbehave on request.

pub mod agent;
pub mod caller;
pub mod config_latency;
pub mod control_cost;
pub mod demo;
pub mod driver;
pub mod engine;
pub mod engine_memory;
pub mod engine_slot;
pub mod engine_state;
pub mod experiment;
pub mod fleet;
pub mod ledger;
pub mod load;
pub mod local;
pub mod net;
pub mod overhead;
pub mod platform;
pub mod plots;
pub mod report;
pub mod scenario;
pub mod service;
pub mod tokens;
pub mod weights;
pub mod world;
