//! Orders that change the stage of model engines, so that each pool has enough engines for prefill and
//! for decode.
//!
//! Only the host that holds the lease sends orders. Orders carry the lease's fencing number.

use std::collections;
use std::sync;
use std::time;

use serde::Deserialize as _;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::lease;
use walnuthaven_lib::pool_balance;
use walnuthaven_lib::rendezvous;
use walnuthaven_lib::typical_work;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::send;
use crate::router::store;

/// How often the balance of the pools is checked.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest time for an engine to answer an order or a state query.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// How long each host in turn has to take the lease before the next one tries.
const TURN_TIME: time::Duration = time::Duration::from_secs(3);
/// The number of hosts with a turn of their own. All others share the turn after these.
const MAX_TURNS: usize = 3;
/// Weight of a new sample in the moving average of the typical work.
const WORK_WEIGHT: f64 = 0.2;
/// The name of the lease, which covers the orders to all engines.
const LEASE_NAME: &str = "engine-orders";

/// Starts the task that keeps the pools balanced.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let balancer = Balancer {
        cx: cx.clone(),
        client: store::Client::new(cx),
        lease: lease::Lease::new(cx.id.clone()),
        recent_orders: collections::HashMap::new(),
        wanted_since: None,
        measured_work: collections::HashMap::new(),
    };
    tokio::spawn(balancer.run());
}

/// Checks the balance of the pools and sends stage orders.
struct Balancer<D> {
    cx: sync::Arc<context::Router<D>>,
    client: store::Client<D>,
    lease: lease::Lease,
    /// The engines that were recently chosen for an order, each with the ordered stage and with the
    /// time until which it is expected to change to that stage.
    recent_orders: collections::HashMap<sync::Arc<str>, (backends::Stage, time::Duration)>,
    /// Since when some pool has needed an order, if one does.
    wanted_since: Option<time::Duration>,
    /// The work of a typical request as measured, by service.
    measured_work: collections::HashMap<sync::Arc<str>, typical_work::TypicalWork>,
}

