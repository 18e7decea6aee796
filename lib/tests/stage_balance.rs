//! The balance of a pool between prefill and decode engines.

use std::collections;
use std::sync;

use walnuthaven_lib::backends;
use walnuthaven_lib::pool_balance;

fn engines(prefill: usize, decode: usize) -> Vec<sync::Arc<backends::Backend>> {
    let stages = std::iter::repeat_n(backends::Stage::Prefill, prefill)
        .chain(std::iter::repeat_n(backends::Stage::Decode, decode));
    let numbered = stages.enumerate();
    numbered
        .map(|(i, stage)| {
            sync::Arc::new(backends::Backend {
                id: format!("e{i}").into(),
                started_unix_ms: None,
                service: "scribe".into(),
                addr: "127.0.0.1:80".parse().unwrap(),
                zone: format!("z{}", i % 3).into(),
                draining: false,
                stage: Some(stage),
                slots: 64,
                version: "v1".into(),
            })
        })
        .collect()
}

#[test]
fn more_memory_needs_more_prefill_engines() {
    assert_eq!(pool_balance::prefill_engines(9, 106_284), 3);
    assert_eq!(pool_balance::prefill_engines(14, 73_808), 3);
    assert!(pool_balance::prefill_engines(45, 62_304) < pool_balance::prefill_engines(45, 200_000));
    assert_eq!(pool_balance::prefill_engines(1, 100_000), 0);
    assert_eq!(pool_balance::prefill_engines(2, 100_000), 1);
}

#[test]
fn no_more_orders_than_the_balance_needs() {
    let engines = engines(4, 5);
    let mut recent = collections::HashMap::new();
    let order = pool_balance::next_order(&engines, 106_284, &recent).unwrap();
    assert_eq!(order.stage, backends::Stage::Decode);
    assert_eq!(order.engine.stage, Some(backends::Stage::Prefill));
    recent.insert(order.engine.id.clone(), order.stage);
    assert_eq!(pool_balance::next_order(&engines, 106_284, &recent), None);
}

#[test]
fn a_short_crash_causes_no_order() {
    assert!(pool_balance::min_imbalance_time(true) > std::time::Duration::from_secs(6));
    assert!(pool_balance::min_imbalance_time(false) < std::time::Duration::from_secs(2));
}
