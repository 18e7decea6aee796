//! Membership: suspicion, refutation, restarts, cuts and pauses.

use std::time;

use walnuthaven_lib::ids;
use walnuthaven_lib::membership;

const SEED: u64 = 99;

fn member(name: &str, zone: &str, incarnation: u64) -> membership::Member {
    membership::Member {
        id: ids::HostId {
            name: name.into(),
            incarnation,
        },
        zone: zone.into(),
        peer_addr: "127.0.0.1:1".into(),
        api_addr: "127.0.0.1:2".into(),
        admin_addr: "127.0.0.1:3".into(),
        state: membership::State::Alive,
        refutation: 0,
    }
}

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Ticks as often as a running host does.
fn run(table: &mut membership::Table, from: u64, to: u64) -> Vec<membership::Event> {
    let mut events = Vec::new();
    for at in (from..=to).step_by(200) {
        events.extend(table.tick(ms(at)));
    }
    events
}

fn table(others: &[(&str, &str)]) -> membership::Table {
    let mut table = membership::Table::new(member("own", "z0", 1));
    for (name, zone) in others {
        table.merge(&member(name, zone, 1), ms(0));
    }
    run(&mut table, 0, 1_000);
    table
}

fn silence(table: &mut membership::Table, name: &str, at: u64) {
    table.probe_failed(name, ms(at));
    table.probe_failed(name, ms(at));
}

#[test]
fn a_silent_host_is_suspected_then_gone() {
    let mut table = table(&[("a", "z1"), ("b", "z1")]);
    silence(&mut table, "a", 1_000);
    assert_eq!(table.get("a").unwrap().state, membership::State::Suspect);
    assert!(table.eligible().all(|member| &*member.id.name != "a"));
    assert!(run(&mut table, 1_000, 1_800).is_empty());
    let events = run(&mut table, 2_000, 2_200);
    assert_eq!(events, [membership::Event::Gone(member("a", "z1", 1).id)]);
    assert!(table.is_gone(&member("a", "z1", 1).id));
}

#[test]
fn a_sign_of_life_ends_the_suspicion() {
    let mut table = table(&[("a", "z1"), ("b", "z1")]);
    silence(&mut table, "a", 1_000);
    table.record_contact(&member("a", "z1", 1), ms(1_200));
    assert!(run(&mut table, 1_200, 9_000).is_empty());
}

#[test]
fn a_rumour_about_itself_is_refuted() {
    let mut table = table(&[("a", "z1")]);
    let mut rumour = member("own", "z0", 1);
    rumour.state = membership::State::Suspect;
    table.merge(&rumour, ms(1_000));
    assert_eq!(table.own().refutation, 1);
    let mut other = membership::Table::new(member("a", "z1", 1));
    other.merge(&rumour, ms(1_000));
    other.merge(table.own(), ms(1_100));
    assert_eq!(other.get("own").unwrap().state, membership::State::Alive);
}

#[test]
fn a_restarted_host_replaces_its_former_run() {
    let mut table = table(&[("a", "z1")]);
    table.merge(&member("a", "z1", 2), ms(1_000));
    let events = table.tick(ms(1_000));
    assert!(events.contains(&membership::Event::Gone(member("a", "z1", 1).id)));
    assert!(events.contains(&membership::Event::Joined(member("a", "z1", 2).id)));
    table.merge(&member("a", "z1", 1), ms(1_100));
    assert_eq!(
        table.get("a").unwrap().id.incarnation,
        2,
        "the old run does not return"
    );
}

#[test]
fn a_dead_run_returns_only_by_its_own_word() {
    let mut table = table(&[("a", "z1"), ("b", "z2")]);
    silence(&mut table, "a", 1_000);
    run(&mut table, 1_000, 2_400);
    while !table.next_updates().is_empty() {}
    table.record_contact(&member("a", "z1", 1), ms(2_500));
    assert!(
        table.is_gone(&member("a", "z1", 1).id),
        "a late message proves nothing"
    );
    let rumour = table.next_updates();
    assert_eq!(rumour.len(), 1, "it is told of its death");
    let mut woken = membership::Table::new(member("a", "z1", 1));
    woken.merge(&rumour[0], ms(2_600));
    table.record_contact(woken.own(), ms(2_700));
    assert!(!table.is_gone(&member("a", "z1", 1).id));
    assert!(table.eligible().any(|member| &*member.id.name == "a"));
    let events = table.tick(ms(2_800));
    assert_eq!(events, [membership::Event::Joined(member("a", "z1", 1).id)]);
}

