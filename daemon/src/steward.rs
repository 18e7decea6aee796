//! The cells that this host stewards.

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

const TICK: time::Duration = time::Duration::from_millis(4);

/// The cells of this host.
#[derive(Debug)]
pub struct Steward {
    policy: cell::Policy,
    first_id: u64,
    cells: sync::Mutex<collections::BTreeMap<ids::Name, sync::Arc<Cell>>>,
    waiting: tokio::sync::Notify,
}

/// One cell with the requests that wait for it.
#[derive(Debug)]
pub struct Cell {
    /// The cell's name.
    pub name: ids::Name,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    cell: cell::Cell,
    engines: Vec<engines::Spec>,
    waiters: collections::HashMap<u64, oneshot::Sender<grant::Decision>>,
}

impl Steward {
    /// Makes a steward without cells. Grant ids start at the host's incarnation, so that they differ
    /// between the stewards of a cell.
    pub fn new(policy: cell::Policy, incarnation: u64) -> Self {
        Self {
            policy,
            first_id: incarnation << GRANT_BITS,
            cells: sync::Mutex::default(),
            waiting: tokio::sync::Notify::new(),
        }
    }

    /// Returns a cell, made on first use, with the engines of the configuration in force.
    pub fn cell(&self, spec: &config::CellSpec) -> sync::Arc<Cell> {
        let mut cells = locks::lock(&self.cells);
        let known = cells.entry(spec.name.clone()).or_insert_with(|| {
            let inner = Inner {
                cell: cell::Cell::new(self.policy, self.first_id),
                engines: Vec::new(),
                waiters: collections::HashMap::new(),
            };
            sync::Arc::new(Cell {
                name: spec.name.clone(),
                inner: sync::Mutex::new(inner),
            })
        });
        let found = known.clone();
        drop(cells);
        found.configure(&spec.engines);
        found
    }

    /// Returns a cell if this host has it.
    pub fn find(&self, name: &str) -> Option<sync::Arc<Cell>> {
        locks::lock(&self.cells).get(name).cloned()
    }

    /// Returns all cells of this host.
    pub fn cells(&self) -> Vec<sync::Arc<Cell>> {
        locks::lock(&self.cells).values().cloned().collect()
    }

    /// Drops a cell that another host stewards once nothing waits or runs here.
    pub fn retire(&self, name: &str) {
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

const GRANT_BITS: u32 = 20;

impl Cell {
    fn configure(&self, engines: &[engines::Spec]) {
        let mut inner = locks::lock(&self.inner);
        if inner.engines != engines {
            inner.engines = engines.to_vec();
            inner.cell.configure(engines.to_vec());
        }
    }

    /// Runs a closure on the cell's decisions.
    pub fn with<T>(&self, f: impl FnOnce(&mut cell::Cell) -> T) -> T {
        f(&mut locks::lock(&self.inner).cell)
    }

    /// Waits until the request gets engines or is refused. Dropping the future takes the request
    /// back.
    ///
    /// # Errors
    ///
    /// Returns the cell's refusal.
    pub async fn acquire(
        self: sync::Arc<Self>,
        cx: &host::Host,
        ask: grant::EngineRequest,
    ) -> Result<grant::Grant, refusal::Refusal> {
        let (tx, rx) = oneshot::channel();
        let ticket = {
            let mut inner = locks::lock(&self.inner);
            let ticket = inner.cell.enqueue(ask, cx.now())?;
            inner.waiters.insert(ticket, tx);
            ticket
        };
        self.advance(cx.now());
        cx.steward.waiting.notify_one();
        let mut guard = Waiting {
            cell: &self,
            ticket,
            rx,
            clock_now: cx.now(),
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

    /// Lets the cell decide and hands the decisions out.
    pub fn advance(&self, now: time::Duration) {
        let mut inner = locks::lock(&self.inner);
        inner.cell.engines_mut().advance(now);
        for (ticket, decision) in inner.cell.schedule(now) {
            let grant = match &decision {
                grant::Decision::Grant(grant) => Some(grant.id),
                grant::Decision::Refuse(_) => None,
            };
            let waiter = inner.waiters.remove(&ticket);
            let taken = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
            if let (false, Some(grant)) = (taken, grant) {
                inner
                    .cell
                    .on_grant_event(grant, grant::Event::Released, now);
            }
        }
    }

    /// Takes a report on a grant.
    pub fn on_grant_event(&self, grant: u64, event: grant::Event, now: time::Duration) {
        self.with(|cell| cell.on_grant_event(grant, event, now));
        self.advance(now);
    }

    /// Applies cache events of an engine.
    pub fn on_cache_event(&self, server: &str, number: u64, change: prefix::Change) {
        self.with(|cell| cell.engines_mut().on_cache_event(server, number, change));
    }

    /// Drops what a gone host waited for and held, and frees it at the engines.
    pub fn on_host_gone(&self, cx: &sync::Arc<host::Host>, gone: &ids::HostId) {
        let cancels = self.with(|cell| cell.on_host_gone(gone, cx.now()));
        for order in cancels {
            cx.cancel(order);
        }
    }
}

struct Waiting<'a> {
    cell: &'a Cell,
    ticket: u64,
    rx: oneshot::Receiver<grant::Decision>,
    clock_now: time::Duration,
    decided: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let mut inner = locks::lock(&self.cell.inner);
        inner.waiters.remove(&self.ticket);
        inner.cell.withdraw(self.ticket);
        // A grant that was sent but not received must not leak.
        if let Ok(grant::Decision::Grant(grant)) = self.rx.try_recv() {
            let event = grant::Event::Released;
            inner.cell.on_grant_event(grant.id, event, self.clock_now);
        }
    }
}

/// Lets cells decide again every few milliseconds while requests wait.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        loop {
            let cells = cx.steward.cells();
            let busy: Vec<_> = cells.iter().filter(|cell| cell.has_waiters()).collect();
            if busy.is_empty() {
                cx.steward.waiting.notified().await;
            }
            for cell in busy {
                cell.advance(cx.now());
            }
            tokio::time::sleep(TICK).await;
        }
    });
}

impl Cell {
    fn has_waiters(&self) -> bool {
        !locks::lock(&self.inner).waiters.is_empty()
    }
}
