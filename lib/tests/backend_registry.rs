//! The view of backend servers as they leave, vanish and restart, and through outages of the store.

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
        version: "v1".into(),
    }
}

fn usable(registry: &mut backends::Registry, now: time::Duration) -> Vec<sync::Arc<str>> {
    let usable = registry.usable("gate", now);
    usable.iter().map(|server| server.id.clone()).collect()
}

fn registry_of(ids: &[&str]) -> backends::Registry {
    let mut registry = backends::Registry::default();
    registry.replace_all(ids.iter().map(|id| server(id)).collect(), ms(0));
    registry
}

#[test]
fn a_draining_server_gets_no_requests() {
    let mut registry = registry_of(&["a", "b"]);
    let mut leaving = server("a");
    leaving.draining = true;
    registry.put(leaving);
    assert_eq!(usable(&mut registry, ms(0)), ["b".into()]);
    registry.remove("a", ms(10));
    assert_eq!(usable(&mut registry, ms(10)), ["b".into()]);
}

#[test]
fn a_draining_server_is_not_a_last_resort() {
    let mut registry = registry_of(&["a"]);
    let mut leaving = server("a");
    leaving.draining = true;
    registry.put(leaving);
    registry.remove("a", ms(10));
    assert!(usable(&mut registry, ms(10)).is_empty());
}

#[test]
fn a_vanished_server_is_a_last_resort_for_a_short_time() {
    let mut registry = registry_of(&["a", "b"]);
    registry.remove("a", ms(100));
    assert_eq!(usable(&mut registry, ms(100)), ["b".into()]);
    registry.remove("b", ms(100));
    assert_eq!(usable(&mut registry, ms(200)).len(), 2);
    assert!(usable(&mut registry, ms(100) + backends::LAST_RESORT_FOR).is_empty());
    assert!(
        backends::LAST_RESORT_FOR < ms(2_000),
        "a leaving server goes on serving for two seconds"
    );
}

#[test]
fn servers_with_expired_entries_stay_usable_for_two_seconds_after_an_outage() {
    let mut registry = registry_of(&["a", "b"]);
    registry.store_lost();
    registry.store_answered(ms(10_000));
    registry.replace_all(Vec::new(), ms(10_000));
    assert_eq!(usable(&mut registry, ms(11_900)).len(), 2);
    assert!(usable(&mut registry, ms(12_000)).is_empty());
    registry.put(server("b"));
    assert_eq!(usable(&mut registry, ms(12_000)), ["b".into()]);
    registry.expire(ms(12_000));
    assert_eq!(registry.count(), 1);
}

#[test]
fn the_same_id_with_another_start_time_is_a_restart() {
    let mut registry = registry_of(&["a"]);
    let mut restarted = server("a");
    restarted.started_unix_ms = Some(2);
    let change = registry.put(restarted.clone());
    assert_eq!(
        change,
        Some(backends::Change::Restarted(sync::Arc::new(restarted)))
    );
    assert_eq!(
        registry.put(server("c")),
        Some(backends::Change::Joined(sync::Arc::new(server("c"))))
    );
    assert_eq!(registry.put(server("c")), None);
}

#[test]
fn the_same_id_with_another_version_is_a_restart() {
    let mut registry = registry_of(&["a"]);
    let mut released = server("a");
    released.version = "v2".into();
    let change = registry.put(released.clone());
    let released = sync::Arc::new(released);
    assert_eq!(change, Some(backends::Change::Restarted(released.clone())));
    let usable = registry.usable("gate", ms(0));
    assert_eq!(usable[..], [released]);
}
