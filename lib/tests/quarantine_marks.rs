//! Quarantine marks: the same verdict everywhere, an end time, and a way out.

use std::time;

use walnuthaven_lib::quarantine;
use walnuthaven_lib::refusal;

const SEED: u64 = 5;
const DIGEST: u64 = 0xabc;

fn at(seconds: u64) -> time::Duration {
    time::Duration::from_secs(1_000 + seconds)
}

#[test]
fn two_servers_make_a_quarantine() {
    let mut table = quarantine::Table::default();
    table.record_crash(DIGEST, &"s1".into(), at(0));
    table.record_crash(DIGEST, &"s1".into(), at(1));
    assert_eq!(table.check(DIGEST, at(1)), Ok(()));
    assert!(table.is_suspect(DIGEST, at(1)));
    table.record_crash(DIGEST, &"s2".into(), at(2));
    let refusal = table.check(DIGEST, at(2)).unwrap_err();
    assert_eq!(refusal.code, refusal::Code::Quarantined);
    assert!(refusal.message.contains("s1, s2"), "{}", refusal.message);
    assert_eq!(table.check(DIGEST, at(2 + 3_601)), Ok(()), "it ends");
}

#[test]
fn a_lift_wins_over_old_news() {
    let mut here = quarantine::Table::default();
    let mut there = quarantine::Table::default();
    here.record_crash(DIGEST, &"s1".into(), at(0));
    let old = here.record_crash(DIGEST, &"s2".into(), at(1));
    assert!(there.merge(&old, at(1)));
    let lifted = here.lift(DIGEST, at(1)).expect("marked");
    assert!(there.merge(&lifted, at(2)));
    assert!(!there.merge(&old, at(3)), "old news");
    assert_eq!(there.check(DIGEST, at(3)), Ok(()));
    let again = there.record_crash(DIGEST, &"s3".into(), at(4));
    assert!(
        here.merge(&again, at(4)),
        "a crash after the lift counts anew"
    );
    assert!(here.is_suspect(DIGEST, at(4)));
    assert_eq!(here.check(DIGEST, at(4)), Ok(()));
}

#[test]
fn merging_is_the_same_in_any_order() {
    fn property(crashes: Vec<(u8, u8)>) -> bool {
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
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}
