//! Orders to engines: models, versions and roles, under a lease with a fencing number.
//!
//! The steward of a pool's cell sees what is wanted and takes the pool's lease from the platform only
//! when it has an order to give, so that idle pools cost no writes. An engine is drained before it
//! changes; its own report tells whether the change took effect, also when the reply was lost.

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

/// The kind of lease objects.
pub const LEASE_KIND: &str = "lease";
const TICK: time::Duration = time::Duration::from_millis(500);
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(10);
const CONFIRM_LIMIT: time::Duration = time::Duration::from_secs(20);
const BUSY_PREFILL: time::Duration = time::Duration::from_millis(100);
const FREE_SHARE: f64 = 0.4;

/// A pool of which this host has a cell.
struct Pool {
    lease_name: String,
    serving: engines::Serving,
    role_changes: bool,
    minimum: usize,
    cell: sync::Arc<steward::Cell>,
}

/// What this host does about one pool.
struct Orders {
    policy: roles::Policy,
    lease: lease::Lease,
    outstanding: Option<Outstanding>,
}

#[derive(Clone, Debug)]
struct Outstanding {
    change: Change,
    since: time::Duration,
    sent: bool,
}

/// The state that an engine shall have.
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

/// Starts to watch the pools that this host stewards.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut known: collections::HashMap<String, Orders> = collections::HashMap::new();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for pool in pools(&cx) {
                let orders = known
                    .entry(pool.lease_name.clone())
                    .or_insert_with(|| Orders {
                        policy: roles::Policy::default(),
                        lease: lease::Lease::new(cx.id.clone()),
                        outstanding: None,
                    });
                step(&cx, &pool, orders).await;
            }
        }
    });
}

/// Returns the pools of which this host has a cell.
fn pools(cx: &host::Host) -> Vec<Pool> {
    let mut pools = Vec::new();
    let config = locks::read(&cx.config);
    for stored in config.iter() {
        let document = &stored.document;
        for pool in &document.pools {
            for spec in document.cells(&pool.name) {
                let Some(cell) = cx.steward.find(&spec.name) else {
                    continue;
                };
                pools.push(Pool {
                    lease_name: spec.name.replace('/', "."),
                    serving: engines::Serving {
                        model: pool.model.clone(),
                        version: pool.version.clone(),
                    },
                    role_changes: pool.role_changes,
                    minimum: pool.min_per_role as usize,
                    cell,
                });
            }
        }
    }
    pools
}

