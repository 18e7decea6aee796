//! Which hosts may try a suspected part.

use std::time;

use walnuthaven_lib::trial_turns;

/// Returns how many of the hosts may try a part after some time.
fn hosts_with_turn(part: u64, hosts: &[String], waited: time::Duration) -> usize {
    let may_try = hosts.iter().filter(|own| {
        let others = hosts.iter().filter(|host| host != own);
        trial_turns::is_turn(part, own, others.map(String::as_str), waited)
    });
    may_try.count()
}

#[test]
fn one_host_tries_a_part_and_few_more_if_nothing_comes_of_it() {
    let hosts: Vec<String> = (0..90).map(|number| format!("h{number}")).collect();
    for part in 0..50 {
        let after = |seconds| hosts_with_turn(part, &hosts, time::Duration::from_secs(seconds));
        assert_eq!([after(0), after(1), after(3), after(3_600)], [1, 1, 2, 3]);
    }
}

#[test]
fn hosts_without_others_try_every_part() {
    let none = std::iter::empty();
    assert!(trial_turns::is_turn(7, "h", none, time::Duration::ZERO));
}
