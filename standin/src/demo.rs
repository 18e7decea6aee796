//! The demo: sends the workloads of both simulated users to three hosts in this process and prints
//! the results.

use std::sync;
use std::time;

use crate::driver;
use crate::load;
use crate::local_fleet;
use crate::report;
use crate::world;

/// Number of hosts.
const HOST_COUNT: usize = 3;
/// Time after the last arrival within which all requests must have ended.
const COMPLETION_TIMEOUT: time::Duration = time::Duration::from_secs(40);
/// Wait after the load, longer than the two seconds after which the driver checks that no engine
/// memory is held for callers that left.
const FINAL_CHECK_DELAY: time::Duration = time::Duration::from_millis(2_300);
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Runs the demo with a load of `seconds` seconds. Returns whether no guarantee was broken.
///
/// # Errors
///
/// Returns an error if the hosts can't be started.
pub async fn run(seconds: u64, seed: u64) -> anyhow::Result<bool> {
    let users = [world::User::Coop, world::User::Studio];
    let world = sync::Arc::new(world::World::start(&users).await?);
    println!(
        "started stand-ins: {} engines, {} plain servers",
        world.engines.len(),
        world.services.len()
    );
    let fleet = local_fleet::Fleet::start(&world, HOST_COUNT, "current").await?;
    let addresses = fleet.api_addresses();
    println!("hosts: {}", addresses.join(", "));
    let driver = driver::Driver::new(world.clone(), &addresses)?;
    let duration = time::Duration::from_secs(seconds);
    let arrivals = arrivals(duration, seed);
    let total = arrivals.len();
    println!("load: {total} requests in {seconds} s, seed {seed}");
    let load = driver.run(arrivals, COMPLETION_TIMEOUT);
    let progress = print_progress(&driver, total);
    tokio::select! {
        () = load => {}
        () = progress => {}
    }
    tokio::time::sleep(FINAL_CHECK_DELAY).await;
    let mut report = report::Report {
        scenario: "demo".into(),
        policy: "current".into(),
        seed,
        ..report::Report::default()
    };
    report.add_results(&driver.results(), &world.recorder);
    print_tables(&report);
    Ok(report.broken_guarantees() == 0)
}

/// Generates the arrivals of both users, at 70% of the decode capacity, in order of time.
fn arrivals(duration: time::Duration, seed: u64) -> Vec<load::Arrival> {
    let mut all = Vec::new();
    for user in [world::User::Coop, world::User::Studio] {
        let mix = load::Mix {
            model_per_s: load::decode_capacity(user) * 0.7,
            plain_per_s: 40.0,
            jobs_per_s: 1.0,
            disconnect_share: 0.05,
            ..load::Mix::default()
        };
        all.extend(load::arrivals(user, &mix, duration, seed));
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Prints the number of ended requests at regular intervals, without end.
async fn print_progress(driver: &driver::Driver, total: usize) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let elapsed = driver.recorder.elapsed_ms() / 1_000;
        println!(
            "{elapsed:4} s: {} of {total} requests have ended",
            driver.result_count()
        );
    }
}

/// Prints the results of each service and priority, the totals and the broken guarantees.
pub fn print_tables(report: &report::Report) {
    println!();
    println!(
        "{:<24} {:>6} {:>8} {:>7} {:>7}  {:>24}  {:>24}",
        "service/priority",
        "sent",
        "answered",
        "refused",
        "goodput",
        "first ms p50/p95/p99",
        "per token ms p50/p95/p99"
    );
    for group in &report.groups {
        let times = |times: [f64; 3]| format!("{:.1}/{:.1}/{:.1}", times[0], times[1], times[2]);
        println!(
            "{:<24} {:>6} {:>8} {:>7} {:>7.3}  {:>24}  {:>24}",
            group.name,
            group.sent,
            group.answered,
            group.refused,
            group.goodput,
            times(group.first_ms),
            times(group.per_token_ms)
        );
    }
    println!();
    println!("goodput          {:.4}", report.goodput);
    println!("wasted prefill   {:.4}", report.wasted_prefill);
    println!();
    println!("broken guarantees:");
    for (name, count) in [
        ("answered twice", report.answered_twice),
        ("ran twice", report.ran_twice),
        ("wrong answers", report.wrong_answers),
        ("lost", report.lost),
        ("false not run", report.false_not_run),
        ("cut by shutdown", report.cut_by_shutdown),
        ("slots held for gone", report.slots_held_for_gone),
        ("config reverts", report.config_reverts),
        ("work after leave", report.work_after_leave),
        ("stale orders", report.stale_orders),
    ] {
        println!("  {name:<20} {count}");
    }
}
