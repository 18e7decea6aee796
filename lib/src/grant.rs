//! Requests for engines, and what a steward decides on them.

use std::time;

use crate::engines;
use crate::ids;
use crate::queue;
use crate::refusal;

/// A request for a prefill engine and a decode engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Id of the caller's request that needs the engines.
    pub request_id: ids::Name,
    /// Number of the attempt, unique within the caller's request.
    pub attempt: u32,
    /// The host that runs the caller's request.
    pub home: ids::HostId,
    /// The workspace that the grant is charged to.
    pub workspace: ids::Name,
    /// How urgent the request is.
    pub class: queue::Class,
    /// Weight of the workspace in fair sharing.
    pub share: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Digest of the whole content, by which crash marks identify it.
    pub digest: u64,
    /// Chained digests of the prompt's leading blocks, see [`crate::prefix::block_digests`].
    pub prefix: Vec<u64>,
    /// Target for the time to the first token, counted from the caller's arrival. For patient
    /// requests, the longest time that they may wait.
    pub first_token_target: time::Duration,
    /// The part of the target that passed before this request for engines was made.
    pub waited: time::Duration,
    /// The engine that already holds the prompt's KV cache, if only a decode slot is needed.
    pub prefilled_on: Option<ids::Name>,
    /// Names of engines not to use.
    pub exclude: Vec<ids::Name>,
    /// Whether the content was in flight when an engine crashed. Such requests never share a
    /// decode engine.
    pub suspect: bool,
}

/// A prefill engine and a decode engine, granted to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Identifies the grant within the cell.
    pub id: u64,
    /// The engine that prefills the prompt.
    pub prefill: engines::Address,
    /// The engine that generates the answer.
    pub decode: engines::Address,
    /// Expected duration of the KV transfer between the two.
    pub transfer: time::Duration,
}

/// A decision on a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request got engines.
    Grant(Grant),
    /// The request won't get engines; it did not run.
    Refuse(refusal::Refusal),
}

/// A call to make to an engine: free everything that a request holds there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cancel {
    /// The engine to call.
    pub server: engines::Address,
    /// Id of the request to end.
    pub request_id: ids::Name,
    /// Ends this attempt and all earlier ones.
    pub attempt: u32,
}

/// What a host reports about a grant that it uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The prefill is complete.
    Prefilled,
    /// The request no longer uses the engines and got no complete answer.
    Released,
    /// The whole answer was generated.
    Completed,
}
