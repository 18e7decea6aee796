//! The interface to a deployment platform: everything that each platform names or encodes differently.
//!
//! A dialect only translates between the platform's messages and the types of this crate. It makes no
//! calls, keeps no state and makes no decisions.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;

use crate::backends;
use crate::features;
use crate::routing;

/// The size of a prompt and its answer, as the request states them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Maximum number of tokens that the answer may have.
    pub max_output: u32,
    /// The caller's estimate of the length of the answer in tokens.
    pub output_hint: Option<u32>,
}

/// The information for the router in the headers of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// The id of the caller's attempt. If the caller retries the request, it uses another id.
    pub request_id: Option<sync::Arc<str>>,
    /// How long the caller waits for the end of the answer.
    pub deadline: Option<time::Duration>,
    /// Set for requests to model engines.
    pub prompt: Option<Prompt>,
    /// Ids of the parts of the prompt, in their order. The last one belongs to the request or its session.
    pub prompt_parts: Vec<sync::Arc<str>>,
    /// The id of the last event that the caller has, if it wants a stream to be continued.
    pub resume_after: Option<u64>,
    /// The id of the attempt that brought the first event of the stream to be continued.
    pub resumes: Option<sync::Arc<str>>,
}

/// A malformed header of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadHeader {
    /// The name of the header.
    pub header: &'static str,
    /// Its value.
    pub value: String,
}

/// Which part of a request a server is asked to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work<'a> {
    /// The whole request.
    Whole,
    /// Prefilling the prompt. The engine keeps the result for another engine to fetch.
    Prefill,
    /// Generating tokens from memory that an engine keeps.
    Decode {
        /// The address of the engine that keeps the memory.
        source: net::SocketAddr,
        /// That engine's handle for it.
        handle: &'a str,
    },
}

/// Parameters of sending a request to a server.
#[derive(Clone, Copy, Debug)]
pub struct SendParams<'a> {
    /// Time until the final answer is due.
    pub deadline: time::Duration,
    /// The id of the intended server. A different server that now has its address must not run the request.
    pub instance: &'a str,
    /// The part of the request that the server does.
    pub work: Work<'a>,
    /// The id of the last event that the caller has, if the stream is continued.
    pub resume_after: Option<u64>,
}

/// The information for the router in the head of a server's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyHead {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the server states that it didn't run the request.
    pub not_run: bool,
    /// Whether the answer carries the server's signature.
    pub signed: bool,
    /// Whether the body has a content encoding. Servers never use one, so something in between added it.
    pub encoded: bool,
    /// How long the server keeps the connection open while it is idle.
    pub keep_alive: Option<time::Duration>,
}

/// What a server's answer says of the requests that it takes from all hosts together.
#[derive(Clone, Debug, PartialEq)]
pub enum RateLimit {
    /// Nothing.
    None,
    /// So many a second, a finite number that isn't negative.
    PerSecond(f64),
    /// A text that is no rate.
    Unreadable(String),
}

/// For how long a server that turned a request away wants no further ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Pause {
    /// It doesn't say.
    None,
    /// For so long.
    For(time::Duration),
    /// A text that is no time.
    Unreadable(String),
}

/// What a server's answer says of the server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerNotice {
    /// Whether the server leaves and takes no new work.
    pub is_leaving: bool,
    /// For how long it wants no requests of this host.
    pub pause: Pause,
}

/// Memory that an engine keeps until another one fetches it: the result of a prefill, or the memory of
/// a stopped run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptMemory {
    /// The engine's handle for it.
    pub handle: String,
}

/// An HTTP request of the router itself, to the store or to a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub target: String,
    /// The request body; empty for none.
    pub body: Bytes,
}

/// A collection of objects in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Collection {
    /// Configurations that operators have put in force.
    Configuration,
    /// Entries of backend servers.
    Backends,
    /// Entries of the router's own hosts.
    Hosts,
    /// Leases of the router's own hosts.
    Leases,
    /// Marks of requests that crashed backend servers.
    CrashMarks,
    /// Which software versions of each service serve, or have served.
    ServedVersions,
    /// Which versions began streams that callers may resume.
    StreamRecords,
}

