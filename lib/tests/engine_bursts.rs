//! Replays of bursts on engines, with the real modules and a clock.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::wait_queue;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn engine(i: usize, stage: backends::Stage) -> sync::Arc<backends::Backend> {
    sync::Arc::new(backends::Backend {
        id: format!("{stage:?}{i}").into(),
        started_unix_ms: None,
        service: "scribe".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        draining: false,
        stage: Some(stage),
        slots: 24,
        version: "v1".into(),
    })
}

fn pool() -> Vec<sync::Arc<backends::Backend>> {
    let prefill = (0..12).map(|i| engine(i, backends::Stage::Prefill));
    let decode = (0..36).map(|i| engine(i, backends::Stage::Decode));
    prefill.chain(decode).collect()
}

/// A caller whose target is 0.9 s leaves after 3.6 s without an event; one that waited for four seconds would have its
/// prompt read for nothing.
#[test]
fn callers_leave_after_a_gap() {
    assert_eq!(wait_queue::patience(ms(900), Some(ms(300))), ms(3_600));
    assert_eq!(wait_queue::patience(ms(300), Some(ms(100))), ms(2_000));
    assert_eq!(wait_queue::patience(ms(300), Some(ms(500))), ms(4_000));
    assert!(wait_queue::patience(ms(900), None) < wait_queue::max_wait(ms(14_000)));
}

/// Ends come as often as the engines' own speeds and the lengths of answers say.
#[test]
fn short_answers_end_more_often() {
    let engines = pool();
    let between = |output: u32| {
        let mut load = engine_load::EngineLoad::default();
        for i in 0..100_u64 {
            let run = engine_load::Run {
                engine: engines[12 + i as usize % 36].id.clone(),
                prompt: 3_200,
                output,
                generated: 0,
                as_of: ms(0),
            };
            load.add_run(("h".into(), i), run);
        }
        load.time_between_ends(&engines)
    };
    let long = between(4_900).as_secs_f64();
    // 4,900 tokens of 0.8 ms, 64 ms for the prompt and 200 ms for the start, over 100 runs.
    assert!((long - 0.0418).abs() < 0.001, "{long}");
    let short = between(500).as_secs_f64();
    assert!((short - 0.0066).abs() < 0.001, "{short}");
}
