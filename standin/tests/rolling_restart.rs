//! All hosts are restarted in turn under load, as processes.

use std::time;

use walnuthaven_standin::experiment;
use walnuthaven_standin::scenario;

// Seed 1 gave two submitted jobs the same id.
const SEED: u64 = 1;

#[tokio::test(flavor = "multi_thread")]
async fn restarts_in_turn_keep_all_guarantees() {
    println!("seed {SEED}");
    let plan = experiment::Plan {
        scenario: scenario::find("rolling-restart").unwrap(),
        policy: "current".into(),
        seed: SEED,
        hosts: 6,
        duration: time::Duration::from_secs(15),
        rate_factor: 1.0,
        output_factor: 1.0,
    };
    let report = experiment::run(&plan).await.unwrap();
    assert_eq!(report.broken_guarantees(), 0, "{report:?}");
    assert!(report.requests > 0, "nothing was sent");
}
