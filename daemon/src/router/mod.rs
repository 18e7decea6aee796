//! The entry host on a deployment platform: callers' requests on their way to backend servers.
//!
//! [`forward`] holds a request's way from top to bottom. Decisions are in `walnuthaven-lib`, the
//! platform's names behind [`dialect::Dialect`].

pub mod settings;

mod answer;
mod body_memory;
mod connection_pool;
mod context;
mod crash_marks;
mod engine_reservation;
mod engine_stream;
mod events;
mod forward;
mod head_timer;
mod inspect;
mod listen;
mod news;
mod plain_request;
mod prefills;
mod relay;
mod retry_budget;
mod run;
mod run_move;
mod send;
mod stage_orders;
mod store;
mod store_sync;
mod stream_request;
mod telemetry;

pub use run::run;
pub use run::start_logging;
