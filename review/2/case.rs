//! The store comes back from a copy that is older than the lease for orders to engines. The host that held the lease
//! leaves, and another one gives orders.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::{self, Failure, World};

const ENGINES: usize = 6;
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// `lease_ms` of the site.
const LEASE: Duration = Duration::from_millis(3_000);

/// An order that a server received.
#[derive(Clone, Debug)]
struct Order {
    at: Duration,
    server: String,
    holder: String,
    fence: u64,
}

fn orders(world: &World) -> Vec<Order> {
    let read = |(at, line): (Duration, String)| {
        let (server, order) = line.strip_prefix("server ")?.split_once(": order ")?;
        let words: Vec<&str> = order.split(' ').collect();
        Some(Order {
            at,
            server: server.to_owned(),
            holder: words.first()?.to_string(),
            fence: words.get(2)?.parse().ok()?,
        })
    };
    world.record.lines().into_iter().filter_map(read).collect()
}

fn wait_for(timeout: Duration, what: &str, holds: impl Fn() -> bool) -> Result<(), Failure> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > timeout {
            return Err(format!("{what}: not within {timeout:?}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

pub fn play(world: &mut World) -> Result<Vec<String>, Failure> {
    world.store.put("config", "main", &world::config(7));
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let options = [
            ("service", "writer"),
            ("stage", "decode"),
            ("switch-ms", "6000"),
        ];
        engines.push(world.start_server(&format!("i-e{number}"), &options)?);
    }
    thread::sleep(Duration::from_millis(300));
    let hosts = [
        world.start_host("h1")?,
        world.start_host("h2")?,
        world.start_host("h3")?,
    ];
    world.wait_ready(&hosts.iter().collect::<Vec<_>>(), Duration::from_secs(10))?;

    // All engines generate at first, so the hosts have some of them read prompts.
    wait_for(Duration::from_secs(20), "two orders", || {
        orders(world).len() >= 2
    })?;
    let first = orders(world);
    let holder = first[0].holder.clone();
    let ordered: Vec<String> = first.iter().map(|order| order.server.clone()).collect();
    thread::sleep(Duration::from_secs(2));
    if world.trouble {
        let leased = world
            .store
            .writes()
            .into_iter()
            .find(|(_, line)| line.contains("-leases"));
        let leased = leased.ok_or("no lease was written")?.0;
        let age = world
            .store
            .restore_copy(leased.elapsed() + Duration::from_millis(200), AWAY);
        world.record.add(format!(
            "store is back from a copy {:.1} s old",
            age.as_secs_f64()
        ));
    }
    thread::sleep(Duration::from_secs(1));
    // Planned work in either case: the host leaves, and then an engine does.
    let leaving = hosts
        .iter()
        .find(|host| host.process.name == holder)
        .ok_or("unknown holder")?;
    leaving.process.signal(world::SIGTERM);
    world.record.add(format!("host {holder} gets SIGTERM"));
    thread::sleep(Duration::from_secs(6));
    let drained = engines
        .iter_mut()
        .find(|engine| !ordered.contains(&engine.name));
    let drained = drained.ok_or("no engine is left")?;
    drained.tell("drain");
    world
        .record
        .add(format!("server {} is told to drain", drained.name));
    let drained = drained.name.clone();
    thread::sleep(Duration::from_secs(4));
    let at = engines
        .iter()
        .position(|engine| engine.name == drained)
        .ok_or("no engine")?;
    drop(engines.remove(at));
    world.record.add(format!("server {drained} has ended"));
    let before = first.len();
    wait_for(Duration::from_secs(40), "an order of another host", || {
        orders(world)[before..]
            .iter()
            .any(|order| order.holder != holder)
    })?;
    thread::sleep(Duration::from_secs(3));

    for (at, line) in world.store.writes() {
        if line.contains("-leases") {
            world.record.add_at(at, line);
        }
    }
    let mut by_server: BTreeMap<String, Vec<Order>> = BTreeMap::new();
    for order in orders(world) {
        by_server
            .entry(order.server.clone())
            .or_default()
            .push(order);
    }
    let mut broken = Vec::new();
    for (server, orders) in by_server {
        for (number, order) in orders.iter().enumerate() {
            for earlier in orders[..number]
                .iter()
                .filter(|earlier| earlier.holder != order.holder)
            {
                let what = if earlier.fence == order.fence {
                    "the same fencing token"
                } else if earlier.fence > order.fence {
                    "a lower fencing token"
                } else if order.at - earlier.at < LEASE {
                    "a turn within lease_ms"
                } else {
                    continue;
                };
                broken.push(format!(
                    "{server} got orders of {} with fence {} and of {} with fence {}: {what}",
                    earlier.holder, earlier.fence, order.holder, order.fence
                ));
            }
        }
    }
    Ok(broken)
}