async fn step(cx: &sync::Arc<host::Host>, pool: &Pool, orders: &mut Orders) {
    let now = cx.now();
    let Some(outstanding) = orders.outstanding.clone() else {
        orders.outstanding = wanted(pool, &mut orders.policy, now);
        if let Some(outstanding) = &orders.outstanding {
            let change = &outstanding.change;
            log::info!(
                "{} is to become {:?} of {:?}",
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
    let engine = state_of(pool, &outstanding.change.name);
    let Some(engine) = engine else {
        return end(pool, orders, "the engine is not in the pool any more");
    };
    if outstanding.change.is_done(&engine) {
        cx.metrics.count("orders.done");
        return end(pool, orders, "done");
    }
    if waited > DRAIN_LIMIT + CONFIRM_LIMIT {
        return end(pool, orders, "given up");
    }
    let empty = engine.granted == 0 && engine.foreign == 0;
    if !outstanding.sent && (empty || waited > DRAIN_LIMIT) {
        let sent = give(cx, pool, orders, &outstanding.change).await;
        if let Some(outstanding) = &mut orders.outstanding {
            outstanding.sent = sent;
        }
    }
}

fn end(pool: &Pool, orders: &mut Orders, why: &str) {
    if let Some(outstanding) = orders.outstanding.take() {
        let name = &outstanding.change.name;
        log::info!("change of {name}: {why}");
        pool.cell
            .with(|cell| cell.engines_mut().set_changing(name, false));
    }
}

fn state_of(pool: &Pool, name: &str) -> Option<engines::State> {
    let states = pool.cell.with(|cell| cell.engines().states());
    states.into_iter().find(|state| *state.name == *name)
}

/// Returns the next change: first what the document asks for, one engine at a time, then what the
/// demand asks for.
fn wanted(pool: &Pool, policy: &mut roles::Policy, now: time::Duration) -> Option<Outstanding> {
    let (pressure, states) = pool
        .cell
        .with(|cell| (pressure(cell, now), cell.engines().states()));
    let working: Vec<engines::State> = states.into_iter().filter(|s| s.reachable).collect();
    let change = outdated(pool, &working).or_else(|| swing(pool, policy, pressure, &working, now));
    change.map(|change| Outstanding {
        change,
        since: now,
        sent: false,
    })
}

/// Returns the change of an engine that has loaded something else than the document says. The last
/// engine of a role keeps serving what it has until another one is ready.
fn outdated(pool: &Pool, working: &[engines::State]) -> Option<Change> {
    let alone = |state: &engines::State| {
        let same = working.iter().filter(|other| other.role == state.role);
        same.count() < 2
    };
    let other = |state: &&engines::State| {
        state
            .serving
            .as_ref()
            .is_some_and(|serving| *serving != pool.serving)
    };
    let found = working.iter().filter(other).find(|state| !alone(state));
    found.map(|state| Change {
        name: state.name.clone(),
        role: state.role,
        serving: pool.serving.clone(),
    })
}

fn swing(
    pool: &Pool,
    policy: &mut roles::Policy,
    pressure: roles::Pressure,
    working: &[engines::State],
    now: time::Duration,
) -> Option<Change> {
    if !pool.role_changes {
        return None;
    }
    let candidates = working.iter().map(|state| roles::Candidate {
        name: state.name.clone(),
        role: state.role,
        held: state.granted + state.foreign,
    });
    let candidates: Vec<roles::Candidate> = candidates.collect();
    let change = policy.decide(pressure, &candidates, pool.minimum, now)?;
    Some(Change {
        name: change.name,
        role: change.role,
        serving: pool.serving.clone(),
    })
}

/// Compares both sides of a pool. Requests that wait while slots are free wait for prefill.
fn pressure(cell: &cell::Cell, now: time::Duration) -> roles::Pressure {
    let engines = cell.engines();
    let total = engines.total_slots().max(1) as f64;
    let free = engines.free_slots() as f64 / total;
    let turns = BUSY_PREFILL.as_secs_f64() * engines.prefill_count().max(1) as f64;
    let busy = engines.prefill_backlog(now).as_secs_f64() / turns;
    let starving = cell.waiting_count() > 0 && free > FREE_SHARE;
    roles::Pressure {
        prefill: if starving { 1.0 } else { busy.min(1.0) },
        decode: 1.0 - free,
    }
}

/// Gives an order if this host holds the lease, or can get it. Returns whether it was sent.
async fn give(
    cx: &sync::Arc<host::Host>,
    pool: &Pool,
    orders: &mut Orders,
    change: &Change,
) -> bool {
    if orders.lease.held(cx.now()).is_none() {
        take_lease(cx, pool, &mut orders.lease).await;
    }
    // The lease is looked at right before the order, since taking it may have been slow.
    let Some(held) = orders.lease.held(cx.now()) else {
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
    let given = cx
        .engines
        .order(&address.addr, &order, lease::ORDER_TIMEOUT);
    match given.await {
        Ok(()) => true,
        // Without a reply the engine's own report tells what it did.
        Err(engine::Failure::TimedOut | engine::Failure::Lost(_)) => true,
        Err(failure) => {
            log::warn!("order to {}: {failure:?}", change.name);
            false
        }
    }
}

async fn take_lease(cx: &sync::Arc<host::Host>, pool: &Pool, lease: &mut lease::Lease) {
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
    // After a lost reply the next look at the object tells whether the write took effect.
    if let Ok(Ok(_)) = put {
        lease.written(&record, sent);
    }
}
