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
    registry.store_lost(ms(6_000));
    registry.store_lost(ms(8_000));
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
fn single_failed_call_prolongs_no_last_resort() {
    let mut registry = registry_of(&["a", "b"]);
    registry.store_lost(ms(9_900));
    registry.store_answered(ms(10_000));
    registry.replace_all(Vec::new(), ms(10_000));
    let over = ms(10_000) + backends::LAST_RESORT_FOR;
    assert_eq!(usable(&mut registry, over - ms(1)).len(), 2);
    assert!(usable(&mut registry, over).is_empty());
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

/// Returns a decode engine whose id is its version and number.
fn decode_engine(id: &str) -> backends::Backend {
    let version = id.split('-').next().unwrap();
    backends::Backend {
        stage: Some(backends::Stage::Decode),
        version: version.into(),
        ..server(id)
    }
}

fn registry_of_decode_engines(ids: &[&str]) -> backends::Registry {
    let mut registry = backends::Registry::default();
    registry.replace_all(ids.iter().map(|id| decode_engine(id)).collect(), ms(0));
    registry
}

fn drain(registry: &mut backends::Registry, id: &str) {
    registry.put(backends::Backend {
        draining: true,
        ..decode_engine(id)
    });
}

fn running_out(registry: &backends::Registry, at: u64) -> Vec<sync::Arc<str>> {
    registry.versions_running_out("gate", ms(at))
}

#[test]
fn a_version_runs_out_while_another_grows() {
    let mut registry = registry_of_decode_engines(&["v1-1", "v1-2"]);
    registry.put(decode_engine("v2-1"));
    assert!(running_out(&registry, 100).is_empty());
    drain(&mut registry, "v1-1");
    assert_eq!(running_out(&registry, 100), ["v1".into()]);
    assert!(registry.versions_running_out("other", ms(100)).is_empty());
    registry.put(decode_engine("v2-2"));
    drain(&mut registry, "v1-2");
    registry.remove("v1-1", ms(200));
    registry.remove("v1-2", ms(300));
    assert_eq!(running_out(&registry, 300), ["v1".into()]);
    registry.remove("v2-1", ms(400));
    assert!(
        running_out(&registry, 400).is_empty(),
        "no version is left that has lost no engine"
    );
}

#[test]
fn the_only_version_never_runs_out() {
    let mut registry = registry_of_decode_engines(&["v1-1", "v1-2", "v1-3"]);
    registry.remove("v1-1", ms(100));
    drain(&mut registry, "v1-2");
    assert!(running_out(&registry, 100).is_empty());
}

#[test]
fn a_version_that_lost_engines_long_ago_does_not_run_out() {
    let mut registry = registry_of_decode_engines(&["v1-1", "v1-2", "v1-3", "v2-1"]);
    registry.remove("v1-1", ms(10_000));
    registry.remove("v1-2", ms(20_000));
    assert_eq!(running_out(&registry, 39_999), ["v1".into()]);
    assert_eq!(running_out(&registry, 49_999), ["v1".into()]);
    assert!(running_out(&registry, 50_000).is_empty());
    registry.expire(ms(50_000));
    registry.remove("v1-3", ms(51_000));
    assert_eq!(running_out(&registry, 51_000), ["v1".into()]);
}

#[test]
fn engines_that_change_without_leaving_are_not_lost() {
    let mut registry = registry_of_decode_engines(&["v1-1", "v1-2", "v2-1"]);
    for slots in [5, 6] {
        registry.put(backends::Backend {
            slots,
            ..decode_engine("v1-1")
        });
    }
    assert!(running_out(&registry, 100).is_empty());
    registry.remove("v1-2", ms(100));
    assert_eq!(running_out(&registry, 200), ["v1".into()]);
    registry.put(decode_engine("v1-3"));
    assert!(
        running_out(&registry, 200).is_empty(),
        "an engine came back"
    );
}

#[test]
fn an_engine_that_restarts_at_another_version_is_lost_to_its_old_one() {
    let mut registry = registry_of_decode_engines(&["v1-1", "v1-2", "v2-1"]);
    registry.put(backends::Backend {
        version: "v2".into(),
        ..decode_engine("v1-1")
    });
    assert_eq!(running_out(&registry, 100), ["v1".into()]);
}

/// The entries of all engines expire at once, and come back one after another.
#[test]
fn servers_that_come_back_after_an_outage_count_as_before() {
    let ids = ["v1-1", "v1-2", "v2-1", "v2-2"];
    let mut registry = registry_of_decode_engines(&ids);
    registry.replace_all(Vec::new(), ms(1_000));
    assert!(running_out(&registry, 1_000).is_empty());
    registry.replace_all(ids.map(decode_engine).into(), ms(2_000));
    assert!(running_out(&registry, 2_000).is_empty());
    registry.remove("v1-1", ms(2_100));
    assert_eq!(running_out(&registry, 2_100), ["v1".into()]);
}

/// Returns the entry of a process that started at `born` at the address that all servers here have.
fn process(id: &str, born: Option<u64>) -> backends::Backend {
    backends::Backend {
        started_unix_ms: born,
        ..server(id)
    }
}

#[test]
fn process_whose_address_a_later_one_has_gets_no_requests() {
    for born in [(Some(1), Some(2)), (None, None)] {
        let mut registry = backends::Registry::default();
        registry.put(process("a", born.0));
        registry.put(process("b", born.1));
        assert_eq!(usable(&mut registry, ms(0)), ["b".into()], "{born:?}");
        // The whole list is read again before the entry lapses.
        let listed = vec![process("a", born.0), process("b", born.1)];
        registry.replace_all(listed, ms(10));
        assert_eq!(usable(&mut registry, ms(10)), ["b".into()], "{born:?}");
        registry.remove("a", ms(20));
        registry.remove("b", ms(20));
        assert_eq!(usable(&mut registry, ms(20)), ["b".into()], "last resort");
    }
}

#[test]
fn start_times_tell_which_process_of_a_list_has_ended() {
    let mut registry = backends::Registry::default();
    let listed = vec![process("a", Some(2)), process("b", Some(1))];
    registry.replace_all(listed, ms(0));
    assert_eq!(usable(&mut registry, ms(0)), ["a".into()]);
}

#[test]
fn without_start_times_both_processes_of_a_list_may_live() {
    let mut registry = backends::Registry::default();
    registry.replace_all(vec![process("a", None), process("b", None)], ms(0));
    assert_eq!(usable(&mut registry, ms(0)), ["a".into(), "b".into()]);
}

#[test]
fn process_that_changes_its_entry_gets_requests_again() {
    let mut registry = backends::Registry::default();
    registry.put(process("a", None));
    registry.put(process("b", None));
    let mut changed = process("a", None);
    changed.slots = 8;
    registry.put(changed);
    assert_eq!(usable(&mut registry, ms(0)), ["a".into(), "b".into()]);
}

#[test]
fn a_process_that_says_that_it_leaves_gets_no_requests_whatever_its_entry_says() {
    let mut registry = registry_of(&["a", "b"]);
    let process = server("a").process();
    let change = registry.record_leaving(&process, ms(0));
    assert!(matches!(change, Some(backends::Change::Updated(s)) if s.draining));
    assert_eq!(registry.record_leaving(&process, ms(1)), None);
    registry.put(server("a"));
    assert_eq!(usable(&mut registry, ms(1)), ["b".into()]);
    registry.remove("a", ms(2));
    registry.expire(ms(5_000));
    registry.replace_all(vec![server("a"), server("b")], ms(5_000));
    assert_eq!(usable(&mut registry, ms(5_000)), ["b".into()]);
    let mut next = server("a");
    next.started_unix_ms = Some(2);
    next.addr = "127.0.0.1:81".parse().unwrap();
    registry.put(next);
    assert_eq!(usable(&mut registry, ms(5_001)), ["a".into(), "b".into()]);
}

#[test]
fn a_process_that_left_after_its_choice_gets_no_work() {
    let mut registry = registry_of(&["drains", "goes", "restarts", "stays"]);
    let process = |id: &str| server(id).process();
    let may = |registry: &backends::Registry, id: &str, at| registry.may_get_work(&process(id), at);
    for id in ["drains", "goes", "restarts", "stays"] {
        assert!(may(&registry, id, ms(0)), "{id}");
    }
    let mut draining = server("drains");
    draining.draining = true;
    registry.put(draining);
    registry.remove("goes", ms(10));
    let mut restarted = server("restarts");
    restarted.started_unix_ms = Some(2);
    restarted.addr = "127.0.0.1:81".parse().unwrap();
    registry.put(restarted.clone());
    assert!(!may(&registry, "drains", ms(10)));
    assert!(!may(&registry, "goes", ms(10)), "others are listed");
    assert!(!may(&registry, "restarts", ms(10)));
    assert!(registry.may_get_work(&restarted.process(), ms(10)));
    assert!(may(&registry, "stays", ms(10)));
    assert!(!may(&registry, "unknown", ms(10)));
    for id in ["stays", "restarts"] {
        registry.remove(id, ms(20));
    }
    assert!(may(&registry, "stays", ms(20)), "it is a last resort");
    assert!(!may(&registry, "stays", ms(20) + backends::LAST_RESORT_FOR));
}
