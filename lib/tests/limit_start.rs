//! What hosts that start tell callers whose workspace is at its limit.

use std::time;

use walnuthaven_lib::shared_limits;

const WORKSPACE: &str = "north";
/// Time between two whole states of a host.
const NEWS_INTERVAL: time::Duration = time::Duration::from_millis(500);

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// All hosts start at once, and hear each other half a second later. A host that stays alone can't promise that.
#[test]
fn start_wait() {
    let mut limits = shared_limits::SharedLimits::new(1);
    limits.set_host_count(62);
    let allowance = shared_limits::Allowance {
        per_second: 91_000.0,
        burst: 91_000.0,
        slack: 0.0,
    };
    let limit = (WORKSPACE.into(), allowance);
    limits.set_allowances(std::iter::once(limit), ms(1_000));
    let mut retry_after = |at| match limits.decide(WORKSPACE, 14_000.0, 1.0, at) {
        shared_limits::Decision::Refused { retry_after } => retry_after,
        admitted @ shared_limits::Decision::Admitted { .. } => panic!("{admitted:?}"),
    };
    assert!(retry_after(ms(1_200)) <= NEWS_INTERVAL);
    assert!(retry_after(ms(1_900)) <= NEWS_INTERVAL);
    assert!(retry_after(ms(6_000)) >= ms(2_000));
}
