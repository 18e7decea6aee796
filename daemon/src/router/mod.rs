//! The entry host: a reverse proxy that forwards callers' requests to backend servers.
//!
//! [`forward`] handles a request from its arrival to its answer. Decisions such as routing and retries
//! are made in `walnuthaven-lib`. [`dialect::Dialect`] translates to and from the headers, paths and
//! messages of the deployment platform.

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
