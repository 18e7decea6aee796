//! The border to a deployment platform: everything that a platform names in its own way.
//!
//! A dialect only translates between messages and the types of this crate. It makes no calls, keeps
//! no state and decides nothing.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;

use crate::backends;
use crate::routing;

/// A prompt as its request describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// The most tokens that the answer may have.
    pub max_output: u32,
    /// The caller's estimate of the tokens of the answer.
    pub output_hint: Option<u32>,
}

/// What a request's headers say to the router.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// The id of this attempt of the caller.
    pub request_id: Option<sync::Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<time::Duration>,
    /// Set for requests to model engines.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has, if it continues a stream.
    pub resume_after: Option<u64>,
}

/// A header of a request that can't be understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadHeader {
    /// The header.
    pub header: &'static str,
    /// Its value.
    pub value: String,
}

/// What a server is asked to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work<'a> {
    /// Everything.
    Whole,
    /// To read the prompt and keep the result.
    Prefill,
    /// To generate from memory that another engine kept.
    Decode {
        /// The engine that kept it.
        source: net::SocketAddr,
        /// Its name for it.
        handle: &'a str,
    },
}

/// How a request is sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct SendParams<'a> {
    /// The time left.
    pub deadline: time::Duration,
    /// The server that is meant; another one at its address must not run the request.
    pub instance: &'a str,
    /// What the server does.
    pub work: Work<'a>,
    /// The last event that the caller has, if the stream is continued.
    pub resume_after: Option<u64>,
}

/// What the head of a server's answer says to the router.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyHead {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the server states that the request didn't run.
    pub not_run: bool,
    /// Whether the answer bears the server's signature.
    pub signed: bool,
    /// Whether the body was encoded on its way, which servers don't do.
    pub encoded: bool,
    /// How long the server keeps the connection.
    pub keep_alive: Option<time::Duration>,
}

/// Memory that an engine keeps until another one fetches it: the result of a prefill, or that of a run
/// that was stopped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptMemory {
    /// The engine's name for it.
    pub handle: String,
}

/// A call to the store or to a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Bytes,
}

/// Objects in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Collection {
    /// What operators have put in force.
    Configuration,
    /// Entries of backend servers.
    Backends,
    /// Entries of the router's own hosts.
    Hosts,
    /// Leases of the router's own hosts.
    Leases,
}

/// Which state of the store a list shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The newest.
    Newest,
    /// One that may be seconds old. It costs a fraction and is beyond the store's limits.
    MayLag,
}

/// An object in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Its name.
    pub name: sync::Arc<str>,
    /// The store's revision of its last change.
    pub revision: u64,
    /// What its writer put there.
    pub value: serde_json::Value,
}

/// A page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects that can be read.
    pub objects: Vec<Object>,
    /// Whether more pages follow after the last object.
    pub more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct ObjectChange {
    /// The object as it is, or was.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// What has changed since a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes in their order.
    pub changes: Vec<ObjectChange>,
    /// The store's revision.
    pub revision: u64,
}

/// What a status of the store means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStatus {
    /// It was done.
    Done,
    /// There is no such object.
    Missing,
    /// The object has changed, or exists.
    Conflict,
    /// The history since the revision is gone.
    HistoryGone,
    /// Nothing was done.
    Refused,
    /// Anything else.
    Failed,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is carried out, or holds already.
    Accepted,
    /// Another order is in progress, or the engine has taken others since.
    Busy,
    /// It was refused for another reason.
    Refused,
}

/// An engine's state as it says itself, some hundred milliseconds ago.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Its stage.
    pub stage: backends::Stage,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub orders: u64,
}

/// An order to an engine.
#[derive(Clone, Debug)]
pub struct StageRequest<'a> {
    /// The stage that it should have.
    pub stage: backends::Stage,
    /// The host that gives the order.
    pub holder: &'a str,
    /// The fencing number of the host's lease.
    pub fence: u64,
    /// The orders that the engine is known to have accepted.
    pub orders: u64,
}

/// A caller's or the platform's call that isn't a request to a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostCall {
    /// Asks for addresses to connect to.
    Resolve,
    /// Asks whether this host takes requests.
    Ready,
}

/// Translates for one deployment platform.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns the header that can't be understood.
    fn request_head(&self, headers: &http::HeaderMap) -> Result<RequestHead, BadHeader>;

    /// Makes the headers with which a request is sent to a server.
    fn server_headers(&self, caller: &http::HeaderMap, sending: &SendParams<'_>)
    -> http::HeaderMap;

    /// Reads the head of a server's answer.
    fn reply_head(&self, status: http::StatusCode, headers: &http::HeaderMap) -> ReplyHead;

    /// Makes the headers with which a server's answer goes to the caller.
    fn caller_headers(&self, server: &http::HeaderMap) -> http::HeaderMap;

    /// Reads an engine's answer that names memory which it keeps.
    fn kept_memory(&self, body: &[u8]) -> Option<KeptMemory>;

    /// Frees memory that an engine keeps.
    fn free_handle(&self, handle: &str) -> Call;

    /// Stops a run and copies its memory to another engine.
    fn stop_and_copy(&self, request_id: &str, to: net::SocketAddr) -> Call;

    /// Asks an engine for its state.
    fn report(&self) -> Call;

    /// Reads an engine's state.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Changes an engine's stage.
    fn stage_order(&self, order: &StageRequest<'_>) -> Call;

    /// Sets the headers that name the server that is meant by an order.
    fn set_expected_instance(&self, instance: &str, headers: &mut http::HeaderMap);

    /// Reads an engine's answer to an order.
    fn order_answer(&self, status: http::StatusCode) -> OrderAnswer;

    /// Recognises the calls that aren't requests to a service.
    fn host_call(&self, method: &http::Method, path: &str) -> Option<HostCall>;

    /// Makes the answer to a caller who asks for addresses.
    fn addresses(&self, addresses: &[net::SocketAddr], ttl: time::Duration) -> Bytes;

    /// Lists the objects of a collection from a name on.
    fn list(&self, collection: Collection, freshness: Freshness, after: Option<&str>) -> Call;

    /// Waits for changes of a collection.
    fn watch(&self, collection: Collection, revision: u64, wait: time::Duration) -> Call;

    /// Creates an object.
    fn create(&self, collection: Collection, name: &str, value: &serde_json::Value) -> Call;

    /// Replaces an object if its revision is the given one.
    fn replace(
        &self,
        collection: Collection,
        name: &str,
        revision: u64,
        value: &serde_json::Value,
    ) -> Call;

    /// Deletes an object if its revision is the given one.
    fn delete(&self, collection: Collection, name: &str, revision: u64) -> Call;

    /// Reads the status of the store's answer.
    fn store_status(&self, status: http::StatusCode) -> StoreStatus;

    /// Reads a page of a list.
    fn page(&self, body: &[u8]) -> Option<Page>;

    /// Reads changes.
    fn changes(&self, body: &[u8]) -> Option<Changes>;

    /// Reads the configuration, or returns `None` for an object of another name.
    ///
    /// # Errors
    ///
    /// Returns what can't be understood.
    fn table(&self, object: &Object) -> Result<Option<routing::Table>, String>;

    /// Reads the entry of a backend server.
    ///
    /// # Errors
    ///
    /// Returns what can't be understood.
    fn backend(&self, object: &Object) -> Result<backends::Backend, String>;
}
