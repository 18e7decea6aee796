//! Orders engines to change their model, version or role, under a lease with a fencing number.
//!
//! The steward of a cell decides which changes the cell's engines need. It takes the cell's lease from
//! the platform only when it has an order to send, so that pools without changes cause no writes.
//! An engine is drained before it is changed. Its load report shows whether the change took effect,
//! even if the reply to the order was lost.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::cell;
use walnuthaven_lib::engines;
use walnuthaven_lib::ids;
use walnuthaven_lib::lease;
use walnuthaven_lib::roles;

use crate::engine;
use crate::host;
use crate::locks;
use crate::platform;
use crate::steward;

/// The kind of lease objects in the platform's store.
pub const LEASE_KIND: &str = "lease";
/// Interval between checks of the cells.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long an engine may take to drain before the order is sent anyway.
const MAX_DRAIN_TIME: time::Duration = time::Duration::from_secs(10);
/// How long a change may take after the drain time before it is given up.
const MAX_CONFIRM_TIME: time::Duration = time::Duration::from_secs(20);
/// Prefill work queued per prefill engine at which the prefill role counts as fully loaded.
const FULL_PREFILL_BACKLOG: time::Duration = time::Duration::from_millis(100);
/// Share of free decode slots above which waiting requests are taken to wait for prefill.
const MIN_FREE_SLOT_SHARE: f64 = 0.4;

/// A cell that this host stewards, with the configuration of its pool.
struct PoolCell {
    /// The name of the cell's lease object: the cell's name with dots in place of slashes.
    lease_name: String,
    /// The model and version that the engines are to serve.
    serving: engines::Serving,
    /// Whether engines may change their roles.
    role_changes: bool,
    /// Minimum number of engines in each role.
    min_per_role: usize,
    cell: sync::Arc<steward::Cell>,
}

/// The state that this host keeps for a cell between checks.
struct CellState {
    policy: roles::Policy,
    lease: lease::Lease,
    /// The change in progress. There is at most one at a time.
    outstanding: Option<Outstanding>,
}

/// A change in progress.
#[derive(Clone, Debug)]
struct Outstanding {
    change: Change,
    /// When the change was decided on and the engine began to drain.
    since: time::Duration,
    /// Whether the order was sent.
    sent: bool,
}

/// The role and the model that an engine is to change to.
#[derive(Clone, Debug)]
struct Change {
    name: ids::Name,
    role: engines::Role,
    serving: engines::Serving,
}

impl Change {
    fn is_done(&self, engine: &engines::State) -> bool {
        engine.role == self.role && engine.serving.as_ref() == Some(&self.serving)
    }
}

/// Starts to check periodically the cells that this host stewards.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut cell_states: collections::HashMap<String, CellState> = collections::HashMap::new();
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for pool in pool_cells(&cx) {
                let state = cell_states
                    .entry(pool.lease_name.clone())
                    .or_insert_with(|| CellState {
                        policy: roles::Policy::default(),
                        lease: lease::Lease::new(cx.id.clone()),
                        outstanding: None,
                    });
                check(&cx, &pool, state).await;
            }
        }
    });
}

/// Returns the cells that this host stewards, with the configuration of their pools.
fn pool_cells(cx: &host::Host) -> Vec<PoolCell> {
    let mut pool_cells = Vec::new();
    let config = locks::read(&cx.config);
    for stored in config.iter() {
        let document = &stored.document;
        for pool in &document.pools {
            for spec in document.cells(&pool.name) {
                let Some(cell) = cx.steward.find(&spec.name) else {
                    continue;
                };
                pool_cells.push(PoolCell {
                    lease_name: spec.name.replace('/', "."),
                    serving: engines::Serving {
                        model: pool.model.clone(),
                        version: pool.version.clone(),
                    },
                    role_changes: pool.role_changes,
                    min_per_role: pool.min_per_role as usize,
                    cell,
                });
            }
        }
    }
    pool_cells
}

/// Decides on the next change in a cell, or takes the next step of the outstanding one.
async fn check(cx: &sync::Arc<host::Host>, pool: &PoolCell, state: &mut CellState) {
    let now = cx.now();
    let Some(outstanding) = state.outstanding.clone() else {
        state.outstanding = next_change(pool, &mut state.policy, now);
        if let Some(outstanding) = &state.outstanding {
            let change = &outstanding.change;
            log::info!(
                "draining {} to change its role to {:?} and its model to {:?}",
                change.name,
                change.role,
                change.serving
            );
            pool.cell
                .with(|cell| cell.engines_mut().set_changing(&change.name, true));
        }
        return;
    };
    let waited = now.saturating_sub(outstanding.since);
    let engine = engine_state(pool, &outstanding.change.name);
    let Some(engine) = engine else {
        return end_change(pool, state, "the engine is no longer in the pool");
    };
    if outstanding.change.is_done(&engine) {
        cx.metrics.count("orders.done");
        return end_change(pool, state, "done");
    }
    if waited > MAX_DRAIN_TIME + MAX_CONFIRM_TIME {
        return end_change(pool, state, "given up");
    }
    let drained = engine.granted == 0 && engine.foreign == 0;
    if !outstanding.sent && (drained || waited > MAX_DRAIN_TIME) {
        let sent = send_order(cx, pool, state, &outstanding.change).await;
        if let Some(outstanding) = &mut state.outstanding {
            outstanding.sent = sent;
        }
    }
}

/// Ends the outstanding change, so that the engine gets requests again.
fn end_change(pool: &PoolCell, state: &mut CellState, outcome: &str) {
    if let Some(outstanding) = state.outstanding.take() {
        let name = &outstanding.change.name;
        log::info!("change of {name} ended: {outcome}");
        pool.cell
            .with(|cell| cell.engines_mut().set_changing(name, false));
    }
}

