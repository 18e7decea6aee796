//! Decisions of the walnuthaven router.
//!
//! This crate opens no sockets and starts no threads. Time and randomness are passed in, so that
//! every decision can be replayed in a test.

pub mod admission;
pub mod auth;
pub mod cell;
pub mod clock;
pub mod config;
pub mod engines;
pub mod grant;
pub mod history;
pub mod identity;
pub mod ids;
pub mod journal;
pub mod lease;
pub mod membership;
pub mod permit;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod refusal;
pub mod rendezvous;
pub mod retry;
pub mod roles;
pub mod transfer;
pub mod validate;
pub mod versions;
