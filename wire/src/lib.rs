//! Message types and service stubs of the protocols between hosts.
//!
//! The types are generated from the files in `proto/` by `walnuthaven-wire-gen` and committed.

/// gRPC calls between hosts that run with `--entry`.
#[rustfmt::skip]
#[path = "generated/walnuthaven.forward.v1.rs"]
pub mod forward;

/// UDP datagrams in which hosts that run with `--entry` send each other their state.
#[rustfmt::skip]
#[path = "generated/walnuthaven.news.v1.rs"]
pub mod news;

/// gRPC calls between hosts.
#[rustfmt::skip]
#[path = "generated/walnuthaven.peer.v1.rs"]
pub mod peer;
