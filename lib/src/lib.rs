//! The decision logic of the walnuthaven router, such as membership, scheduling and retries.
//!
//! This crate opens no sockets and starts no threads. Time and randomness are passed in, so that
//! every decision can be replayed in a test.

pub mod admission;
pub mod announced_marks;
pub mod answer_lengths;
pub mod answered_parts;
pub mod auth;
pub mod backends;
pub mod cell;
pub mod clock;
pub mod config;
pub mod config_versions;
pub mod departures;
pub mod dialect;
pub mod engine_load;
pub mod engine_memory;
pub mod engine_placement;
pub mod engines;
pub mod event_stream;
pub mod grant;
pub mod history;
pub mod host_groups;
pub mod ids;
pub mod job_journal;
pub mod lease;
pub mod membership;
pub mod outcome;
pub mod part_blame;
pub mod peer_choice;
pub mod peers;
pub mod permit;
pub mod pool_balance;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod reachability;
mod ready_counts;
pub mod refusal;
pub mod rendezvous;
pub mod request_table;
pub mod retry;
pub mod retry_share;
pub mod roles;
pub mod routing;
pub mod run_moves;
pub mod served_versions;
pub mod server_health;
pub mod server_limits;
pub mod server_pauses;
pub mod stored_marks;
pub mod stream_versions;
pub mod transfer;
pub mod trial_turns;
pub mod validate;
pub mod wait_queue;
pub mod work_index;
