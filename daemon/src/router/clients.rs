//! The connections of clients at all listeners for HTTP, and what they hold together. If that is too much, those that
//! hold most for longest are closed.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use walnuthaven_lib::load_shedding;
use walnuthaven_lib::resource_limits;

use crate::locks;
use crate::router::events::limited_event;

/// One in this many of the connections is closed at a time if there are too many.
const SHED_DIVISOR: usize = 32;
/// Closing connections frees this part of the memory for messages besides what is needed.
const SPARE_DIVISOR: usize = 8;
/// Longest time for connections that are being closed to make room for another one.
const CLOSE_TIME: time::Duration = time::Duration::from_millis(20);
/// Memory that a byte of a head takes: the HTTP library doubles its buffer, and copies it then.
const HEAD_FACTOR: usize = 2;
/// How often a message that needs memory tries again, and the pause between.
const RESERVE_TRIES: usize = 8;
const RESERVE_PAUSE: time::Duration = time::Duration::from_millis(2);

/// All connections of clients.
#[derive(Debug)]
pub(crate) struct Clients {
    limits: sync::RwLock<resource_limits::ResourceLimits>,
    open: sync::Mutex<collections::HashMap<u64, sync::Arc<Shared>>>,
    next_number: atomic::AtomicU64,
    /// Bytes of messages.
    held: atomic::AtomicUsize,
    /// Bytes of them on connections that are being closed.
    closing: atomic::AtomicUsize,
    /// Held by the message that gets the next free memory, so that messages get it in order of arrival.
    turn: tokio::sync::Mutex<()>,
    /// Signalled when a connection has been closed.
    closed: tokio::sync::Notify,
    shed_for_bytes: atomic::AtomicU64,
    shed_for_connections: atomic::AtomicU64,
    refused: atomic::AtomicU64,
    peers_shed: atomic::AtomicU64,
    peers_refused: atomic::AtomicU64,
}

/// A client's connection.
#[derive(Clone, Debug)]
pub(crate) struct Client(sync::Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clients: sync::Arc<Clients>,
    number: u64,
    /// What the connection does, and since when.
    phase: sync::Mutex<(load_shedding::Phase, tokio::time::Instant)>,
    has_asked: atomic::AtomicBool,
    is_blocked: atomic::AtomicBool,
    /// Bytes of messages, those of the head among them.
    held: atomic::AtomicUsize,
    head: atomic::AtomicUsize,
    /// The bytes that it held when it was told to close; `None` if it wasn't.
    shed: sync::Mutex<Option<usize>>,
    shed_signal: tokio::sync::Notify,
}

/// Bytes of a message that are held until this is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    clients: sync::Arc<Clients>,
    client: Option<Client>,
    bytes: usize,
}

