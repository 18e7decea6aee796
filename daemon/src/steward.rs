//! The cells that this host is the steward of: it grants their engines to requests from all hosts.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::oneshot;
use walnuthaven_lib::cell;
use walnuthaven_lib::config;
use walnuthaven_lib::engines;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::prefix;
use walnuthaven_lib::refusal;

use crate::host;
use crate::locks;

/// Interval at which cells are scheduled while requests wait.
const SCHEDULE_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// The cells of this host.
#[derive(Debug)]
pub struct Steward {
    policy: cell::Policy,
    /// The first grant id of each cell.
    first_grant_id: u64,
    cells: sync::Mutex<collections::BTreeMap<ids::Name, sync::Arc<Cell>>>,
    /// Wakes the scheduling task when a request starts to wait.
    request_waits: tokio::sync::Notify,
}

/// One cell, and the tasks that wait for its decisions.
#[derive(Debug)]
pub struct Cell {
    /// The cell's name.
    pub name: ids::Name,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    cell: cell::Cell,
    /// The engines as last configured.
    engines: Vec<engines::Spec>,
    /// Where to send the decisions on waiting requests, by ticket.
    waiters: collections::HashMap<u64, oneshot::Sender<grant::Decision>>,
}

impl Steward {
    /// Creates a steward without cells. The high bits of grant ids are the host's incarnation, so that
    /// the ids of successive stewards of a cell differ.
    pub fn new(policy: cell::Policy, incarnation: u64) -> Self {
        Self {
            policy,
            first_grant_id: incarnation << GRANT_NUMBER_BITS,
            cells: sync::Mutex::default(),
            request_waits: tokio::sync::Notify::new(),
        }
    }

    /// Returns a cell, configured with the engines in `spec`. Creates it on first use.
    pub fn cell(&self, spec: &config::CellSpec) -> sync::Arc<Cell> {
        let mut cells = locks::lock(&self.cells);
        let cell = cells.entry(spec.name.clone()).or_insert_with(|| {
            let inner = Inner {
                cell: cell::Cell::new(self.policy, self.first_grant_id),
                engines: Vec::new(),
                waiters: collections::HashMap::new(),
            };
            sync::Arc::new(Cell {
                name: spec.name.clone(),
                inner: sync::Mutex::new(inner),
            })
        });
        let cell = cell.clone();
        drop(cells);
        cell.configure(&spec.engines);
        cell
    }

    /// Returns a cell if this host has it.
    pub fn find(&self, name: &str) -> Option<sync::Arc<Cell>> {
        locks::lock(&self.cells).get(name).cloned()
    }

    /// Returns all cells of this host.
    pub fn cells(&self) -> Vec<sync::Arc<Cell>> {
        locks::lock(&self.cells).values().cloned().collect()
    }

    /// Removes a cell whose steward is now another host, unless requests still wait or run here.
    pub fn remove_if_idle(&self, name: &str) {
        let mut cells = locks::lock(&self.cells);
        let idle = cells.get(name).is_some_and(|cell| {
            let counts = cell.with(|cell| cell.counts());
            counts == cell::Counts::default()
        });
        if idle {
            cells.remove(name);
        }
    }
}

/// Number of low bits of a grant id that number the grants of one cell.
const GRANT_NUMBER_BITS: u32 = 20;

impl Cell {
    fn configure(&self, engines: &[engines::Spec]) {
        let mut inner = locks::lock(&self.inner);
        if inner.engines != engines {
            inner.engines = engines.to_vec();
            inner.cell.configure(engines.to_vec());
        }
    }

    /// Calls a function with the cell's scheduler locked.
    pub fn with<T>(&self, f: impl FnOnce(&mut cell::Cell) -> T) -> T {
        f(&mut locks::lock(&self.inner).cell)
    }

