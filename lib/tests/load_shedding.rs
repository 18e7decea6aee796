//! Which connections of clients are closed when they hold too much.

use std::time;

use walnuthaven_lib::load_shedding;

fn holder(
    number: u64,
    phase: load_shedding::Phase,
    age_ms: u64,
    bytes: usize,
) -> load_shedding::Holder {
    load_shedding::Holder {
        number,
        phase,
        age: time::Duration::from_millis(age_ms),
        has_asked: false,
        is_blocked: false,
        bytes,
    }
}

#[test]
fn most_bytes_for_longest_go_first() {
    let holders = [
        holder(1, load_shedding::Phase::Head, 10, 300),
        holder(2, load_shedding::Phase::Head, 2_000, 200),
        holder(3, load_shedding::Phase::Waiting, 500, 4_000),
        holder(4, load_shedding::Phase::Body, 5_000, 100),
    ];
    assert_eq!(load_shedding::for_bytes(&holders, 1), [3]);
    assert_eq!(load_shedding::for_bytes(&holders, 4_001), [3, 4]);
    assert_eq!(load_shedding::for_bytes(&holders, 10_000), [3, 4, 2, 1]);
}

#[test]
fn nothing_is_closed_if_nothing_is_needed() {
    let holders = [holder(1, load_shedding::Phase::Head, 10, 300)];
    assert!(load_shedding::for_bytes(&holders, 0).is_empty());
    assert!(load_shedding::for_connections(&holders, 0).is_empty());
}

#[test]
fn requests_at_servers_are_never_closed() {
    let holders = [
        holder(1, load_shedding::Phase::Served, 9_000, 1_000_000),
        holder(2, load_shedding::Phase::Answer, 9_000, 500),
        holder(3, load_shedding::Phase::Waiting, 1, 0),
    ];
    assert!(load_shedding::for_bytes(&holders, 100).is_empty());
    assert_eq!(load_shedding::for_connections(&holders, 3), [3]);
}

#[test]
fn connections_without_a_request_go_first() {
    let mut kept = holder(1, load_shedding::Phase::Waiting, 9_000, 0);
    kept.has_asked = true;
    let mut blocked = holder(2, load_shedding::Phase::Answer, 9_000, 10);
    blocked.is_blocked = true;
    let holders = [
        blocked,
        holder(3, load_shedding::Phase::Waiting, 8_000, 10),
        holder(4, load_shedding::Phase::Body, 8_000, 10),
        holder(5, load_shedding::Phase::Head, 8_000, 10),
        kept,
        holder(6, load_shedding::Phase::Waiting, 500, 0),
        holder(7, load_shedding::Phase::Waiting, 5_000, 0),
        holder(8, load_shedding::Phase::Waiting, 5, 0),
        holder(9, load_shedding::Phase::Head, 50, 10),
    ];
    let order = load_shedding::for_connections(&holders, 10);
    assert_eq!(order, [7, 6, 1, 5, 4, 3, 2, 9, 8]);
    assert_eq!(load_shedding::for_connections(&holders, 2), [7, 6]);
}