#[test]
fn both_sides_of_a_cut_find_each_other_again() {
    let mut table = table(&[("a", "z1"), ("b", "z2"), ("c", "z2")]);
    silence(&mut table, "a", 1_000);
    run(&mut table, 1_000, 3_600_000);
    let mut targets = (0..200).filter_map(|random| table.random_target(random));
    assert!(
        targets.any(|target| &*target.id.name == "a"),
        "after an hour"
    );
    let live = (0..200).filter_map(|random| table.random_target(random * 16 + 1));
    assert!(live.into_iter().all(|target| &*target.id.name != "a"));
}

#[test]
fn a_quiet_zone_is_not_declared_dead() {
    let mut table = table(&[("a", "z1"), ("b", "z1"), ("c", "z2")]);
    silence(&mut table, "a", 1_000);
    silence(&mut table, "b", 1_000);
    assert!(run(&mut table, 1_000, 3_600_000).is_empty(), "for an hour");
    assert!(table.eligible().all(|member| &*member.zone != "z1"));
    assert!(table.silent_for("a", ms(61_000)) >= time::Duration::from_secs(60));
}

#[test]
fn a_paused_host_blames_nobody_when_it_wakes() {
    let mut table = table(&[("a", "z1"), ("b", "z2")]);
    silence(&mut table, "a", 1_000);
    assert!(table.tick(ms(21_000)).is_empty(), "the silence was its own");
    assert!(run(&mut table, 21_200, 21_600).is_empty());
    assert_eq!(run(&mut table, 21_800, 22_200).len(), 1);
}

#[test]
fn the_buddy_is_in_another_zone() {
    let table = table(&[("a", "z0"), ("b", "z1"), ("c", "z0")]);
    assert_eq!(&*table.backup().unwrap().id.name, "b");
}

#[test]
fn a_leaver_moves_only_its_own_keys() {
    let others = [("a", "z1"), ("b", "z1"), ("c", "z2"), ("d", "z2")];
    let mut table = table(&others);
    let keys: Vec<String> = (0..200).map(|number| format!("w/p/{number}")).collect();
    let before: Vec<ids::Name> = keys
        .iter()
        .map(|k| table.steward(k).id.name.clone())
        .collect();
    let mut leaver = member("c", "z2", 1);
    leaver.state = membership::State::Leaving;
    leaver.refutation = 1;
    table.merge(&leaver, ms(1_000));
    for (key, before) in keys.iter().zip(before) {
        let after = &table.steward(key).id.name;
        assert_ne!(&**after, "c");
        assert!(&*before == "c" || before == *after, "{key}");
    }
}

#[test]
fn messages_stay_bounded_and_news_ends() {
    fn property(names: Vec<u8>) -> bool {
        let mut table = membership::Table::new(member("own", "z0", 1));
        for name in &names {
            table.merge(&member(&format!("h{name}"), "z1", 1), ms(0));
        }
        let bounded = (0..10_000).all(|_| table.next_updates().len() <= membership::MAX_UPDATES);
        bounded && table.next_updates().is_empty()
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .tests(20)
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn merging_is_the_same_in_any_order() {
    fn property(updates: Vec<(u8, u8, u8)>) -> bool {
        let states = [
            membership::State::Alive,
            membership::State::Suspect,
            membership::State::Leaving,
            membership::State::Dead,
        ];
        let members: Vec<membership::Member> = updates
            .iter()
            .map(|(incarnation, refutation, state)| membership::Member {
                state: states[usize::from(state % 4)],
                refutation: u32::from(refutation % 3),
                ..member("a", "z1", u64::from(incarnation % 3))
            })
            .collect();
        let merged = |members: &[membership::Member]| {
            let mut table = membership::Table::new(member("own", "z0", 1));
            for member in members {
                table.merge(member, ms(0));
            }
            let found = table.get("a").cloned();
            found.map(|found| (found.id.incarnation, found.refutation, found.state))
        };
        let reversed: Vec<membership::Member> = members.iter().rev().cloned().collect();
        merged(&members) == merged(&reversed)
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(8, SEED))
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
