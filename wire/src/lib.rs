//! Message types and service stubs of the protocol between hosts.
//!
//! The types are generated from `proto/peer.proto` by `walnuthaven-wire-gen` and committed.

#[rustfmt::skip]
#[path = "generated/walnuthaven.peer.v1.rs"]
pub mod peer;
