//! The entry host on a deployment platform: callers' requests on their way to backend servers.
//!
//! [`forward`] holds a request's way from top to bottom. Decisions are in `walnuthaven-lib`, the
//! platform's names behind [`dialect::Dialect`].

pub mod settings;

mod answer;
mod bodies;
mod budget;
mod context;
mod crash_marks;
mod engine_path;
mod events;
mod forward;
mod head_timer;
mod inspect;
mod journey;
mod listen;
mod moving;
mod news;
mod plain_path;
mod pool;
mod prefills;
mod relay;
mod run;
mod seats;
mod send;
mod stage_orders;
mod store;
mod store_sync;
mod telemetry;

pub use run::run;
pub use run::start_logging;