    /// Queues a request and waits until it gets engines or is refused. Dropping the future withdraws
    /// the request.
    ///
    /// # Errors
    ///
    /// Returns the cell's refusal.
    pub async fn acquire(
        self: sync::Arc<Self>,
        cx: &host::Host,
        request: grant::EngineRequest,
    ) -> Result<grant::Grant, refusal::Refusal> {
        let (tx, rx) = oneshot::channel();
        let ticket = {
            let mut inner = locks::lock(&self.inner);
            let ticket = inner.cell.enqueue(request, cx.now())?;
            inner.waiters.insert(ticket, tx);
            ticket
        };
        self.advance(cx.now());
        cx.steward.request_waits.notify_one();
        let mut guard = WaitGuard {
            cell: &self,
            ticket,
            rx,
            enqueued_at: cx.now(),
            decided: false,
        };
        let decision = (&mut guard.rx).await;
        guard.decided = true;
        match decision {
            Ok(grant::Decision::Grant(grant)) => Ok(grant),
            Ok(grant::Decision::Refuse(refusal)) => Err(refusal),
            Err(_) => {
                let message = "the steward dropped the request";
                Err(refusal::Refusal::not_run(
                    refusal::Code::Unavailable,
                    message,
                ))
            }
        }
    }

    /// Schedules the waiting requests and sends out the decisions.
    pub fn advance(&self, now: time::Duration) {
        let mut inner = locks::lock(&self.inner);
        inner.cell.engines_mut().advance(now);
        for (ticket, decision) in inner.cell.schedule(now) {
            let grant = match &decision {
                grant::Decision::Grant(grant) => Some(grant.id),
                grant::Decision::Refuse(_) => None,
            };
            let waiter = inner.waiters.remove(&ticket);
            let received = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
            if let (false, Some(grant)) = (received, grant) {
                inner
                    .cell
                    .on_grant_event(grant, grant::Event::Released, now);
            }
        }
    }

    /// Applies an event of a grant, and schedules the requests that wait for the freed capacity.
    pub fn on_grant_event(&self, grant: u64, event: grant::Event, now: time::Duration) {
        self.with(|cell| cell.on_grant_event(grant, event, now));
        self.advance(now);
    }

    /// Applies an event of an engine's prefix cache.
    pub fn on_cache_event(&self, server: &str, number: u64, change: prefix::Change) {
        self.with(|cell| cell.engines_mut().on_cache_event(server, number, change));
    }

    /// Removes the waiting requests and grants of a host that is gone, and cancels its requests at the
    /// engines.
    pub fn on_host_gone(&self, cx: &sync::Arc<host::Host>, gone: &ids::HostId) {
        let cancels = self.with(|cell| cell.on_host_gone(gone, cx.now()));
        for order in cancels {
            cx.cancel(order);
        }
    }
}

/// Withdraws a waiting request when it is dropped before the decision was received.
struct WaitGuard<'a> {
    cell: &'a Cell,
    ticket: u64,
    rx: oneshot::Receiver<grant::Decision>,
    enqueued_at: time::Duration,
    decided: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let mut inner = locks::lock(&self.cell.inner);
        inner.waiters.remove(&self.ticket);
        inner.cell.withdraw(self.ticket);
        // A grant that was sent but not received must be released.
        if let Ok(grant::Decision::Grant(grant)) = self.rx.try_recv() {
            let event = grant::Event::Released;
            inner.cell.on_grant_event(grant.id, event, self.enqueued_at);
        }
    }
}

/// Starts to schedule cells periodically while requests wait.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        loop {
            let cells = cx.steward.cells();
            let waited_for: Vec<_> = cells.iter().filter(|cell| cell.has_waiters()).collect();
            if waited_for.is_empty() {
                cx.steward.request_waits.notified().await;
            }
            for cell in waited_for {
                cell.advance(cx.now());
            }
            tokio::time::sleep(SCHEDULE_INTERVAL).await;
        }
    });
}

impl Cell {
    fn has_waiters(&self) -> bool {
        !locks::lock(&self.inner).waiters.is_empty()
    }
}
