//! Message types and service stubs of the protocol between hosts.
//!
//! The types are generated from the files in `proto/` by `walnuthaven-wire-gen` and committed.

#[rustfmt::skip]
#[path = "generated/walnuthaven.news.v1.rs"]
pub mod news;

#[rustfmt::skip]
#[path = "generated/walnuthaven.peer.v1.rs"]
pub mod peer;
