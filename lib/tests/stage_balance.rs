//! The balance of a pool between prefill and decode engines.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::pool_balance;
use walnuthaven_lib::typical_work;

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

/// The work assumed for engines that put 70 tokens into an event.
fn long_answers(memory_tokens: u32) -> typical_work::TypicalWork {
    typical_work::TypicalWork::assumed(memory_tokens, 70)
}

fn prefill_engines(engines: usize, memory_tokens: u32) -> usize {
    pool_balance::prefill_engines(engines, memory_tokens, &long_answers(memory_tokens))
}

#[test]
fn more_memory_needs_more_prefill_engines() {
    assert_eq!(prefill_engines(9, 106_284), 3);
    assert_eq!(prefill_engines(14, 73_808), 3);
    assert!(prefill_engines(45, 62_304) < prefill_engines(45, 200_000));
    assert_eq!(prefill_engines(1, 100_000), 0);
    assert_eq!(prefill_engines(2, 100_000), 1);
}

#[test]
fn no_more_orders_than_the_balance_needs() {
    let engines = engines(4, 5);
    let mut recent = collections::HashMap::new();
    let work = long_answers(106_284);
    let next = |recent: &collections::HashMap<_, _>| {
        pool_balance::next_order(&engines, 106_284, &work, 1.0, recent)
    };
    let order = next(&recent).unwrap();
    assert_eq!(order.stage, backends::Stage::Decode);
    assert_eq!(order.engine.stage, Some(backends::Stage::Prefill));
    recent.insert(order.engine.id.clone(), order.stage);
    assert_eq!(next(&recent), None);
}

#[test]
fn a_short_crash_causes_no_order() {
    assert!(pool_balance::min_imbalance_time(true) > std::time::Duration::from_secs(6));
    assert!(pool_balance::min_imbalance_time(false) < std::time::Duration::from_secs(2));
}

/// The memory of the engines below, in tokens.
const MEMORY: u32 = 24_069;
/// Time in which one of them prefills a prompt, in seconds.
const PREFILL_S: f64 = 0.096;

/// Engines that generate slowly and write short answers: 140 of them with 148 prompts a second.
/// Eleven engines, as for long answers, could prefill 97 of them.
#[test]
fn short_answers_need_more_prefill_engines() {
    let work = typical_work::TypicalWork::assumed(MEMORY, 11);
    let prefill = pool_balance::prefill_engines(140, MEMORY, &work) as f64;
    assert!(
        prefill * 0.85 / PREFILL_S > 148.0,
        "{prefill} prefill engines are too few"
    );
}

/// The load of `runs` runs, each on one of the decode engines, with a prompt of 3,200 tokens and answers of 300 to
/// 1,600.
fn load_with(runs: u64, engines: &[sync::Arc<backends::Backend>]) -> engine_load::EngineLoad {
    let decode: Vec<_> = engines
        .iter()
        .filter(|e| e.stage == Some(backends::Stage::Decode))
        .collect();
    let mut load = engine_load::EngineLoad::default();
    for number in 0..runs {
        let engine = &decode[number as usize % decode.len()];
        let run = engine_load::Run {
            engine: engine.id.clone(),
            prompt: 3_200,
            output: 300 + (number as u32 * 97) % 1_300,
            generated: 0,
            as_of: time::Duration::ZERO,
        };
        load.add_run(("host".into(), number), run);
    }
    load
}

/// Returns the first order for measured work, if the balance needs any.
fn order_for_measured(
    engines: &[sync::Arc<backends::Backend>],
    work: &typical_work::TypicalWork,
) -> Option<pool_balance::StageOrder> {
    let min_gain = pool_balance::MIN_MEASURED_GAIN;
    pool_balance::next_order(
        engines,
        MEMORY,
        work,
        min_gain,
        &collections::HashMap::new(),
    )
}

/// Records `count` prefills of 3,200 tokens on the first engine, one after the other, of which each fourth takes
/// `slow_ms` and the others 96 ms.
fn record_prefills(load: &mut engine_load::EngineLoad, count: u64, slow_ms: u64) {
    let mut now = time::Duration::ZERO;
    for number in 0..count {
        let key = ("host".into(), 10_000 + number);
        let prefill = engine_load::Prefill {
            engine: "e0".into(),
            tokens: 3_200,
            sent_at: now,
        };
        load.add_prefill(key.clone(), prefill, now);
        now += match number % 4 {
            0 => time::Duration::from_millis(slow_ms),
            _ => time::Duration::from_millis(96),
        };
        load.remove_prefill(&key, true, now);
    }
}

#[test]
fn measured_work_corrects_a_wrong_balance() {
    let engines = engines(11, 129);
    let mut load = load_with(500, &engines);
    record_prefills(&mut load, 200, 96);
    let work = load.typical_work(&engines).unwrap();
    assert!((3_600.0..3_750.0).contains(&work.held_tokens), "{work:?}");
    // 0.8 ms a token are assumed at first.
    let answer_ms = 650..900;
    assert!(
        answer_ms.contains(&work.answer_time.as_millis()),
        "{work:?}"
    );
    let order = order_for_measured(&engines, &work);
    assert_eq!(order.unwrap().stage, backends::Stage::Prefill);
}

/// Prompts of other hosts that this one hasn't heard of delay some prefills.
#[test]
fn unknown_queues_do_not_count_as_slow_engines() {
    let engines = engines(11, 129);
    let mut load = load_with(500, &engines);
    record_prefills(&mut load, 400, 400);
    let work = load.typical_work(&engines).unwrap();
    assert!(
        (90..106).contains(&work.prefill_time.as_millis()),
        "{work:?}"
    );
}

/// Returns the token time learned for an engine that makes an event of 11 tokens each `event_ms`.
fn learned_token_time(event_ms: &[u64]) -> time::Duration {
    let mut load = engine_load::EngineLoad::default();
    let key: engine_load::Key = ("host".into(), 1);
    let run = engine_load::Run {
        engine: "e0".into(),
        prompt: 3_200,
        output: 5_000,
        generated: 0,
        as_of: time::Duration::ZERO,
    };
    load.add_run(key.clone(), run);
    let mut now = time::Duration::ZERO;
    for (event, ms) in (1..).zip(event_ms) {
        now += time::Duration::from_millis(*ms);
        load.record_progress(&key, event * 11, now);
    }
    load.typical_token_time()
}

#[test]
fn speed_of_slow_engines_is_learned() {
    let learned = learned_token_time(&[48; 40]).as_micros();
    assert!((4_200..4_500).contains(&learned), "{learned} us");
    // The first samples are near the others, then the engine is slower for a while.
    let learned = learned_token_time(&[[48; 40], [70; 40], [70; 40], [70; 40], [70; 40]].concat());
    assert!(learned > time::Duration::from_micros(6_000), "{learned:?}");
}

#[test]
fn pauses_are_no_steps() {
    let learned = learned_token_time(&[[48; 20], [1_500; 20]].concat()).as_micros();
    assert!((4_200..4_500).contains(&learned), "{learned} us");
}

#[test]
fn small_differences_between_measurements_cause_no_order() {
    let engines = engines(23, 117);
    let mut work = typical_work::TypicalWork::assumed(MEMORY, 11);
    for change in [0.95, 1.05] {
        work.answer_time = work.answer_time.mul_f64(change);
        let order = order_for_measured(&engines, &work);
        assert_eq!(order, None);
    }
}

#[test]
fn few_runs_are_no_measurement() {
    let engines = engines(3, 6);
    assert_eq!(load_with(15, &engines).typical_work(&engines), None);
}
