//! Unix time across steps of the system time.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;

/// A clock that tests set, in seconds.
#[derive(Clone, Default)]
struct ManualClock {
    boot: sync::Arc<atomic::AtomicU64>,
    unix: sync::Arc<atomic::AtomicU64>,
}

impl clock::Clock for ManualClock {
    fn now(&self) -> time::Duration {
        time::Duration::from_secs(self.boot.load(atomic::Ordering::Relaxed))
    }

    fn unix_time(&self) -> time::Duration {
        time::Duration::from_secs(self.unix.load(atomic::Ordering::Relaxed))
    }
}

// Crash marks expire by Unix time, and a step of two hours must not expire them.
#[test]
fn steady_clock_ignores_steps_of_the_system_time() {
    let manual = ManualClock::default();
    manual.boot.store(50, atomic::Ordering::Relaxed);
    manual.unix.store(1_000_000, atomic::Ordering::Relaxed);
    let steady = clock::SteadyClock::new(manual.clone());
    for stepped_to in [1_007_200, 992_800] {
        manual.unix.store(stepped_to, atomic::Ordering::Relaxed);
        manual.boot.store(60, atomic::Ordering::Relaxed);
        assert_eq!(steady.unix_time(), time::Duration::from_secs(1_000_010));
        assert_eq!(steady.now(), time::Duration::from_secs(60));
    }
}