/// How current the result of a list call must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The newest state of the store.
    Newest,
    /// A state that may be seconds old. Such a call costs the store a fraction and doesn't count against its
    /// limits.
    MayLag,
}

/// An object in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Its name, unique within the collection.
    pub name: sync::Arc<str>,
    /// The store's revision at its last change.
    pub revision: u64,
    /// Its content as written.
    pub value: serde_json::Value,
}

/// A page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects of the page. One whose content can't be decoded has the fault as its content.
    pub objects: Vec<Object>,
    /// The number of further objects, of which not even the name can be decoded.
    pub unreadable: usize,
    /// Whether more objects follow after the last one.
    pub more: bool,
    /// The store's revision that the page shows.
    pub revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct ObjectChange {
    /// The object after the change, or before it if the object was removed.
    pub object: Object,
    /// Whether the object was removed.
    pub removed: bool,
}

/// The changes of a collection since a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<ObjectChange>,
    /// The number of further changes, of which not even the object's name can be decoded.
    pub unreadable: usize,
    /// The store's revision up to which the changes are complete.
    pub revision: u64,
}

/// The meaning of the HTTP status of the store's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStatus {
    /// The call succeeded.
    Done,
    /// There is no such object.
    Missing,
    /// The object to replace or delete has another revision, or the object to create exists.
    Conflict,
    /// The store doesn't keep the changes since the given revision any more.
    HistoryGone,
    /// The store refused the call, for example because of its rate limits, and did nothing.
    Refused,
    /// Any other failure.
    Failed,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order is being carried out, or the engine is in the ordered state already.
    Accepted,
    /// Another order is in progress, or the engine has accepted orders that the sender didn't know of.
    Busy,
    /// The order was refused for another reason.
    Refused,
}

/// An engine's own report of its state. It may be some hundred milliseconds old.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// The engine's stage.
    pub stage: backends::Stage,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub orders: u64,
    /// In what time the engine ends, if it says so.
    pub leaves_in: Option<time::Duration>,
}

/// An order to an engine to change its stage, with the lease that entitles the sender to give it.
#[derive(Clone, Debug)]
pub struct FencedStageOrder<'a> {
    /// The stage to change to.
    pub stage: backends::Stage,
    /// The name of the host that gives the order and holds the lease.
    pub holder: &'a str,
    /// The fencing number of the host's lease.
    pub fence: u64,
    /// Number of orders that the engine reported as accepted. It refuses the order if the number is another
    /// one by now.
    pub orders: u64,
}

/// A call of a caller or the platform to the host itself, rather than to a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostCall {
    /// Asks for the addresses of hosts that callers may connect to.
    Resolve,
    /// Asks whether this host is ready for requests.
    Ready,
}

/// What becomes of a run whose memory is copied to another engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunCopy {
    /// It goes on. A further call copies only what is new.
    KeepsRunning,
    /// It is stopped first, so that the other engine can go on with it.
    Stops,
}

