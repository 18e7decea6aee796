//! Leases have at most one holder at a time and rising fencing numbers; roles change with hysteresis.

use std::time;

use walnuthaven_lib::engines;
use walnuthaven_lib::ids;
use walnuthaven_lib::lease;
use walnuthaven_lib::roles;

const SEED: u64 = 12;

fn host(name: &str) -> ids::HostId {
    ids::HostId {
        name: name.into(),
        incarnation: 1,
    }
}

fn secs(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// The lease object in the store, with its version.
#[derive(Default)]
struct Stored {
    record: Option<lease::Record>,
    version: u64,
}

impl Stored {
    /// Writes the record if the version is still the expected one.
    fn put(&mut self, record: &lease::Record, expected: u64) -> bool {
        if self.version != expected {
            return false;
        }
        self.version += 1;
        self.record = Some(record.clone());
        true
    }
}

/// Lets a host read the lease, and acquire or renew it where possible. With `reply_lost`, the host doesn't
/// learn that its write succeeded.
fn attempt(lease: &mut lease::Lease, stored: &mut Stored, now: time::Duration, reply_lost: bool) {
    let version = stored.version;
    if let lease::Step::Write(record) = lease.observe(stored.record.as_ref(), true, now)
        && stored.put(&record, version)
        && !reply_lost
    {
        lease.record_write(&record, now);
    }
}

#[test]
fn a_successor_waits_for_the_paused_holder() {
    let mut stored = Stored::default();
    let mut first = lease::Lease::new(host("a"));
    let mut second = lease::Lease::new(host("b"));
    attempt(&mut first, &mut stored, secs(0), false);
    let fence = first.held(secs(1)).expect("lease is held").fence;
    attempt(&mut second, &mut stored, secs(1), false);
    assert!(second.held(secs(1)).is_none());
    attempt(&mut second, &mut stored, secs(12), false);
    assert!(
        second.held(secs(12)).is_none(),
        "an order of the first holder may still be under way"
    );
    attempt(&mut second, &mut stored, secs(13), false);
    let next = second.held(secs(13)).expect("lease is taken over").fence;
    assert!(next > fence);
    assert!(first.held(secs(20)).is_none(), "the paused holder resumes");
}

#[test]
fn a_write_with_lost_reply_gives_no_lease_until_renewed() {
    let mut stored = Stored::default();
    let mut lease = lease::Lease::new(host("a"));
    attempt(&mut lease, &mut stored, secs(0), true);
    assert!(lease.held(secs(0)).is_none());
    attempt(&mut lease, &mut stored, secs(1), false);
    assert!(lease.held(secs(1)).is_some());
}

#[test]
fn two_hosts_never_hold_the_lease_at_once() {
    fn property(steps: Vec<(bool, u8, bool)>) -> bool {
        let mut stored = Stored::default();
        let mut leases = [lease::Lease::new(host("a")), lease::Lease::new(host("b"))];
        let mut now = time::Duration::ZERO;
        let mut highest_fence = 0;
        for (second, pause, reply_lost) in steps {
            now += time::Duration::from_millis(u64::from(pause) * 60);
            attempt(
                &mut leases[usize::from(second)],
                &mut stored,
                now,
                reply_lost,
            );
            let held: Vec<lease::Held> = leases.iter().filter_map(|l| l.held(now)).collect();
            if held.len() > 1 {
                return false;
            }
            if let Some(held) = held.first() {
                if held.fence < highest_fence {
                    return false;
                }
                highest_fence = held.fence;
            }
        }
        true
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(200, SEED))
        .quickcheck(property as fn(Vec<(bool, u8, bool)>) -> bool);
}

#[test]
fn roles_change_after_sustained_pressure_and_keep_a_minimum() {
    let mut policy = roles::Policy::default();
    let candidate = |name: &str, role, held| roles::Candidate {
        name: name.into(),
        role,
        held,
    };
    let engines = [
        candidate("p0", engines::Role::Prefill, 0),
        candidate("d0", engines::Role::Decode, 9),
        candidate("d1", engines::Role::Decode, 2),
    ];
    let prefill_heavy = roles::Pressure {
        prefill: 1.0,
        decode: 0.2,
    };
    let decode_heavy = roles::Pressure {
        prefill: 0.2,
        decode: 1.0,
    };
    assert_eq!(policy.decide(prefill_heavy, &engines, 1, secs(0)), None);
    assert_eq!(
        policy.decide(decode_heavy, &engines, 1, secs(1)),
        None,
        "a short imbalance"
    );
    assert_eq!(policy.decide(prefill_heavy, &engines, 1, secs(2)), None);
    let change = policy
        .decide(prefill_heavy, &engines, 1, secs(5))
        .expect("the imbalance lasted long enough");
    assert_eq!((&*change.name, change.role), ("d1", engines::Role::Prefill));
    for at in 5..15 {
        assert_eq!(
            policy.decide(prefill_heavy, &engines, 1, secs(at)),
            None,
            "cooldown"
        );
    }
    assert!(
        policy
            .decide(prefill_heavy, &engines, 1, secs(20))
            .is_some()
    );
    assert_eq!(policy.decide(prefill_heavy, &engines, 2, secs(60)), None);
    assert_eq!(
        policy.decide(prefill_heavy, &engines, 2, secs(90)),
        None,
        "each role keeps its minimum"
    );
}

/// A host reads the lease in an era of the store, and acquires or renews it where possible.
fn attempt_in_era(lease: &mut lease::Lease, era: u64, stored: &mut Stored, now: time::Duration) {
    lease.record_era(era, now);
    attempt(lease, stored, now, false);
}

/// Guards against orders of two holders after a drill (review/2, ONE).
#[test]
fn a_holder_gives_its_lease_up_when_the_store_comes_back_from_a_copy() {
    let mut stored = Stored::default();
    let mut holder = lease::Lease::new(host("a"));
    attempt_in_era(&mut holder, 0, &mut stored, secs(0));
    assert!(holder.held(secs(1)).is_some());
    holder.record_era(1, secs(1));
    assert!(holder.held(secs(1)).is_none());
}

/// Guards against one fencing number of two holders after a drill (review/2, ONE).
#[test]
fn fences_rise_across_eras_whatever_the_copy_holds() {
    for copied in [false, true] {
        let mut stored = Stored::default();
        let mut first = lease::Lease::new(host("a"));
        let mut second = lease::Lease::new(host("b"));
        second.record_era(0, secs(0));
        attempt_in_era(&mut first, 0, &mut stored, secs(0));
        let fence = first.held(secs(1)).expect("lease is held").fence;
        let mut copy = Stored::default();
        if copied {
            copy.record = stored.record.clone();
        }
        let former_end = secs(1) + lease::LEASE_DURATION + lease::ORDER_TIMEOUT;
        for at in 1..13 {
            attempt_in_era(&mut second, 1, &mut copy, secs(at));
            assert!(
                second.held(secs(at)).is_none(),
                "at {at} s, copied: {copied}"
            );
        }
        attempt_in_era(&mut second, 1, &mut copy, former_end);
        let held = second.held(former_end).expect("the lease is free");
        assert!(held.fence > fence, "{} after {fence}", held.fence);
        assert_eq!(
            second.held(former_end).map(|held| held.fence > fence),
            Some(true)
        );
    }
}

/// The copy has this host's own lease, which another host may have had since.
#[test]
fn a_holder_does_not_renew_its_lease_of_an_earlier_era() {
    let mut stored = Stored::default();
    let mut holder = lease::Lease::new(host("a"));
    attempt_in_era(&mut holder, 0, &mut stored, secs(0));
    let fence = holder.held(secs(1)).expect("lease is held").fence;
    for at in 1..13 {
        attempt_in_era(&mut holder, 1, &mut stored, secs(at));
        assert!(holder.held(secs(at)).is_none(), "at {at} s");
    }
    attempt_in_era(&mut holder, 1, &mut stored, secs(14));
    assert!(holder.held(secs(14)).expect("lease is held").fence > fence);
}

/// Guards against two holders after a drill: a host that starts when the store has lost the lease doesn't know its
/// holder, which goes on until it hears of the new era.
#[test]
fn a_host_that_starts_in_a_later_era_waits_for_the_holder_before_it() {
    let mut stored = Stored::default();
    let mut holder = lease::Lease::new(host("a"));
    attempt_in_era(&mut holder, 0, &mut stored, secs(0));
    let fence = holder.held(secs(1)).expect("lease is held").fence;
    let mut copy = Stored::default();
    let mut starting = lease::Lease::new(host("b"));
    let mut second_held = None;
    for at in 1..20 {
        attempt_in_era(&mut starting, 1, &mut copy, secs(at));
        let held = starting.held(secs(at));
        assert!(
            held.is_none() || holder.held(secs(at)).is_none(),
            "two hosts hold the lease at {at} s"
        );
        second_held = second_held.or(held);
    }
    assert!(second_held.expect("the lease is free at last").fence > fence);
}

#[test]
fn a_store_that_lost_nothing_gives_the_first_lease_at_once() {
    let mut stored = Stored::default();
    let mut lease = lease::Lease::new(host("a"));
    attempt_in_era(&mut lease, 0, &mut stored, secs(0));
    assert!(lease.held(secs(0)).is_some());
}
