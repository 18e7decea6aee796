//! A client of the platform's store, which holds the configuration and the entries of servers and
//! hosts.

use std::io;
use std::sync;
use std::time;

use bytes::Bytes;
use walnuthaven_lib::dialect;

use crate::router::connection_pool;
use crate::router::context;
use crate::router::events::event;
use crate::router::send;

/// Largest answer of the store in bytes: several times that of a page of a list.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Longest time to the head of the answer, for calls that the store answers at once. It usually
/// answers in milliseconds; a slow store takes up to sixty times as long.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Longest time for the body of an answer. A configuration of half a megabyte takes half a second
/// on the slowest link, which it shares with response streams.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The store answered without carrying out the call.
    Status(dialect::StoreStatus),
    /// No answer came. A write may have been applied, or may still be applied later.
    NoAnswer(String),
    /// The same, as nothing came in time.
    Silent,
    /// The answer can't be understood.
    Unreadable,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Status(status) => write!(f, "{status:?}"),
            Self::NoAnswer(cause) => write!(f, "no answer: {cause}"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Unreadable => f.write_str("unreadable answer"),
        }
    }
}

/// Calls the store, one call at a time, and keeps the connection open as long as calls succeed on it.
#[derive(Debug)]
pub(crate) struct Client<D> {
    cx: sync::Arc<context::Router<D>>,
    connection: Option<connection_pool::Connection>,
}

impl<D: dialect::Dialect> Client<D> {
    pub(crate) fn new(cx: &sync::Arc<context::Router<D>>) -> Self {
        Self {
            cx: cx.clone(),
            connection: None,
        }
    }

    /// Lists all objects of a collection, page by page. Returns them with the store's revision,
    /// from which a watch can follow.
    pub(crate) async fn list(
        &mut self,
        collection: dialect::Collection,
        freshness: dialect::Freshness,
    ) -> Result<(Vec<dialect::Object>, u64), Failure> {
        let mut objects: Vec<dialect::Object> = Vec::new();
        let mut first_revision = None;
        let mut first_era = None;
        let mut after = None;
        loop {
            let dialect = &self.cx.dialect;
            let call = dialect.list(collection, freshness, after.as_deref());
            let body = self.call(call, CALL_TIMEOUT).await?;
            let era = self.cx.renewals.era();
            if *first_era.get_or_insert(era) != era {
                // The pages are of different states.
                return Err(Failure::Status(dialect::StoreStatus::HistoryGone));
            }
            let page = self.cx.dialect.page(&body).ok_or(Failure::Unreadable)?;
            log_unreadable(page.unreadable, page.revision);
            // A watch from the first page's revision also reports changes that happen between the
            // pages.
            let revision = *first_revision.get_or_insert(page.revision);
            let last = page.objects.last().map(|object| object.name.clone());
            // The next page follows the last name that can be read.
            let more = page.more && last.is_some() && last != after;
            objects.extend(page.objects);
            if !more {
                return Ok((objects, revision));
            }
            after = last;
        }
    }

    /// Returns the current state of an object, or `None` if it doesn't exist.
    pub(crate) async fn find(
        &mut self,
        collection: dialect::Collection,
        name: &str,
    ) -> Result<Option<dialect::Object>, Failure> {
        let (objects, _) = self.list(collection, dialect::Freshness::Newest).await?;
        Ok(objects.into_iter().find(|object| &*object.name == name))
    }

    /// Returns the changes of a collection since a revision. Waits up to `wait` for the first one.
    pub(crate) async fn watch(
        &mut self,
        collection: dialect::Collection,
        revision: u64,
        wait: time::Duration,
    ) -> Result<dialect::Changes, Failure> {
        let call = self.cx.dialect.watch(collection, revision, wait);
        let body = self.call(call, wait + CALL_TIMEOUT).await?;
        let changes = self.cx.dialect.changes(&body).ok_or(Failure::Unreadable)?;
        log_unreadable(changes.unreadable, changes.revision);
        Ok(changes)
    }

    /// Creates an object.
    pub(crate) async fn create(
        &mut self,
        collection: dialect::Collection,
        name: &str,
        value: &serde_json::Value,
    ) -> Result<(), Failure> {
        let call = self.cx.dialect.create(collection, name, value);
        self.call(call, CALL_TIMEOUT).await.map(drop)
    }

    /// Replaces an object if it still has the given revision.
    pub(crate) async fn replace(
        &mut self,
        collection: dialect::Collection,
        name: &str,
        revision: u64,
        value: &serde_json::Value,
    ) -> Result<(), Failure> {
        let call = self.cx.dialect.replace(collection, name, revision, value);
        self.call(call, CALL_TIMEOUT).await.map(drop)
    }

    /// Deletes an object if it still has the given revision.
    pub(crate) async fn delete(
        &mut self,
        collection: dialect::Collection,
        name: &str,
        revision: u64,
    ) -> Result<(), Failure> {
        let call = self.cx.dialect.delete(collection, name, revision);
        self.call(call, CALL_TIMEOUT).await.map(drop)
    }

    /// Makes a call and returns the body of the answer. `timeout` limits the time to the answer's head.
    async fn call(
        &mut self,
        call: dialect::Call,
        timeout: time::Duration,
    ) -> Result<Bytes, Failure> {
        let addr = self.cx.settings().store_addr;
        // The connection is put back only after a complete answer: one with a lost answer is not
        // used again.
        let previous = self
            .connection
            .take()
            .filter(|previous| !previous.tx.is_closed());
        let exchange = async {
            let mut connection = match previous {
                Some(connection) => connection,
                None => connection_pool::connect_to_store(addr, CALL_TIMEOUT).await?,
            };
            let headers = http::HeaderMap::new();
            let response = send::call_on(&mut connection, addr, call, headers);
            let response = tokio::time::timeout(timeout, response).await??;
            let status = response.status();
            let era = self.cx.dialect.store_era(response.headers());
            let body =
                tokio::time::timeout(BODY_TIMEOUT, send::read_body(response, MAX_BODY_BYTES))
                    .await??;
            Ok::<_, io::Error>((status, era, body, connection))
        };
        self.cx.telemetry.count("store.calls");
        let (status, era, body, connection) = match exchange.await {
            Err(error) if error.kind() == io::ErrorKind::TimedOut => return Err(Failure::Silent),
            Err(error) => return Err(Failure::NoAnswer(error.to_string())),
            Ok(answer) => answer,
        };
        self.connection = Some(connection);
        self.cx.renewals.record_era(era);
        match self.cx.dialect.store_status(status) {
            dialect::StoreStatus::Done => Ok(body),
            other => Err(Failure::Status(other)),
        }
    }
}

/// Logs that some objects have no readable name. The others are used.
fn log_unreadable(objects: usize, revision: u64) {
    if objects > 0 {
        event!(Warn, "objects-unreadable", "objects" => objects, "revision" => revision);
    }
}