impl<D: dialect::Dialect> Balancer<D> {
    async fn run(mut self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.cx.is_leaving() {
                return;
            }
            // A host that starts in a later era waits from its first answer of the store on, not from its first order.
            self.record_era();
            self.check_balance().await;
        }
    }

    /// Sends the orders that the pools need, once the need has lasted long enough and this host
    /// holds the lease.
    async fn check_balance(&mut self) {
        let now = self.cx.now();
        self.recent_orders.retain(|_, (_, until)| now < *until);
        self.measure_work();
        if self.wanted_order().is_none() {
            self.wanted_since = None;
            return;
        }
        let wanted_since = *self.wanted_since.get_or_insert(now);
        let busy = locks::lock(&self.cx.engine_load).has_runs();
        if now.saturating_sub(wanted_since)
            < pool_balance::min_imbalance_time(busy) + self.turn_delay()
        {
            return;
        }
        while let Some(order) = self.wanted_order() {
            if !self.ensure_lease().await {
                return;
            }
            self.send_order(order).await;
        }
    }

    /// Returns how long this host waits for hosts with earlier turns to take the lease and send the
    /// order. Turns follow a ranking of the hosts by name, so that not all hosts ask for the lease
    /// at once.
    fn turn_delay(&self) -> time::Duration {
        let peers = locks::lock(&self.cx.peers);
        let names = peers.alive().map(|name| &**name).chain([&*self.cx.id.name]);
        let ranked = rendezvous::ranked(LEASE_NAME, names, MAX_TURNS);
        let own_turn = ranked.iter().position(|name| **name == *self.cx.id.name);
        TURN_TIME * own_turn.unwrap_or(MAX_TURNS) as u32
    }

    /// Averages the work of the requests that run now, as this host and the hosts of its group tell it.
    fn measure_work(&mut self) {
        let Some(table) = self.cx.table() else {
            return;
        };
        for service in table.services().filter(|s| s.engines.is_some()) {
            let engines = self.cx.group_engines(&service.name, None);
            let Some(sample) = locks::lock(&self.cx.engine_load).typical_work(&engines) else {
                continue;
            };
            self.measured_work
                .entry(service.name.clone())
                .and_modify(|work| *work = work.average_with(sample, WORK_WEIGHT))
                .or_insert(sample);
        }
    }

    /// Returns the next order that some pool needs, if any.
    fn wanted_order(&self) -> Option<pool_balance::StageOrder> {
        let table = self.cx.table()?;
        let now = self.cx.now();
        let recent = self
            .recent_orders
            .iter()
            .map(|(id, (stage, _))| (id.clone(), *stage));
        let recent = recent.collect();
        let groups = locks::lock(&self.cx.peers).groups();
        table.services().find_map(|service| {
            let pool = service.engines.as_ref()?;
            let memory = pool.memory_tokens;
            let (work, min_gain) = match self.measured_work.get(&service.name) {
                Some(measured) => (*measured, pool_balance::MIN_MEASURED_GAIN),
                None => (
                    typical_work::TypicalWork::assumed(memory, pool.tokens_per_event),
                    1.0,
                ),
            };
            let usable = locks::lock(&self.cx.servers).usable(&service.name, now);
            // Each group of hosts has its own engines, so each group is balanced on its own.
            (0..groups.count()).find_map(|group| {
                let of_group = usable.iter().filter(|e| groups.group(&e.id) == group);
                let engines: Vec<_> = of_group.cloned().collect();
                pool_balance::next_order(&engines, memory, &work, min_gain, &recent)
            })
        })
    }

    /// Gives the lease up if the store has come back from a copy, which may not hold it.
    fn record_era(&mut self) {
        if let Some(era) = self.cx.renewals.era() {
            self.lease.record_era(era, self.cx.now());
        }
    }

    /// Returns the lease if this host holds it and may send an order now.
    fn held_lease(&mut self) -> Option<lease::Held> {
        self.record_era();
        self.lease.held(self.cx.now())
    }

    /// Acquires the lease unless this host holds it already. Returns whether this host holds it.
    async fn ensure_lease(&mut self) -> bool {
        if self.held_lease().is_some() {
            return true;
        }
        match self.try_acquire_lease().await {
            Ok(acquired) => acquired,
            Err(failure) => {
                event!(Info, "lease-not-taken", "cause" => failure.to_string());
                false
            }
        }
    }

    /// Acquires or renews the lease in the store if it is free or held by this host. Returns
    /// whether it did.
    async fn try_acquire_lease(&mut self) -> Result<bool, store::Failure> {
        let collection = dialect::Collection::Leases;
        let stored = self.client.find(collection, LEASE_NAME).await?;
        let record = stored.as_ref().and_then(|object| {
            // An unreadable record is replaced as if there were none.
            lease::Record::deserialize(&object.value).ok()
        });
        self.record_era();
        let now = self.cx.now();
        let lease::Step::Write(record) = self.lease.observe(record.as_ref(), true, now) else {
            return Ok(false);
        };
        let value = serde_json::to_value(&record).map_err(|_| store::Failure::Unreadable)?;
        match stored {
            None => self.client.create(collection, LEASE_NAME, &value).await?,
            Some(object) => {
                self.client
                    .replace(collection, LEASE_NAME, object.revision, &value)
                    .await?;
            }
        }
        self.lease.record_write(&record, now);
        event!(Info, "lease-held", "fence" => record.fence, "renewal" => record.renewal);
        Ok(true)
    }

    /// Sends an order to an engine, unless the engine reports that it is busy with another order or
    /// already has the stage. The order states how many orders the engine has accepted, as it
    /// reported, so that it can refuse an outdated one.
    async fn send_order(&mut self, order: pool_balance::StageOrder) {
        let engine = order.engine.clone();
        let settled_at = self.cx.now() + pool_balance::SETTLE_TIME;
        self.recent_orders
            .insert(engine.id.clone(), (order.stage, settled_at));
        let reported = send::call(&self.cx, &engine, self.cx.dialect.report(), ORDER_TIMEOUT).await;
        let report = reported
            .ok()
            .and_then(|(_, body)| self.cx.dialect.read_report(&body));
        let Some(report) = report.filter(|report| !report.busy && report.stage != order.stage)
        else {
            event!(Info, "order-skipped", "server" => engine.id);
            return;
        };
        let Some(held) = self.held_lease() else {
            return;
        };
        let call = self.cx.dialect.stage_order(&dialect::FencedStageOrder {
            stage: order.stage,
            holder: &self.cx.id.name,
            fence: held.fence,
            orders: report.orders,
        });
        self.cx.telemetry.count("orders");
        let avoid_until = self.cx.now() + pool_balance::SETTLE_TIME;
        locks::lock(&self.cx.health).avoid(&engine.id, avoid_until);
        self.cx.news_due.notify_one();
        let answer = match send::call(&self.cx, &engine, call, ORDER_TIMEOUT).await {
            Ok((status, _)) => format!("{:?}", self.cx.dialect.order_answer(status)),
            // The engine may still carry out the order. Its entry in the store will show the new
            // stage, and until `settled_at` no further order is sent to it.
            Err(error) => format!("no answer: {error}"),
        };
        event!(Info, "order", "server" => engine.id, "stage" => format!("{:?}", order.stage),
            "fence" => held.fence, "orders" => report.orders, "answer" => answer,
            "prefill_ms" => order.work.prefill_time.as_millis() as u64,
            "answer_ms" => order.work.answer_time.as_millis() as u64,
            "held_tokens" => order.work.held_tokens as u64);
    }
}
