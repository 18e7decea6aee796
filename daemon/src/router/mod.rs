//! The entry host: a reverse proxy that forwards callers' requests to backend servers.
//!
//! [`forward`] handles a request from its arrival to its answer. Decisions such as routing and retries
//! are made in `walnuthaven-lib`. [`dialect::Dialect`] translates to and from the headers, paths and
//! messages of the deployment platform.

pub mod settings;

mod answer;
mod caller_workspace;
pub(crate) mod clients;
mod connection_pool;
pub(crate) mod connection_timer;
mod context;
mod crash_checks;
mod crash_mark_store;
mod crash_marks;
mod crash_witness;
mod drained_reader;
mod engine_need;
mod engine_prepare;
mod engine_reservation;
mod engine_stream;
mod events;
mod forward;
mod inspect;
mod links;
mod listen;
mod log_limit;
mod news;
mod part_marks;
pub(crate) mod peer_connections;
mod peer_reply;
mod peer_service;
mod peer_stream;
mod plain_progress;
mod plain_request;
mod plain_room;
mod prefills;
mod preview;
pub(crate) mod read_limit;
mod relay;
mod request_body;
mod request_parts;
mod retry_budget;
mod run;
mod run_move;
mod send;
mod served_version_store;
mod server_choice;
mod server_limits;
mod server_notices;
mod shutdown;
mod silent_stream;
mod stage_orders;
mod stopped_run;
mod store;
mod store_sync;
mod stream_events;
mod stream_progress;
mod stream_record_store;
mod stream_request;
mod stream_versions;
mod telemetry;
mod trials;
mod via_peer;
mod view_renewal;
mod workspace_limits;

pub use run::run;
pub use run::start_logging;
