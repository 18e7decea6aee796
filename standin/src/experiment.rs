//! Runs a scenario against real daemons, checks the guarantees and measures the results.

use std::sync;
use std::time;

use anyhow::Context as _;

use crate::daemon_fleet;
use crate::driver;
use crate::load;
use crate::platform;
use crate::report;
use crate::scenario;
use crate::world;

/// Parameters of an experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The load and the failures.
    pub scenario: scenario::Scenario,
    /// Name of the scheduler that the hosts use: `baseline` or `current`.
    pub policy: String,
    /// Seed of the random load; it also selects the host or engine that fails.
    pub seed: u64,
    /// Number of hosts to start.
    pub hosts: usize,
    /// Time over which requests are sent.
    pub duration: time::Duration,
    /// Factor by which all arrival rates are multiplied.
    pub rate_factor: f64,
    /// Factor by which all output lengths are multiplied.
    pub output_factor: f64,
}

/// Difference between the seeds of successive phases.
const PHASE_SEED_STEP: u64 = 1_000;
/// Number of checks, `READY_CHECK_INTERVAL` apart, after which the hosts count as not ready.
const READY_CHECKS: u32 = 100;
const READY_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after the last arrival within which all requests must have ended.
const COMPLETION_TIMEOUT: time::Duration = time::Duration::from_secs(45);
/// Wait after the load, longer than the two seconds after which the driver checks that no engine
/// memory is held for callers that left.
const FINAL_CHECK_DELAY: time::Duration = time::Duration::from_millis(2_300);

/// Runs an experiment.
///
/// # Errors
///
/// Returns an error if the fleet can't be run. Broken guarantees are counted in the report.
pub async fn run(plan: &Plan) -> anyhow::Result<report::Report> {
    let users: Vec<world::User> = plan.scenario.users.iter().map(|(user, _)| *user).collect();
    let world = sync::Arc::new(world::World::start_with(&users, plan.scenario.role_changes).await?);
    let mut fleet =
        daemon_fleet::Fleet::new(&world.platform_url, &plan.policy, plan.scenario.name)?;
    let zones = world.zones();
    for at in 0..plan.hosts {
        let zone = zones[at % zones.len()];
        fleet.start(&format!("host-{at}"), zone)?;
        list_newest_host(&world, &fleet);
    }
    wait_until_ready(&fleet, plan.hosts).await?;
    let driver = driver::Driver::new(world.clone(), &fleet.api_addresses())?;
    let calls_before = world.platform.call_counts();
    let cpu_before = usage(&fleet);
    let arrivals = arrivals(plan);
    let load = driver.run(arrivals, COMPLETION_TIMEOUT);
    let failures = inject_failures(plan, &world, &driver, &mut fleet);
    let (_, failed) = tokio::join!(load, failures);
    failed?;
    tokio::time::sleep(FINAL_CHECK_DELAY).await;
    let calls = world.platform.call_counts();
    let seconds = plan.duration.as_secs_f64();
    let mut report = report::Report {
        scenario: plan.scenario.name.to_owned(),
        policy: plan.policy.clone(),
        seed: plan.seed,
        platform_writes_per_s: (calls.writes - calls_before.writes) as f64 / seconds,
        platform_reads_per_s: (calls.reads - calls_before.reads) as f64 / seconds,
        weight_loads: world.weights.load_count(),
        ..report::Report::default()
    };
    world.recorder.add_records(fleet.events()?);
    report.add_results(&driver.results(), &world.recorder);
    measure_hosts(&mut report, &fleet, &cpu_before);
    Ok(report)
}

