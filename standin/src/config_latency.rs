//! Measures the time from the acceptance of a configuration change until it is in force at every
//! host.

use std::collections;
use std::time;

use anyhow::Context as _;
use serde_json::json;
use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;
use walnuthaven_lib::history;

use crate::daemon_fleet;
use crate::experiment;
use crate::report;
use crate::world;

/// Pause after each change.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Wait after the last change for the hosts to receive it.
const FINAL_WAIT: time::Duration = time::Duration::from_secs(3);

/// Runs the measurement with `hosts` real hosts and prints the result as one JSON object. Returns
/// whether every change came into force at every host.
///
/// # Errors
///
/// Returns an error if the fleet can't be run or a change is not accepted.
pub async fn run(hosts: usize, changes: u64) -> anyhow::Result<bool> {
    let world = world::World::start(&[world::User::Coop]).await?;
    let mut fleet = daemon_fleet::Fleet::new(&world.platform_url, "current", "latency")?;
    let zones = world.zones();
    for at in 0..hosts {
        fleet.start(&format!("host-{at}"), zones[at % zones.len()])?;
    }
    experiment::wait_until_ready(&fleet, hosts).await?;
    let mut accepted = collections::BTreeMap::new();
    for number in 0..changes {
        let index = usize::try_from(number)? % hosts;
        let generation =
            tokio::task::block_in_place(|| make_change(&fleet.hosts[index].admin_addr, number))?;
        accepted.insert(generation, clock::millis(clock::BootClock.unix_time()));
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    tokio::time::sleep(FINAL_WAIT).await;
    let events = fleet.events()?;
    let delays = delays(&events, &accepted, hosts);
    let in_force_everywhere = delays.len() == accepted.len();
    let body = json!({
        "hosts": hosts,
        "changes": accepted.len(),
        "in_force_everywhere": delays.len(),
        "accepted_to_everywhere_ms": report::percentiles(delays.into_iter()),
        "reverts": history::check(&events).len(),
    });
    println!("{body}");
    Ok(in_force_everywhere)
}

/// Sets the field `share` to another value in the configuration of workspace `hammam` at the host with the given admin
/// address. Returns the generation of the new configuration.
fn make_change(admin: &str, number: u64) -> anyhow::Result<u64> {
    let url = format!("http://{admin}/admin/config/hammam");
    let bearer = format!("Bearer {}", world::OPERATOR_TOKEN);
    let mut current = ureq::get(&url).header("authorization", &bearer).call()?;
    let current: serde_json::Value = current.body_mut().read_json()?;
    let mut document = current["document"].clone();
    document["share"] = json!(1 + number % 1_000);
    let body = json!({
        "document": document,
        "seen": current["generation"],
        "change": format!("latency-{number}"),
    });
    let mut response = ureq::put(&url)
        .header("authorization", &bearer)
        .send_json(body)?;
    let response: serde_json::Value = response.body_mut().read_json()?;
    response["generation"]
        .as_u64()
        .context("the reply names no generation")
}

/// Returns, for each accepted generation, the time from its acceptance until every host had it or a
/// later one in force. Generations that did not reach every host are left out.
///
/// `accepted` maps generations to their Unix times of acceptance in milliseconds.
fn delays(
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
    let everywhere_at_ms = |generation: u64| {
        let first = by_host.values().filter_map(|in_force| {
            let later = in_force.iter().filter(|(other, _)| *other >= generation);
            later.map(|(_, at_ms)| *at_ms).min()
        });
        let times: Vec<u64> = first.collect();
        (times.len() == hosts)
            .then(|| times.into_iter().max())
            .flatten()
    };
    let delays = accepted.iter().filter_map(|(generation, accepted_at_ms)| {
        let last = everywhere_at_ms(*generation)?;
        Some(time::Duration::from_millis(
            last.saturating_sub(*accepted_at_ms),
        ))
    });
    delays.collect()
}
