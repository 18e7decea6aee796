//! How late a process may have seen a signal.

use std::time;

use walnuthaven_lib::stalls;

const INTERVAL: time::Duration = ms(250);

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Returns a watch whose task ran at these times.
fn watch(ran_at: &[u64]) -> stalls::StallWatch {
    let mut watch = stalls::StallWatch::new(INTERVAL, ms(ran_at[0]));
    for at in &ran_at[1..] {
        watch.record(ms(*at));
    }
    watch
}

#[test]
fn punctual_task_shows_no_pause() {
    let watch = watch(&[0, 250, 502, 755]);
    for now in [756, 800, 900, 1_005] {
        assert_eq!(watch.stalled_for(ms(now)), ms(0), "at {now}");
    }
}

#[test]
fn pause_shows_before_the_task_runs_again() {
    let watch = watch(&[0, 250]);
    assert_eq!(watch.stalled_for(ms(1_400)), ms(900));
}

#[test]
fn pause_shows_just_after_the_task_ran_again() {
    let mut watch = watch(&[0, 250]);
    watch.record(ms(1_400));
    assert_eq!(watch.stalled_for(ms(1_400)), ms(900));
    assert_eq!(watch.stalled_for(ms(1_410)), ms(910));
    assert_eq!(watch.stalled_for(ms(1_500)), ms(0));
}

#[test]
fn pause_is_underestimated_by_one_interval_at_most() {
    for began in 250..500 {
        let watch = watch(&[0, 250]);
        let ended = began + 600;
        let (stood_still, found) = (ms(600), watch.stalled_for(ms(ended)));
        assert!(found <= stood_still + INTERVAL, "{began}: {found:?}");
        assert!(found + INTERVAL >= stood_still, "{began}: {found:?}");
    }
}
