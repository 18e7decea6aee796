//! Crash marks: when content is quarantined, how a quarantine ends, and merging between hosts.

use std::time;

use walnuthaven_lib::clock;
use walnuthaven_lib::quarantine;
use walnuthaven_lib::refusal;

const SEED: u64 = 5;
const DIGEST: u64 = 0xabc;

fn at(seconds: u64) -> time::Duration {
    time::Duration::from_secs(1_000 + seconds)
}

#[test]
fn crashes_of_two_servers_quarantine_content() {
    let mut table = quarantine::Table::default();
    table.record_crash(DIGEST, &"s1".into(), at(0));
    table.record_crash(DIGEST, &"s1".into(), at(1));
    assert_eq!(table.check(DIGEST, at(1)), Ok(()));
    assert!(table.is_suspect(DIGEST, at(1)));
    table.record_crash(DIGEST, &"s2".into(), at(2));
    let refusal = table.check(DIGEST, at(2)).unwrap_err();
    assert_eq!(refusal.code, refusal::Code::Quarantined);
    assert!(refusal.message.contains("s1, s2"), "{}", refusal.message);
    assert_eq!(
        table.check(DIGEST, at(2 + 3_601)),
        Ok(()),
        "the mark has expired"
    );
}

#[test]
fn a_lifted_mark_overrides_older_marks() {
    let mut local = quarantine::Table::default();
    let mut remote = quarantine::Table::default();
    local.record_crash(DIGEST, &"s1".into(), at(0));
    let older = local.record_crash(DIGEST, &"s2".into(), at(1));
    assert!(remote.merge(&older, at(1)));
    let lifted = local.lift(DIGEST).expect("no mark to lift");
    assert!(remote.merge(&lifted, at(2)));
    assert!(
        !remote.merge(&older, at(3)),
        "an older mark changed the lifted one"
    );
    assert_eq!(remote.check(DIGEST, at(3)), Ok(()));
    let newer = remote.record_crash(DIGEST, &"s3".into(), at(4));
    assert!(
        local.merge(&newer, at(4)),
        "a crash after the lift makes a new mark"
    );
    assert!(local.is_suspect(DIGEST, at(4)));
    assert_eq!(local.check(DIGEST, at(4)), Ok(()));
}

// The clock of the host that lifts a mark may be ahead of those that observe crashes afterwards.
#[test]
fn crash_after_a_lift_counts_whatever_the_clocks_show() {
    let mut fast = quarantine::Table::default();
    let mut accurate = quarantine::Table::default();
    let mark = accurate.record_crash(DIGEST, &"s1".into(), at(0));
    fast.merge(&mark, at(600));
    let lifted = fast.lift(DIGEST).expect("no mark to lift");
    accurate.merge(&lifted, at(1));
    accurate.record_crash(DIGEST, &"s2".into(), at(2));
    let crashed = accurate.record_crash(DIGEST, &"s3".into(), at(3));
    assert!(fast.merge(&crashed, at(603)));
    assert!(fast.check(DIGEST, at(603)).is_err());
}

// Messages and the store have times in whole milliseconds. A crash that comes back from there must be the same one.
#[test]
fn recorded_crash_is_unchanged_by_a_round_trip_in_milliseconds() {
    let mut table = quarantine::Table::default();
    let now = at(1) + time::Duration::from_nanos(1_234_567);
    let mut mark = table.record_crash(DIGEST, &"s1".into(), now);
    let in_millis = |time: time::Duration| time::Duration::from_millis(clock::millis(time));
    mark.expires = in_millis(mark.expires);
    let crashes = mark.crashes.into_iter().map(|crash| quarantine::Crash {
        at: in_millis(crash.at),
        ..crash
    });
    mark.crashes = crashes.collect();
    assert!(!table.merge(&mark, now), "the crash counts twice");
}

#[test]
fn merging_gives_the_same_marks_in_any_order() {
    fn order_does_not_matter(crashes: Vec<(u8, u8)>) -> bool {
        let marks: Vec<quarantine::CrashMark> = crashes
            .iter()
            .map(|(digest, server)| {
                let mut table = quarantine::Table::default();
                let server = format!("s{}", server % 3).into();
                table.record_crash(u64::from(digest % 3), &server, at(u64::from(*digest)))
            })
            .collect();
        let mut forward = quarantine::Table::default();
        let mut backward = quarantine::Table::default();
        for mark in &marks {
            forward.merge(mark, at(300));
        }
        for mark in marks.iter().rev() {
            backward.merge(mark, at(300));
        }
        forward.marks().eq(backward.marks())
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(20, SEED))
        .quickcheck(order_does_not_matter as fn(Vec<(u8, u8)>) -> bool);
}
