//! The view of backend servers: leaving, vanishing, outages of the store, restarts.

use std::sync;
use std::time;

use walnuthaven_lib::backends;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn server(id: &str) -> backends::Backend {
    backends::Backend {
        id: id.into(),
        started_unix_ms: Some(1),
        service: "gate".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        draining: false,
        stage: None,
        slots: 4,
    }
}

fn usable(view: &mut backends::Registry, now: time::Duration) -> Vec<sync::Arc<str>> {
    let usable = view.usable("gate", now);
    usable.iter().map(|server| server.id.clone()).collect()
}

fn view_of(ids: &[&str]) -> backends::Registry {
    let mut view = backends::Registry::default();
    view.replace_all(ids.iter().map(|id| server(id)).collect(), ms(0));
    view
}

#[test]
fn a_draining_server_gets_nothing() {
    let mut view = view_of(&["a", "b"]);
    let mut leaving = server("a");
    leaving.draining = true;
    view.put(leaving);
    assert_eq!(usable(&mut view, ms(0)), ["b".into()]);
    view.remove("a", ms(10));
    assert_eq!(usable(&mut view, ms(10)), ["b".into()]);
}

#[test]
fn a_draining_server_is_no_last_resort() {
    let mut view = view_of(&["a"]);
    let mut leaving = server("a");
    leaving.draining = true;
    view.put(leaving);
    view.remove("a", ms(10));
    assert!(usable(&mut view, ms(10)).is_empty());
}

#[test]
fn a_vanished_server_is_used_only_without_another_and_not_for_long() {
    let mut view = view_of(&["a", "b"]);
    view.remove("a", ms(100));
    assert_eq!(usable(&mut view, ms(100)), ["b".into()]);
    view.remove("b", ms(100));
    assert_eq!(usable(&mut view, ms(200)).len(), 2);
    assert!(usable(&mut view, ms(100) + backends::LAST_RESORT_FOR).is_empty());
    assert!(
        backends::LAST_RESORT_FOR < ms(2_000),
        "a leaving server serves for two seconds"
    );
}

#[test]
fn entries_that_lapsed_in_an_outage_may_return_for_two_seconds() {
    let mut view = view_of(&["a", "b"]);
    view.store_lost();
    view.store_answered(ms(10_000));
    view.replace_all(Vec::new(), ms(10_000));
    assert_eq!(usable(&mut view, ms(11_900)).len(), 2);
    assert!(usable(&mut view, ms(12_000)).is_empty());
    view.put(server("b"));
    assert_eq!(usable(&mut view, ms(12_000)), ["b".into()]);
    view.expire(ms(12_000));
    assert_eq!(view.count(), 1);
}

#[test]
fn the_same_id_with_another_start_is_a_restart() {
    let mut view = view_of(&["a"]);
    let mut again = server("a");
    again.started_unix_ms = Some(2);
    let change = view.put(again.clone());
    assert_eq!(
        change,
        Some(backends::Change::Restarted(sync::Arc::new(again)))
    );
    assert_eq!(
        view.put(server("c")),
        Some(backends::Change::Joined(sync::Arc::new(server("c"))))
    );
    assert_eq!(view.put(server("c")), None);
}