/// Translates the messages of one deployment platform.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the header that is malformed.
    fn request_head(&self, headers: &http::HeaderMap) -> Result<RequestHead, BadHeader>;

    /// Returns which features the terms of a deployment ask for. Unknown terms ask for none.
    fn features(&self, terms: &[sync::Arc<str>]) -> features::Features;

    /// Returns the key of the caller's workspace in the headers of a request.
    fn caller_key<'a>(&self, headers: &'a http::HeaderMap) -> Option<&'a str>;

    /// Returns the name that [`Dialect::set_workspace`] set.
    fn workspace<'a>(&self, headers: &'a http::HeaderMap) -> Option<&'a str>;

    /// Replaces the key in the headers of a request, and whatever the caller named as its workspace, by the name of
    /// the workspace. Without a name they are removed.
    fn set_workspace(&self, name: Option<&str>, headers: &mut http::HeaderMap);

    /// Builds the headers of a request to a server from those of the caller's request.
    fn server_headers(&self, caller: &http::HeaderMap, params: &SendParams<'_>) -> http::HeaderMap;

    /// Decodes the head of a server's answer.
    fn reply_head(&self, status: http::StatusCode, headers: &http::HeaderMap) -> ReplyHead;

    /// Decodes what the headers of a server's answer say of the requests that it takes.
    fn rate_limit(&self, headers: &http::HeaderMap) -> RateLimit;

    /// Decodes what a server's answer says of the server.
    fn server_notice(&self, status: http::StatusCode, headers: &http::HeaderMap) -> ServerNotice;

    /// Builds the headers of the answer to the caller from those of a server's answer.
    fn caller_headers(&self, server: &http::HeaderMap) -> http::HeaderMap;

    /// Decodes an engine's answer that contains a handle for memory it keeps.
    fn kept_memory(&self, body: &[u8]) -> Option<KeptMemory>;

    /// Encodes a call that frees memory which an engine keeps.
    fn free_handle(&self, handle: &str) -> Call;

    /// Encodes a call that copies a run's memory to another engine.
    fn copy_run(&self, request_id: &str, to: net::SocketAddr, copy: RunCopy) -> Call;

    /// Encodes a call that asks an engine for its state.
    fn report(&self) -> Call;

    /// Decodes an engine's state.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Encodes an order that changes an engine's stage.
    fn stage_order(&self, order: &FencedStageOrder<'_>) -> Call;

    /// Adds the header with the id of the server that a call is meant for, so that a different server at
    /// its address refuses it.
    fn set_expected_instance(&self, instance: &str, headers: &mut http::HeaderMap);

    /// Interprets the status of an engine's answer to an order.
    fn order_answer(&self, status: http::StatusCode) -> OrderAnswer;

    /// Recognises calls to the host itself. Returns `None` for any other path or method.
    fn host_call(&self, method: &http::Method, path: &str) -> Option<HostCall>;

    /// Encodes the answer to [`HostCall::Resolve`]. Callers may use the addresses for `ttl`.
    fn addresses(&self, addresses: &[net::SocketAddr], ttl: time::Duration) -> Bytes;

    /// Encodes a call that lists a page of a collection: the objects whose names follow `after`, or the
    /// first ones.
    fn list(&self, collection: Collection, freshness: Freshness, after: Option<&str>) -> Call;

    /// Encodes a call that returns the changes of a collection since a revision. If there are none, the
    /// store waits for one for up to `wait`.
    fn watch(&self, collection: Collection, revision: u64, wait: time::Duration) -> Call;

    /// Encodes a call that creates an object.
    fn create(&self, collection: Collection, name: &str, value: &serde_json::Value) -> Call;

    /// Encodes a call that replaces an object if its revision is still the given one.
    fn replace(
        &self,
        collection: Collection,
        name: &str,
        revision: u64,
        value: &serde_json::Value,
    ) -> Call;

    /// Encodes a call that deletes an object if its revision is still the given one.
    fn delete(&self, collection: Collection, name: &str, revision: u64) -> Call;

    /// Decodes the store's era in the headers of its answer: it rises each time the store comes back from a copy, and is
    /// 0 if it never did, or the answer names none.
    fn store_era(&self, headers: &http::HeaderMap) -> u64;

    /// Interprets the status of the store's answer.
    fn store_status(&self, status: http::StatusCode) -> StoreStatus;

    /// Decodes a page of a list.
    fn page(&self, body: &[u8]) -> Option<Page>;

    /// Decodes the changes of a collection.
    fn changes(&self, body: &[u8]) -> Option<Changes>;

    /// Decodes the configuration, or returns `None` if the object has another name than the one in force.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid.
    fn table(&self, object: &Object) -> Result<Option<routing::Table>, String>;

    /// Decodes the entry of a backend server.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid.
    fn backend(&self, object: &Object) -> Result<backends::Backend, String>;
}