/// Generates the arrivals of all users, in order of time.
fn arrivals(plan: &Plan) -> Vec<load::Arrival> {
    let mut all = Vec::new();
    for (user, mix) in &plan.scenario.users {
        let mut mix = *mix;
        mix.model_per_s *= plan.rate_factor;
        mix.plain_per_s *= plan.rate_factor;
        mix.jobs_per_s *= plan.rate_factor;
        mix.output_factor *= plan.output_factor;
        all.extend(load::arrivals(*user, &mix, plan.duration, plan.seed));
    }
    if let Some((user, _)) = plan.scenario.users.first() {
        all.extend(phase_arrivals(plan, *user));
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Generates the arrivals of the phases of the scenario, one phase after the other.
fn phase_arrivals(plan: &Plan, user: world::User) -> Vec<load::Arrival> {
    let phases = u32::try_from(plan.scenario.phases.len()).unwrap_or(u32::MAX);
    let mut all = Vec::new();
    for (phase, mix) in (0..phases).zip(&plan.scenario.phases) {
        let duration = plan.duration / phases;
        let seed = plan.seed + u64::from(phase) * PHASE_SEED_STEP;
        for mut arrival in load::arrivals(user, mix, duration, seed) {
            arrival.at += duration * phase;
            all.push(arrival);
        }
    }
    all
}

/// Adds the host started last to the platform's host list.
fn list_newest_host(world: &world::World, fleet: &daemon_fleet::Fleet) {
    if let Some(host) = fleet.hosts.last() {
        let platform = &world.platform;
        platform.list_host(&host.name, &host.peer_addr, "entry", false, false);
    }
}

/// Waits until every host sees `hosts` live members and has a configuration, and then for the time
/// that the stewards need to learn the load of the engines.
///
/// # Errors
///
/// Returns an error if the hosts aren't ready after 100 checks, about ten seconds.
pub async fn wait_until_ready(fleet: &daemon_fleet::Fleet, hosts: usize) -> anyhow::Result<()> {
    for _ in 0..READY_CHECKS {
        let ready = (0..fleet.hosts.len()).all(|index| is_ready(fleet, index, hosts));
        if ready {
            // Gives the stewards time to ask the engines for their load.
            tokio::time::sleep(READY_CHECK_INTERVAL * 8).await;
            return Ok(());
        }
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
    anyhow::bail!("the hosts did not find each other or received no configuration")
}

fn is_ready(fleet: &daemon_fleet::Fleet, index: usize, hosts: usize) -> bool {
    let Ok(dump) = tokio::task::block_in_place(|| fleet.dump(index)) else {
        return false;
    };
    let alive = dump["members"].as_array().is_some_and(|members| {
        let alive = members.iter().filter(|member| member["state"] == "alive");
        alive.count() >= hosts
    });
    let configured = dump["config"].as_array().is_some_and(|c| !c.is_empty());
    alive && configured
}

/// Causes the scenario's failures at their times.
async fn inject_failures(
    plan: &Plan,
    world: &sync::Arc<world::World>,
    driver: &sync::Arc<driver::Driver>,
    fleet: &mut daemon_fleet::Fleet,
) -> anyhow::Result<()> {
    let began = tokio::time::Instant::now();
    for (share, failure) in &plan.scenario.failures {
        tokio::time::sleep_until(began + plan.duration.mul_f64(*share)).await;
        log::info!("injecting failure: {failure:?}");
        match failure {
            scenario::Failure::PlatformDown(duration) => {
                start_platform_outage(world.clone(), *duration);
            }
            failure => inject_failure(plan, failure, world, driver, fleet).await?,
        }
    }
    Ok(())
}

/// Starts an outage of the platform that ends after `duration`, without waiting for its end.
fn start_platform_outage(world: sync::Arc<world::World>, duration: time::Duration) {
    tokio::spawn(async move {
        let down = platform::Faults {
            down: true,
            ..platform::Faults::default()
        };
        world.platform.set_faults(down);
        tokio::time::sleep(duration).await;
        world.platform.set_faults(platform::Faults::default());
    });
}

/// Causes any failure except a platform outage.
async fn inject_failure(
    plan: &Plan,
    failure: &scenario::Failure,
    world: &sync::Arc<world::World>,
    driver: &sync::Arc<driver::Driver>,
    fleet: &mut daemon_fleet::Fleet,
) -> anyhow::Result<()> {
    match failure {
        scenario::Failure::KillHost => {
            let steward = find_steward(fleet)?;
            let index = match plan.seed % 2 {
                0 => steward,
                _ => (steward + 1) % fleet.hosts.len(),
            };
            kill_host(index, world, driver, fleet);
        }
        scenario::Failure::PauseHost(duration) => {
            let index = find_steward(fleet)?;
            fleet.pause(index, *duration).await?;
        }
        scenario::Failure::RestartHosts => restart_hosts(world, driver, fleet).await?,
        scenario::Failure::CrashEngine => {
            world.engines[plan.seed as usize % world.engines.len()].crash();
        }
        scenario::Failure::CrashThirdOfEngines => {
            let third = world.engines.iter().skip(plan.seed as usize % 3).step_by(3);
            third.for_each(|engine| engine.crash());
        }
        scenario::Failure::EngineLeaves => {
            let engine = world.engines.last().context("no engine")?;
            engine.start_leaving();
            let addr = engine.addr.to_string();
            let platform = &world.platform;
            platform.list_host(&engine.spec.name, &addr, "backend", true, false);
            kill_host(find_steward(fleet)?, world, driver, fleet);
        }
        scenario::Failure::StallTransfers(share) => {
            for engine in &world.engines {
                engine.set_stall_share(*share);
            }
        }
        scenario::Failure::LosePlainReplies(share) => {
            for server in &world.services {
                server.set_faults(crate::plain_server::Faults {
                    lose_replies: *share,
                    fail: 0.0,
                });
            }
        }
        scenario::Failure::PlatformDown(_) => {}
    }
    Ok(())
}

/// Kills a host and marks it as gone in the platform's host list.
fn kill_host(
    index: usize,
    world: &world::World,
    driver: &driver::Driver,
    fleet: &mut daemon_fleet::Fleet,
) {
    let api = fleet.hosts[index].api_addr.clone();
    driver::lock(&driver.hosts.killed).insert(api);
    let host = fleet.kill(index);
    log::info!("killed host {}", host.name);
    world
        .platform
        .list_host(&host.name, &host.peer_addr, "entry", false, true);
}

/// Shuts down every host gracefully, one after the other, and starts it again under its name.
async fn restart_hosts(
    world: &sync::Arc<world::World>,
    driver: &sync::Arc<driver::Driver>,
    fleet: &mut daemon_fleet::Fleet,
) -> anyhow::Result<()> {
    for _ in 0..fleet.hosts.len() {
        let (name, zone) = (fleet.hosts[0].name.clone(), fleet.hosts[0].zone.clone());
        let api = fleet.hosts[0].api_addr.clone();
        driver::lock(&driver.hosts.leaving).insert(api);
        fleet.shut_down(0).await?;
        fleet.start(&name, &zone)?;
        list_newest_host(world, fleet);
        tokio::time::sleep(READY_CHECK_INTERVAL * 5).await;
    }
    Ok(())
}

/// Returns the index of the first host that is the steward of a cell.
fn find_steward(fleet: &daemon_fleet::Fleet) -> anyhow::Result<usize> {
    for index in 0..fleet.hosts.len() {
        let dump = tokio::task::block_in_place(|| fleet.dump(index))?;
        let cells = dump["cells"].as_array();
        let held = cells
            .and_then(|cells| cells.first())
            .map(|cell| &cell["held"]);
        if held.and_then(serde_json::Value::as_u64).is_some() {
            return Ok(index);
        }
    }
    anyhow::bail!("no host is the steward of a cell")
}

/// Resources used and work done by all hosts since their start.
#[derive(Clone, Debug, Default)]
struct Usage {
    cpu_ms: u64,
    /// Tokens sent to callers.
    tokens: u64,
    requests: u64,
    /// The largest memory of a single host in kilobytes.
    peak_kb: u64,
    /// Ids of the hosts; an id changes with each restart.
    hosts: Vec<String>,
}

fn usage(fleet: &daemon_fleet::Fleet) -> Usage {
    let mut usage = Usage::default();
    for index in 0..fleet.hosts.len() {
        let Ok(dump) = tokio::task::block_in_place(|| fleet.dump(index)) else {
            continue;
        };
        usage.hosts.push(dump["host"].to_string());
        let number = |value: &serde_json::Value| value.as_u64().unwrap_or(0);
        usage.cpu_ms += number(&dump["cpu_ms"]);
        usage.tokens += number(&dump["counters"]["tokens"]);
        usage.requests += number(&dump["counters"]["requests"]);
        usage.peak_kb = usage.peak_kb.max(number(&dump["memory_kb"]));
    }
    usage
}

/// Adds the resource usage of the hosts since `before` to the report. CPU times are only meaningful
/// if no host was restarted; otherwise just the memory is added.
fn measure_hosts(report: &mut report::Report, fleet: &daemon_fleet::Fleet, before: &Usage) {
    let after = usage(fleet);
    report.host_peak_rss_mb = after.peak_kb as f64 / 1_024.0;
    if after.hosts != before.hosts {
        return;
    }
    report.host_cpu_ms = Some(after.cpu_ms.saturating_sub(before.cpu_ms));
    report.host_tokens = after.tokens.saturating_sub(before.tokens);
    let cpu_us = after.cpu_ms.saturating_sub(before.cpu_ms) as f64 * 1_000.0;
    let requests = after.requests.saturating_sub(before.requests).max(1);
    let tokens = after.tokens.saturating_sub(before.tokens).max(1);
    report.host_cpu_us_per_request = Some(cpu_us / requests as f64);
    report.host_cpu_us_per_token = Some(cpu_us / tokens as f64);
}
