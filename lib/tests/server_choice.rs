//! The choice among the servers of a plain service while some of them fail.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::server_health;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn servers() -> Vec<sync::Arc<backends::Backend>> {
    let ids = ["a", "b", "c", "d"];
    let server = |id: &str| backends::Backend {
        id: id.into(),
        started_unix_ms: None,
        service: "gate".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        draining: false,
        stage: None,
        slots: 6,
        version: "v1".into(),
    };
    ids.into_iter()
        .map(|id| sync::Arc::new(server(id)))
        .collect()
}

fn choice(health: &server_health::Health, random: u32, now: time::Duration) -> String {
    let servers = servers();
    let chosen = health.choose(&servers, &[], "z", random, now);
    chosen.map(|server| server.id.to_string()).unwrap()
}

/// One server fails four in ten of its requests, a fault that health checks may not show.
#[test]
fn a_server_that_fails_requests_gets_few_requests() {
    let mut health = server_health::Health::default();
    let mut sent = [0_u32; 4];
    for i in 0..400_u32 {
        let now = at(u64::from(i) * 20);
        let id = choice(&health, i.wrapping_mul(2_654_435_761), now);
        sent[usize::from(id.as_bytes()[0] - b'a')] += 1;
        let failed = id == "a" && sent[0] % 5 < 2;
        health.record_answer(&id, at(15), failed, now);
    }
    assert!(sent[0] < 40, "{sent:?}");
}

#[test]
fn an_unreachable_server_is_avoided_for_a_while() {
    let mut health = server_health::Health::default();
    health.record_unreachable("a", at(0));
    assert!(health.is_avoided("a", at(400)));
    assert!(!health.is_avoided("a", at(500)));
    health.record_unreachable("a", at(500));
    assert!(health.is_avoided("a", at(1_400)));
    health.record_answer("a", at(10), false, at(1_600));
    health.record_unreachable("a", at(1_700));
    assert!(!health.is_avoided("a", at(2_200)));
}

#[test]
fn avoided_servers_are_chosen_if_no_other_is_left() {
    let mut health = server_health::Health::default();
    for id in ["a", "b", "c", "d"] {
        health.record_unreachable(id, at(0));
    }
    let _: String = choice(&health, 1, at(1));
    let servers = servers();
    let tried: Vec<_> = servers.iter().map(|server| server.id.clone()).collect();
    assert!(health.choose(&servers, &tried, "z", 0, at(1)).is_none());
}

#[test]
fn own_answer_outweighs_avoidance_by_peers() {
    let mut health = server_health::Health::default();
    health.record_peer_avoidance("a", at(5_000), at(2_000));
    assert!(health.is_avoided("a", at(2_100)));
    health.record_response("a", at(2_200));
    assert!(!health.is_avoided("a", at(2_300)));
    health.record_peer_avoidance("a", at(5_000), at(2_400));
    assert!(!health.is_avoided("a", at(2_500)));
}

#[test]
fn backoff_doubles_and_success_ends_it() {
    let mut health = server_health::Health::default();
    health.record_refusal("a", at(0));
    assert!(!health.is_avoided("a", at(250)));
    health.record_refusal("a", at(250));
    assert!(health.is_avoided("a", at(700)));
    health.record_expired_prefill("b", at(0));
    assert!(health.is_avoided_for_prefill("b", at(299)));
    assert!(!health.is_avoided_for_prefill("b", at(300)));
    health.record_expired_prefill("b", at(300));
    health.record_fetched_prefill("b");
    health.record_expired_prefill("b", at(1_000));
    assert!(!health.is_avoided_for_prefill("b", at(1_300)));
    health.record_mismatched_answer("c", at(0));
    assert!(!health.may_reuse_connections("c", at(9_999)));
    assert!(health.may_reuse_connections("c", at(10_000)));
}

#[test]
fn a_silent_server_is_avoided_but_not_unusable() {
    let mut health = server_health::Health::default();
    health.record_silence("a", at(0));
    assert!(health.is_avoided("a", at(499)));
    assert!(!health.is_unusable("a", at(0)));
    assert_eq!(health.avoided(at(0)).count(), 1, "other hosts are told");
    health.record_peer_avoidance("b", at(500), at(1_100));
    assert!(!health.is_unusable("b", at(1_100)));
    health.record_unreachable("a", at(100));
    assert!(health.is_unusable("a", at(100)));
    health.record_response("a", at(200));
    assert!(!health.is_avoided("a", at(200)));
}

#[test]
fn a_silence_that_several_streams_notice_counts_once() {
    let mut health = server_health::Health::default();
    for _ in 0..3 {
        health.record_silence("a", at(0));
    }
    assert!(!health.is_avoided("a", at(500)));
}

#[test]
fn avoidance_by_a_peer_ends_when_no_peer_reports_it_any_more() {
    let mut health = server_health::Health::default();
    let avoided = [("a".into(), at(5_000))];
    health.replace_peer_avoidances("h1", &avoided, at(2_000));
    health.replace_peer_avoidances("h2", &avoided, at(2_000));
    assert!(health.is_avoided("a", at(2_000)));
    health.replace_peer_avoidances("h1", &[], at(2_100));
    assert!(health.is_avoided("a", at(2_100)));
    health.replace_peer_avoidances("h2", &[("b".into(), at(5_000))], at(2_200));
    assert!(!health.is_avoided("a", at(2_200)));
    assert!(health.is_avoided("b", at(2_200)));
}
