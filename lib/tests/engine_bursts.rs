//! Replays of bursts on engines, with the real modules and a clock.

use std::time;

use walnuthaven_lib::wait_queue;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// A caller whose target is 0.9 s leaves after 3.6 s without an event; one that waited for four seconds would have its
/// prompt read for nothing.
#[test]
fn callers_leave_after_a_gap() {
    assert_eq!(wait_queue::patience(ms(900), Some(ms(300))), ms(3_600));
    assert_eq!(wait_queue::patience(ms(300), Some(ms(100))), ms(2_000));
    assert_eq!(wait_queue::patience(ms(300), Some(ms(500))), ms(4_000));
    assert!(wait_queue::patience(ms(900), None) < wait_queue::max_wait(ms(14_000)));
}
