//! Orders to model engines, given by the host that holds the lease.

use std::collections;
use std::sync;
use std::time;

use serde::Deserialize as _;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::lease;
use walnuthaven_lib::pool_balance;
use walnuthaven_lib::rendezvous;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::send;
use crate::router::store;

/// How often the balance of pools is looked at.
const LOOK: time::Duration = time::Duration::from_millis(500);
/// Longest time for an engine to answer an order.
const ORDER: time::Duration = time::Duration::from_secs(1);
/// How long each host has before the next one in turn asks for the lease.
const TURN: time::Duration = time::Duration::from_secs(3);
/// Hosts that are told apart by their turn.
const MOST_TURNS: usize = 3;
/// The lease of all orders.
const LEASE: &str = "engine-orders";

/// Starts to keep the balance of pools.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let keeper = Keeper {
        cx: cx.clone(),
        client: store::Client::new(cx),
        lease: lease::Lease::new(cx.id.clone()),
        recent: collections::HashMap::new(),
        wanted_since: None,
    };
    tokio::spawn(keeper.run());
}

struct Keeper<D> {
    cx: sync::Arc<context::Router<D>>,
    client: store::Client<D>,
    lease: lease::Lease,
    /// Engines that were given an order, the stage and when that is settled.
    recent: collections::HashMap<sync::Arc<str>, (backends::Stage, time::Duration)>,
    wanted_since: Option<time::Duration>,
}

impl<D: dialect::Dialect> Keeper<D> {
    async fn run(mut self) {
        loop {
            tokio::time::sleep(LOOK).await;
            if self.cx.is_leaving() {
                return;
            }
            self.look().await;
        }
    }

    async fn look(&mut self) {
        let now = self.cx.now();
        self.recent.retain(|_, (_, until)| now < *until);
        if self.wanted().is_none() {
            self.wanted_since = None;
            return;
        }
        let since = *self.wanted_since.get_or_insert(now);
        let busy = locks::lock(&self.cx.engine_load).has_runs();
        if now.saturating_sub(since) < pool_balance::min_imbalance_time(busy) + self.turn() {
            return;
        }
        while let Some(order) = self.wanted() {
            if !self.hold_lease().await {
                return;
            }
            self.give(order).await;
        }
    }

    /// Returns how long this host leaves an order to the one whose turn it is, so that not all hosts
    /// ask for the lease at once.
    fn turn(&self) -> time::Duration {
        let peers = locks::lock(&self.cx.peers);
        let names = peers.alive().map(|name| &**name).chain([&*self.cx.id.name]);
        let ranked = rendezvous::ranked(LEASE, names, MOST_TURNS);
        let own = ranked.iter().position(|name| **name == *self.cx.id.name);
        TURN * own.unwrap_or(MOST_TURNS) as u32
    }

    fn wanted(&self) -> Option<pool_balance::StageOrder> {
        let table = self.cx.table()?;
        let now = self.cx.now();
        let recent = self
            .recent
            .iter()
            .map(|(id, (stage, _))| (id.clone(), *stage));
        let recent = recent.collect();
        let groups = locks::lock(&self.cx.peers).groups();
        table.services().find_map(|service| {
            let memory = service.engines.as_ref()?.memory_tokens;
            let usable = locks::lock(&self.cx.servers).usable(&service.name, now);
            // Each group of hosts has a pool of its own.
            (0..groups.count()).find_map(|group| {
                let of_group = usable.iter().filter(|e| groups.group(&e.id) == group);
                let engines: Vec<_> = of_group.cloned().collect();
                pool_balance::next_order(&engines, memory, &recent)
            })
        })
    }

    /// Takes or renews the lease. Returns whether this host holds it.
    async fn hold_lease(&mut self) -> bool {
        if self.lease.held(self.cx.now()).is_some() {
            return true;
        }
        match self.try_lease().await {
            Ok(held) => held,
            Err(failure) => {
                event!(Info, "lease-not-taken", "cause" => failure.to_string());
                false
            }
        }
    }

    async fn try_lease(&mut self) -> Result<bool, store::Failure> {
        let collection = dialect::Collection::Leases;
        let stored = self.client.find(collection, LEASE).await?;
        let record = stored.as_ref().and_then(|object| {
            // A record that can't be read counts as none and is replaced.
            lease::Record::deserialize(&object.value).ok()
        });
        let now = self.cx.now();
        let lease::Step::Write(record) = self.lease.observe(record.as_ref(), true, now) else {
            return Ok(false);
        };
        let value = serde_json::to_value(&record).map_err(|_| store::Failure::Unreadable)?;
        match stored {
            None => self.client.create(collection, LEASE, &value).await?,
            Some(object) => {
                self.client
                    .replace(collection, LEASE, object.revision, &value)
                    .await?;
            }
        }
        self.lease.written(&record, now);
        event!(Info, "lease-held", "fence" => record.fence, "renewal" => record.renewal);
        Ok(true)
    }

    /// Gives an order, after the engine said what orders it has accepted.
    async fn give(&mut self, order: pool_balance::StageOrder) {
        let engine = order.engine.clone();
        let settled = self.cx.now() + pool_balance::SETTLE_TIME;
        self.recent
            .insert(engine.id.clone(), (order.stage, settled));
        let asked = send::call(&self.cx, &engine, self.cx.dialect.report(), ORDER).await;
        let report = asked
            .ok()
            .and_then(|(_, body)| self.cx.dialect.read_report(&body));
        let Some(report) = report.filter(|report| !report.busy && report.stage != order.stage)
        else {
            event!(Info, "order-skipped", "server" => engine.id);
            return;
        };
        let Some(held) = self.lease.held(self.cx.now()) else {
            return;
        };
        let call = self.cx.dialect.stage_order(&dialect::StageRequest {
            stage: order.stage,
            holder: &self.cx.id.name,
            fence: held.fence,
            orders: report.orders,
        });
        self.cx.telemetry.count("orders");
        let away = self.cx.now() + pool_balance::SETTLE_TIME;
        locks::lock(&self.cx.health).avoid(&engine.id, away);
        self.cx.news_due.notify_one();
        let answer = match send::call(&self.cx, &engine, call, ORDER).await {
            Ok((status, _)) => format!("{:?}", self.cx.dialect.order_answer(status)),
            // The engine may carry it out later; its entry tells, and it isn't repeated before.
            Err(error) => format!("no answer: {error}"),
        };
        event!(Info, "order", "server" => engine.id, "stage" => format!("{:?}", order.stage),
            "fence" => held.fence, "orders" => report.orders, "answer" => answer);
    }
}