fn engine_state(pool: &PoolCell, name: &str) -> Option<engines::State> {
    let states = pool.cell.with(|cell| cell.engines().states());
    states.into_iter().find(|state| *state.name == *name)
}

/// Returns the next change in a cell: the model or version of an engine if the configuration document
/// asks for another one, else a role if the load asks for it. One engine is changed at a time.
fn next_change(
    pool: &PoolCell,
    policy: &mut roles::Policy,
    now: time::Duration,
) -> Option<Outstanding> {
    let (pressure, states) = pool
        .cell
        .with(|cell| (pressure(cell, now), cell.engines().states()));
    let reachable: Vec<engines::State> = states.into_iter().filter(|s| s.reachable).collect();
    let change = model_change(pool, &reachable)
        .or_else(|| role_change(pool, policy, pressure, &reachable, now));
    change.map(|change| Outstanding {
        change,
        since: now,
        sent: false,
    })
}

/// Returns the change of an engine that serves another model or version than the configuration
/// document says. The last engine of a role keeps serving what it has until another one is ready.
fn model_change(pool: &PoolCell, reachable: &[engines::State]) -> Option<Change> {
    let is_last_of_role = |state: &engines::State| {
        let same_role = reachable.iter().filter(|other| other.role == state.role);
        same_role.count() < 2
    };
    let is_outdated = |state: &&engines::State| {
        state
            .serving
            .as_ref()
            .is_some_and(|serving| *serving != pool.serving)
    };
    let found = reachable
        .iter()
        .filter(is_outdated)
        .find(|state| !is_last_of_role(state));
    found.map(|state| Change {
        name: state.name.clone(),
        role: state.role,
        serving: pool.serving.clone(),
    })
}

/// Returns the change of role that the load on the cell asks for.
fn role_change(
    pool: &PoolCell,
    policy: &mut roles::Policy,
    pressure: roles::Pressure,
    reachable: &[engines::State],
    now: time::Duration,
) -> Option<Change> {
    if !pool.role_changes {
        return None;
    }
    let candidates = reachable.iter().map(|state| roles::Candidate {
        name: state.name.clone(),
        role: state.role,
        held: state.granted + state.foreign,
    });
    let candidates: Vec<roles::Candidate> = candidates.collect();
    let change = policy.decide(pressure, &candidates, pool.min_per_role, now)?;
    Some(Change {
        name: change.name,
        role: change.role,
        serving: pool.serving.clone(),
    })
}

/// Returns the pressure on both roles of a cell. If requests wait although many decode slots are free,
/// they wait for prefill, so the pressure on that role is full.
fn pressure(cell: &cell::Cell, now: time::Duration) -> roles::Pressure {
    let engines = cell.engines();
    let total = engines.total_slots().max(1) as f64;
    let free_share = engines.free_slots() as f64 / total;
    let full_backlog = FULL_PREFILL_BACKLOG.as_secs_f64() * engines.prefill_count().max(1) as f64;
    let prefill_load = engines.prefill_backlog(now).as_secs_f64() / full_backlog;
    let waits_for_prefill = cell.waiting_count() > 0 && free_share > MIN_FREE_SLOT_SHARE;
    roles::Pressure {
        prefill: if waits_for_prefill {
            1.0
        } else {
            prefill_load.min(1.0)
        },
        decode: 1.0 - free_share,
    }
}

/// Sends an order if this host holds the cell's lease or can take it. Returns whether the engine may
/// have received the order.
async fn send_order(
    cx: &sync::Arc<host::Host>,
    pool: &PoolCell,
    state: &mut CellState,
    change: &Change,
) -> bool {
    if state.lease.held(cx.now()).is_none() {
        take_lease(cx, pool, &mut state.lease).await;
    }
    // The lease is checked again right before the order is sent, since taking it may have been slow.
    let Some(held) = state.lease.held(cx.now()) else {
        return false;
    };
    let Some(address) = pool.cell.with(|cell| cell.engines().address(&change.name)) else {
        return false;
    };
    let order = engine::Order {
        fence: held.fence,
        role: change.role,
        model: change.serving.model.to_string(),
        version: change.serving.version.to_string(),
    };
    let sent = cx
        .engines
        .order(&address.addr, &order, lease::ORDER_TIMEOUT);
    match sent.await {
        Ok(()) => true,
        // The engine's load report shows whether it followed the order.
        Err(engine::Failure::TimedOut | engine::Failure::Lost(_)) => true,
        Err(failure) => {
            log::warn!("engine {} did not take an order: {failure:?}", change.name);
            false
        }
    }
}

/// Takes or renews the cell's lease in the platform's store, if it is free or this host's.
async fn take_lease(cx: &sync::Arc<host::Host>, pool: &PoolCell, lease: &mut lease::Lease) {
    let client = cx.platform.clone();
    let name = pool.lease_name.clone();
    let read = tokio::task::spawn_blocking(move || client.get(LEASE_KIND, &name)).await;
    let (stored, version) = match read {
        Ok(Ok(object)) => {
            let stored: Option<lease::Record> = serde_json::from_value(object.value).ok();
            (stored, object.version)
        }
        Ok(Err(platform::Failure::NotFound)) => (None, 0),
        _ => return,
    };
    let lease::Step::Write(record) = lease.observe(stored.as_ref(), true, cx.now()) else {
        return;
    };
    let sent = cx.now();
    let client = cx.platform.clone();
    let name = pool.lease_name.clone();
    let copy = record.clone();
    let put =
        tokio::task::spawn_blocking(move || client.put(LEASE_KIND, &name, &copy, version)).await;
    // If the reply was lost, the next read of the object shows whether the write took effect.
    if let Ok(Ok(_)) = put {
        lease.record_write(&record, sent);
    }
}
