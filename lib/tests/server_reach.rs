//! Which servers are checked, and which count as out of reach.

use std::sync;
use std::time;

use walnuthaven_lib::reachability;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(10_000 + ms)
}

fn due(reach: &mut reachability::Reachability, at: u64) -> Vec<String> {
    let due = reach.take_due(ms(at));
    due.iter().map(ToString::to_string).collect()
}

#[test]
fn server_is_checked_only_if_it_is_silent_while_a_connection_waits() {
    let mut reach = reachability::Reachability::default();
    reach.record_used("a", ms(0));
    reach.record_heard("b", ms(0));
    assert!(due(&mut reach, 290).is_empty());
    reach.record_heard("a", ms(295));
    assert!(due(&mut reach, 500).is_empty());
    assert_eq!(due(&mut reach, 600), ["a"]);
    assert!(due(&mut reach, 2_000).is_empty(), "one check at a time");
}

#[test]
fn slow_server_stays_in_reach_and_is_checked_less_often() {
    let mut reach = reachability::Reachability::default();
    reach.record_used("a", ms(0));
    let mut checks = 0;
    for at in (0..6_000).step_by(50) {
        for id in due(&mut reach, at) {
            checks += 1;
            reach.record_reached(&id, ms(at));
        }
    }
    assert!(!reach.is_lost("a"));
    assert!((3..=6).contains(&checks), "{checks} checks in 6 s");
}

#[test]
fn lost_server_is_checked_until_it_is_reached() {
    let mut reach = reachability::Reachability::default();
    assert!(reach.record_unreached("a", 0.0, ms(0)));
    assert!(reach.is_lost("a"));
    let mut checks = 0;
    for at in (0..6_000).step_by(50) {
        for id in due(&mut reach, at) {
            checks += 1;
            assert!(!reach.record_unreached(&id, 0.5, ms(at)));
        }
    }
    assert!((4..=12).contains(&checks), "{checks} checks in 6 s");
    assert!(reach.record_reached("a", ms(6_000)));
    assert!(!reach.is_lost("a"));
    assert!(due(&mut reach, 9_000).is_empty());
}

#[test]
fn bytes_show_that_a_server_is_in_reach() {
    let mut reach = reachability::Reachability::default();
    reach.record_unreached("a", 0.0, ms(0));
    assert!(reach.record_heard("a", ms(10)));
    assert!(!reach.is_lost("a"));
}

#[test]
fn all_are_lost_only_if_there_are_any_and_each_is() {
    let mut reach = reachability::Reachability::default();
    let ids: Vec<sync::Arc<str>> = vec!["a".into(), "b".into()];
    assert!(!reach.all_lost([].into_iter()));
    reach.record_unreached("a", 0.0, ms(0));
    assert!(!reach.all_lost(ids.iter()));
    assert!(reach.mostly_lost(ids.iter()));
    assert!(!reach.mostly_lost([].into_iter()));
    reach.record_unreached("b", 0.0, ms(0));
    assert!(reach.all_lost(ids.iter()));
    reach.forget("b");
    assert!(!reach.all_lost(ids.iter()));
}

#[test]
fn wanted_check_is_due_at_once() {
    let mut reach = reachability::Reachability::default();
    reach.record_heard("a", ms(0));
    reach.want_check("a", ms(10));
    assert_eq!(due(&mut reach, 10), ["a"]);
}
