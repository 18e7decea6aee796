//! How long an accepted configuration takes to be in force at every host.

use std::collections;
use std::time;

use anyhow::Context as _;
use serde_json::json;
use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;
use walnuthaven_lib::history;

use crate::experiment;
use crate::fleet;
use crate::report;
use crate::world;

const BETWEEN_CHANGES: time::Duration = time::Duration::from_millis(60);
const LAST_SPREAD: time::Duration = time::Duration::from_secs(3);

/// Measures and prints one JSON object. Returns whether every change came into force everywhere.
///
/// # Errors
///
/// Returns an error if the fleet can't be run or a change is not accepted.
pub async fn run(hosts: usize, changes: u64) -> anyhow::Result<bool> {
    let world = world::World::start(&[world::User::Coop]).await?;
    let mut fleet = fleet::Fleet::new(&world.platform_url, "current", "latency")?;
    let zones = world.zones();
    for at in 0..hosts {
        fleet.start(&format!("host-{at}"), zones[at % zones.len()])?;
    }
    experiment::wait_until_ready(&fleet, hosts).await?;
    let mut accepted = collections::BTreeMap::new();
    for number in 0..changes {
        let at = usize::try_from(number)? % hosts;
        let generation = tokio::task::block_in_place(|| change(&fleet.hosts[at].admin, number))?;
        accepted.insert(generation, clock::millis(clock::BootClock.unix_time()));
        tokio::time::sleep(BETWEEN_CHANGES).await;
    }
    tokio::time::sleep(LAST_SPREAD).await;
    let events = fleet.events()?;
    let spread = spread(&events, &accepted, hosts);
    let everywhere = spread.len() == accepted.len();
    let body = json!({
        "hosts": hosts,
        "changes": accepted.len(),
        "in_force_everywhere": spread.len(),
        "accepted_to_everywhere_ms": report::percentiles(spread.into_iter()),
        "reverts": history::check(&events).len(),
    });
    println!("{body}");
    Ok(everywhere)
}

/// Makes a change at one host. Returns its generation.
fn change(admin: &str, number: u64) -> anyhow::Result<u64> {
    let url = format!("http://{admin}/admin/config/hammam");
    let bearer = format!("Bearer {}", world::OPERATOR_TOKEN);
    let mut shown = ureq::get(&url).header("authorization", &bearer).call()?;
    let shown: serde_json::Value = shown.body_mut().read_json()?;
    let mut document = shown["document"].clone();
    document["share"] = json!(1 + number % 1_000);
    let body = json!({
        "document": document,
        "seen": shown["generation"],
        "change": format!("latency-{number}"),
    });
    let mut put = ureq::put(&url)
        .header("authorization", &bearer)
        .send_json(body)?;
    let put: serde_json::Value = put.body_mut().read_json()?;
    put["generation"].as_u64().context("no generation")
}

/// Returns the time from acceptance until each host had the generation or a later one.
fn spread(
    events: &[history::Record],
    accepted: &collections::BTreeMap<u64, u64>,
    hosts: usize,
) -> Vec<time::Duration> {
    let mut by_host: collections::BTreeMap<&str, Vec<(u64, u64)>> = collections::BTreeMap::new();
    for record in events {
        if let history::Event::InForce {
            host, generation, ..
        } = &record.event
        {
            by_host
                .entry(host)
                .or_default()
                .push((*generation, record.at_ms));
        }
    }
    let everywhere = |generation: u64| {
        let first = by_host.values().filter_map(|seen| {
            let later = seen.iter().filter(|(known, _)| *known >= generation);
            later.map(|(_, at)| *at).min()
        });
        let times: Vec<u64> = first.collect();
        (times.len() == hosts)
            .then(|| times.into_iter().max())
            .flatten()
    };
    let spread = accepted.iter().filter_map(|(generation, at)| {
        let last = everywhere(*generation)?;
        Some(time::Duration::from_millis(last.saturating_sub(*at)))
    });
    spread.collect()
}
