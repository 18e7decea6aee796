//! The client of the platform's store.

use std::sync;
use std::time;

use bytes::Bytes;
use walnuthaven_lib::dialect;

use crate::router::connection_pool;
use crate::router::context;
use crate::router::send;

/// Longest time for a call that the store answers at once. It answers in milliseconds; a slow store
/// takes up to sixty times as long.
const CALL: time::Duration = time::Duration::from_millis(1_500);
/// Longest time for the body of an answer: a configuration of half a megabyte takes half a second on
/// the slowest link, which streams share.
const BODY: time::Duration = time::Duration::from_secs(6);
/// How long a watch waits for a change.
const WATCH: time::Duration = time::Duration::from_secs(25);

/// Why a call brought nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The store answered, and did nothing.
    Status(dialect::StoreStatus),
    /// No answer came; a write may have been done or may be done later.
    NoAnswer(String),
    /// The answer can't be understood.
    Unreadable,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Status(status) => write!(f, "{status:?}"),
            Self::NoAnswer(cause) => write!(f, "no answer: {cause}"),
            Self::Unreadable => f.write_str("unreadable answer"),
        }
    }
}

/// Calls the store, one call at a time, on a connection that is kept while it works.
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

    /// Lists all objects of a collection. Returns them with the store's revision.
    pub(crate) async fn list(
        &mut self,
        collection: dialect::Collection,
        freshness: dialect::Freshness,
    ) -> Result<(Vec<dialect::Object>, u64), Failure> {
        let mut objects: Vec<dialect::Object> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = objects.last().map(|object| object.name.clone());
            let after = after.as_deref();
            let call = self.cx.dialect.list(collection, freshness, after);
            let body = self.call(call, CALL).await?;
            let page = self.cx.dialect.page(&body).ok_or(Failure::Unreadable)?;
            // Changes while the pages are read are seen by a watch from the first page's revision.
            let revision = *first_revision.get_or_insert(page.revision);
            let more = page.more && !page.objects.is_empty();
            objects.extend(page.objects);
            if !more {
                return Ok((objects, revision));
            }
        }
    }

    /// Returns an object of a collection as it is now.
    pub(crate) async fn find(
        &mut self,
        collection: dialect::Collection,
        name: &str,
    ) -> Result<Option<dialect::Object>, Failure> {
        let (objects, _) = self.list(collection, dialect::Freshness::Newest).await?;
        Ok(objects.into_iter().find(|object| &*object.name == name))
    }

    /// Waits for changes of a collection since a revision.
    pub(crate) async fn watch(
        &mut self,
        collection: dialect::Collection,
        revision: u64,
    ) -> Result<dialect::Changes, Failure> {
        let call = self.cx.dialect.watch(collection, revision, WATCH);
        let body = self.call(call, WATCH + CALL).await?;
        self.cx.dialect.changes(&body).ok_or(Failure::Unreadable)
    }

    /// Creates an object.
    pub(crate) async fn create(
        &mut self,
        collection: dialect::Collection,
        name: &str,
        value: &serde_json::Value,
    ) -> Result<(), Failure> {
        let call = self.cx.dialect.create(collection, name, value);
        self.call(call, CALL).await.map(drop)
    }

    /// Replaces an object whose revision is known.
    pub(crate) async fn replace(
        &mut self,
        collection: dialect::Collection,
        name: &str,
        revision: u64,
        value: &serde_json::Value,
    ) -> Result<(), Failure> {
        let call = self.cx.dialect.replace(collection, name, revision, value);
        self.call(call, CALL).await.map(drop)
    }

    /// Deletes an object whose revision is known.
    pub(crate) async fn delete(
        &mut self,
        collection: dialect::Collection,
        name: &str,
        revision: u64,
    ) -> Result<(), Failure> {
        let call = self.cx.dialect.delete(collection, name, revision);
        self.call(call, CALL).await.map(drop)
    }

    async fn call(
        &mut self,
        call: dialect::Call,
        within: time::Duration,
    ) -> Result<Bytes, Failure> {
        let addr = self.cx.settings().store_addr;
        // The connection is put back only after an answer: nothing follows a lost one on it.
        let kept = self.connection.take().filter(|kept| !kept.tx.is_closed());
        let exchange = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => connection_pool::connect(addr, CALL).await?,
            };
            let headers = http::HeaderMap::new();
            let head = send::call_on(&mut connection, addr, call, headers);
            let head = tokio::time::timeout(within, head).await??;
            let status = head.status();
            let body = tokio::time::timeout(BODY, send::read_body(head)).await??;
            Ok::<_, std::io::Error>((status, body, connection))
        };
        self.cx.telemetry.count("store.calls");
        let (status, body, connection) = match exchange.await {
            Err(error) => return Err(Failure::NoAnswer(error.to_string())),
            Ok(answer) => answer,
        };
        self.connection = Some(connection);
        match self.cx.dialect.store_status(status) {
            dialect::StoreStatus::Done => Ok(body),
            other => Err(Failure::Status(other)),
        }
    }
}