/// A part of a message, with the memory that it holds.
struct HeldPart {
    data: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Clients {
    pub(crate) fn new(limits: resource_limits::ResourceLimits) -> Self {
        Self {
            limits: sync::RwLock::new(limits),
            open: sync::Mutex::default(),
            next_number: atomic::AtomicU64::new(0),
            held: atomic::AtomicUsize::new(0),
            closing: atomic::AtomicUsize::new(0),
            turn: tokio::sync::Mutex::new(()),
            closed: tokio::sync::Notify::new(),
            shed_for_bytes: atomic::AtomicU64::new(0),
            shed_for_connections: atomic::AtomicU64::new(0),
            refused: atomic::AtomicU64::new(0),
            peers_shed: atomic::AtomicU64::new(0),
            peers_refused: atomic::AtomicU64::new(0),
        }
    }

    pub(crate) fn limits(&self) -> resource_limits::ResourceLimits {
        *locks::read(&self.limits)
    }

    pub(crate) fn set_limits(&self, limits: resource_limits::ResourceLimits) {
        *locks::write(&self.limits) = limits;
    }

    /// Accepts the next connection. Returns `None` if it was refused, as there are too many and none of them can be closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be accepted.
    pub(crate) async fn accept(
        self: &sync::Arc<Self>,
        listener: &tokio::net::TcpListener,
    ) -> io::Result<Option<Accepted>> {
        let (stream, addr) = listener.accept().await?;
        if self.wait_for_place().await {
            let registration = self.add();
            return Ok(Some(Accepted {
                stream,
                addr,
                registration,
            }));
        }
        self.refused.fetch_add(1, atomic::Ordering::Relaxed);
        limited_event!(Warn, "connection-refused", "cause" => "too many connections",
            "open" => locks::lock(&self.open).len());
        Ok(None)
    }

    /// Waits until there is a place for another connection, and closes others for that. Returns `false` if none can be
    /// closed.
    async fn wait_for_place(&self) -> bool {
        loop {
            let closed = self.closed.notified();
            let max = self.limits().client_connections;
            let open = locks::lock(&self.open).len();
            if open < max {
                return true;
            }
            let can_close = self.shed_connections((max / SHED_DIVISOR).max(1));
            let waited = tokio::time::timeout(CLOSE_TIME, closed).await;
            if waited.is_err() && !can_close {
                return false;
            }
        }
    }

    /// Counts a connection of another host that was closed to make room.
    pub(crate) fn record_peer_shed(&self) {
        self.peers_shed.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a call of another host for whose message there was no memory.
    pub(crate) fn record_peer_refused(&self) {
        self.peers_refused.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Adds a connection. It counts until the returned value is dropped.
    fn add(self: &sync::Arc<Self>) -> Registration {
        let number = self.next_number.fetch_add(1, atomic::Ordering::Relaxed);
        let shared = sync::Arc::new(Shared {
            clients: self.clone(),
            number,
            phase: sync::Mutex::new((load_shedding::Phase::Waiting, tokio::time::Instant::now())),
            has_asked: atomic::AtomicBool::new(false),
            is_blocked: atomic::AtomicBool::new(false),
            held: atomic::AtomicUsize::new(0),
            head: atomic::AtomicUsize::new(0),
            shed: sync::Mutex::new(None),
            shed_signal: tokio::sync::Notify::new(),
        });
        locks::lock(&self.open).insert(number, shared.clone());
        Registration(Client(shared))
    }

    /// Returns the connections that aren't being closed.
    fn holders(&self) -> Vec<load_shedding::Holder> {
        let now = tokio::time::Instant::now();
        let open = locks::lock(&self.open);
        let staying = open
            .values()
            .filter(|shared| locks::lock(&shared.shed).is_none());
        let holders = staying.map(|shared| {
            let (phase, since) = *locks::lock(&shared.phase);
            load_shedding::Holder {
                number: shared.number,
                phase,
                age: now.saturating_duration_since(since),
                has_asked: shared.has_asked.load(atomic::Ordering::Relaxed),
                is_blocked: shared.is_blocked.load(atomic::Ordering::Relaxed),
                bytes: shared.held.load(atomic::Ordering::Relaxed),
            }
        });
        holders.collect()
    }

    /// Tells connections to close, and counts them in `counter`. Returns whether there are any.
    fn shed(&self, numbers: &[u64], counter: &atomic::AtomicU64, cause: &str) -> bool {
        if numbers.is_empty() {
            return false;
        }
        let count = numbers.len() as u64;
        counter.fetch_add(count, atomic::Ordering::Relaxed);
        limited_event!(Warn, "connections-shed", "cause" => cause, "count" => count,
            "held" => self.held.load(atomic::Ordering::Relaxed));
        let open = locks::lock(&self.open);
        for shared in numbers.iter().filter_map(|number| open.get(number)) {
            let mut shed = locks::lock(&shared.shed);
            if shed.is_some() {
                // Another thread has chosen it meanwhile.
                continue;
            }
            let bytes = shared.held.load(atomic::Ordering::Relaxed);
            *shed = Some(bytes);
            self.closing.fetch_add(bytes, atomic::Ordering::Relaxed);
            shared.shed_signal.notify_one();
        }
        true
    }

    fn shed_connections(&self, count: usize) -> bool {
        let chosen = load_shedding::for_connections(&self.holders(), count);
        self.shed(&chosen, &self.shed_for_connections, "too many connections")
    }

    /// Returns the bytes that are held and will stay so.
    fn staying(&self) -> usize {
        let held = self.held.load(atomic::Ordering::Relaxed);
        held.saturating_sub(self.closing.load(atomic::Ordering::Relaxed))
    }

    /// Closes connections until there will be room for `needed` further bytes. Returns whether there will be.
    fn make_room(&self, needed: usize) -> bool {
        let max = self.limits().message_bytes;
        let staying = self.staying();
        if staying + needed <= max {
            return true;
        }
        let excess = (staying + needed).saturating_sub(max - max / SPARE_DIVISOR);
        let chosen = load_shedding::for_bytes(&self.holders(), excess);
        self.shed(&chosen, &self.shed_for_bytes, "too many bytes of messages");
        self.staying() + needed <= max
    }

    /// Returns whether further bytes may be held now.
    fn has_room(&self, needed: usize) -> bool {
        let held = self.held.load(atomic::Ordering::Relaxed);
        held + needed <= self.limits().message_bytes
    }

    fn hold(self: &sync::Arc<Self>, client: Option<&Client>, bytes: usize) -> Held {
        self.held.fetch_add(bytes, atomic::Ordering::Relaxed);
        if let Some(client) = client {
            client.0.held.fetch_add(bytes, atomic::Ordering::Relaxed);
        }
        Held {
            clients: self.clone(),
            client: client.cloned(),
            bytes,
        }
    }

    /// Reserves memory for a message, or a part of one. Returns `None` if there is none, and other messages can't be
    /// given up for it.
    pub(crate) async fn reserve(
        self: &sync::Arc<Self>,
        client: Option<&Client>,
        bytes: usize,
    ) -> Option<Held> {
        for _ in 0..RESERVE_TRIES {
            if self.has_room(bytes) {
                return Some(self.hold(client, bytes));
            }
            if !self.make_room(bytes) {
                return None;
            }
            tokio::time::sleep(RESERVE_PAUSE).await;
        }
        None
    }

    /// Reserves memory as [`Self::reserve`] does, but waits until there is some. Messages that don't fit wait in order of
    /// arrival.
    pub(crate) async fn wait_for_memory(self: &sync::Arc<Self>, bytes: usize) -> Held {
        if self.has_room(bytes) {
            return self.hold(None, bytes);
        }
        let _turn = self.turn.lock().await;
        loop {
            // A single message may be longer than all memory for messages.
            if bytes >= self.limits().message_bytes {
                return self.hold(None, bytes);
            }
            match self.reserve(None, bytes).await {
                Some(held) => return held,
                None => tokio::time::sleep(RESERVE_PAUSE).await,
            }
        }
    }

    /// Returns the metrics by name. The first two are levels, the others count since the start of the process.
    pub(crate) fn metrics(&self) -> [(&'static str, u64); 7] {
        let count = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        [
            ("clients.open", locks::lock(&self.open).len() as u64),
            (
                "clients.held_bytes",
                self.held.load(atomic::Ordering::Relaxed) as u64,
            ),
            ("clients.shed_for_bytes", count(&self.shed_for_bytes)),
            (
                "clients.shed_for_connections",
                count(&self.shed_for_connections),
            ),
            ("clients.refused", count(&self.refused)),
            ("peers.shed", count(&self.peers_shed)),
            ("peers.refused", count(&self.peers_refused)),
        ]
    }
}

/// A connection that was accepted.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) stream: tokio::net::TcpStream,
    pub(crate) addr: net::SocketAddr,
    pub(crate) registration: Registration,
}

/// Counts a connection as open until this is dropped.
#[derive(Debug)]
pub(crate) struct Registration(Client);

impl Registration {
    pub(crate) fn client(&self) -> &Client {
        &self.0
    }

    /// Runs what serves the connection until it ends or the connection has to be closed.
    pub(crate) async fn run(self, serving: impl Future<Output = ()>) {
        tokio::select! {
            () = self.0.wait_until_shed() => {}
            () = serving => {}
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let shared = &self.0.0;
        let clients = &shared.clients;
        locks::lock(&clients.open).remove(&shared.number);
        self.0.release_head();
        if let Some(bytes) = *locks::lock(&shared.shed) {
            clients.closing.fetch_sub(bytes, atomic::Ordering::Relaxed);
        }
        clients.closed.notify_waiters();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let total = &self.clients.held;
        total.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
        if let Some(client) = &self.client {
            let held = &client.0.held;
            held.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
        }
    }
}

impl Client {
    /// Records what the connection does from now on.
    pub(crate) fn enter(&self, phase: load_shedding::Phase) {
        *locks::lock(&self.0.phase) = (phase, tokio::time::Instant::now());
        if !matches!(
            phase,
            load_shedding::Phase::Waiting | load_shedding::Phase::Head
        ) {
            self.0.has_asked.store(true, atomic::Ordering::Relaxed);
        }
    }

    /// Records whether the client takes what is sent. Returns what was recorded before.
    pub(crate) fn set_blocked(&self, is_blocked: bool) -> bool {
        self.0
            .is_blocked
            .swap(is_blocked, atomic::Ordering::Relaxed)
    }

    pub(crate) fn is_blocked(&self) -> bool {
        self.0.is_blocked.load(atomic::Ordering::Relaxed)
    }

    /// Returns whether bytes may be read now. Otherwise connections are being closed, maybe this one.
    pub(crate) fn may_read(&self) -> bool {
        let clients = &self.0.clients;
        if clients.has_room(0) {
            return true;
        }
        // If nothing can be closed, the request is refused once its head was read.
        !clients.make_room(0)
    }

    /// Counts bytes that were read before the end of a request's head.
    pub(crate) fn add_head(&self, bytes: usize) {
        let bytes = bytes * HEAD_FACTOR;
        self.0.head.fetch_add(bytes, atomic::Ordering::Relaxed);
        self.0.held.fetch_add(bytes, atomic::Ordering::Relaxed);
        let total = &self.0.clients.held;
        total.fetch_add(bytes, atomic::Ordering::Relaxed);
    }

    /// Ends to count the bytes of a request's head.
    pub(crate) fn release_head(&self) {
        self.release_buffered(self.0.head.swap(0, atomic::Ordering::Relaxed));
    }

    /// Counts bytes that were received and that nothing reads for now.
    pub(crate) fn add_buffered(&self, bytes: usize) {
        self.0.held.fetch_add(bytes, atomic::Ordering::Relaxed);
        let clients = &self.0.clients;
        clients.held.fetch_add(bytes, atomic::Ordering::Relaxed);
        clients.make_room(0);
    }

    /// Ends to count bytes that were received.
    pub(crate) fn release_buffered(&self, bytes: usize) {
        self.0.held.fetch_sub(bytes, atomic::Ordering::Relaxed);
        let total = &self.0.clients.held;
        total.fetch_sub(bytes, atomic::Ordering::Relaxed);
    }

    /// Reserves memory for a body that is received on the connection.
    pub(crate) async fn reserve(&self, bytes: usize) -> Option<Held> {
        self.0.clients.reserve(Some(self), bytes).await
    }

    /// Counts an answer as held by the connection until it was sent.
    pub(crate) fn hold_answer(&self, data: Bytes) -> Bytes {
        if data.is_empty() {
            return data;
        }
        let held = self.0.clients.hold(Some(self), data.len());
        self.0.clients.make_room(0);
        Bytes::from_owner(HeldPart { data, _held: held })
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn wait_until_shed(&self) {
        self.0.shed_signal.notified().await;
    }
}
