//! Requests for engines, and what becomes of them.

use std::time;

use crate::engines;
use crate::ids;
use crate::queue;
use crate::refusal;

/// A request for engines.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The request's id.
    pub request_id: ids::Name,
    /// The attempt number, unique within the request.
    pub attempt: u32,
    /// The host that runs the request.
    pub home: ids::HostId,
    /// The workspace that pays.
    pub workspace: ids::Name,
    /// How urgent the request is.
    pub class: queue::Class,
    /// The workspace's fair share.
    pub share: u32,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Digest of the whole content.
    pub digest: u64,
    /// Digests of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Target for the first token, counted from the caller's arrival; the age limit of patient
    /// work.
    pub first_token_target: time::Duration,
    /// How long the request has waited before this ask.
    pub waited: time::Duration,
    /// The engine that holds the prompt's KV already, if only a decode slot is wanted.
    pub prefilled_on: Option<ids::Name>,
    /// Engines not to use.
    pub exclude: Vec<ids::Name>,
    /// Whether the content was in flight at a crash; such requests never share an engine.
    pub suspect: bool,
}

/// Engines granted to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Identifies the grant within the cell.
    pub id: u64,
    /// The engine that computes the prompt.
    pub prefill: engines::Address,
    /// The engine that generates.
    pub decode: engines::Address,
    /// The expected duration of the KV transfer.
    pub transfer: time::Duration,
}

/// A decision on a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request got engines.
    Grant(Grant),
    /// The request is given up on; it did not run.
    Refuse(refusal::Refusal),
}

/// An engine call to make: free what a request holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cancel {
    /// The engine to tell.
    pub server: engines::Address,
    /// The request to end.
    pub request_id: ids::Name,
    /// Attempts up to this one end.
    pub attempt: u32,
}

/// How a granted request went on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The prefill is done.
    Prefilled,
    /// The request holds nothing any more, without a whole answer.
    Released,
    /// The whole answer was generated.
    Completed,
}
