//! Placement of requests on engines, on a simulated pool.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::engine_memory;

const MEMORY: u32 = 106_284;
const STEP: time::Duration = time::Duration::from_micros(800);
const LIMITS: engine_memory::Limits<'_> = engine_memory::Limits {
    memory_tokens: MEMORY,
    run_kind: engine_memory::RunKind::New { hosts: 6 },
    slots: 64,
    prefill_within: Some(time::Duration::from_millis(700)),
    versions_running_out: &[],
};

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn engine(id: &str, stage: backends::Stage) -> sync::Arc<backends::Backend> {
    sync::Arc::new(backends::Backend {
        id: id.into(),
        started_unix_ms: None,
        service: "scribe".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        draining: false,
        stage: Some(stage),
        slots: 64,
        version: "v1".into(),
    })
}

fn pool() -> Vec<sync::Arc<backends::Backend>> {
    let prefill = (0..3).map(|i| engine(&format!("p{i}"), backends::Stage::Prefill));
    let decode = (0..6).map(|i| engine(&format!("d{i}"), backends::Stage::Decode));
    prefill.chain(decode).collect()
}

fn need(prompt: u32, output: u32) -> engine_memory::Need {
    engine_memory::Need { prompt, output }
}

fn run_on(
    placement: &engine_load::Placement,
    need: engine_memory::Need,
    at: time::Duration,
) -> engine_load::Run {
    engine_load::Run {
        engine: placement.decode.id.clone(),
        prompt: need.prompt,
        output: need.output,
        generated: 0,
        as_of: at,
    }
}

/// A burst of twice the usual requests for four seconds. Runs are as long as predicted and all hosts have
/// the same view, so no engine may run out of memory. The fullest one must use over 60% of it.
#[test]
fn a_burst_never_exceeds_memory() {
    let engines = pool();
    let mut load = engine_load::EngineLoad::default();
    let mut running: collections::HashMap<u64, (engine_load::Run, time::Duration)> =
        collections::HashMap::new();
    let mut placed = 0;
    let mut max_held = 0;
    for i in 0..100_u64 {
        let now = ms(i * 40);
        running.retain(|number, (run, start)| {
            let is_running = now < *start + STEP * run.output;
            if !is_running {
                load.remove_run(&("h".into(), *number));
            }
            is_running
        });
        let need = need(
            2_000 + (i as u32 * 977) % 6_000,
            1_500 + (i as u32 * 733) % 7_000,
        );
        let salt = i.to_string();
        if let Ok(placement) = load.place(&engines, need, LIMITS, "z", &salt, now) {
            let run = run_on(&placement, need, now);
            load.add_run(("h".into(), i), run.clone());
            running.insert(i, (run, now));
            placed += 1;
        }
        for engine in &engines {
            let held: u64 = running
                .values()
                .filter(|(run, _)| run.engine == engine.id)
                .map(|(run, start)| {
                    let generated = (now - *start).as_secs_f64() / STEP.as_secs_f64();
                    u64::from(run.prompt) + generated as u64
                })
                .sum();
            max_held = max_held.max(held);
            assert!(
                held <= u64::from(MEMORY),
                "{} holds {held} tokens",
                engine.id
            );
        }
    }
    assert!(
        max_held > u64::from(MEMORY) * 6 / 10,
        "memory was left unused: at most {max_held} tokens held"
    );
    assert!(placed > 60, "only {placed} of 100 requests were placed");
}

#[test]
fn a_full_pool_reports_when_memory_is_free() {
    let engines = vec![
        engine("p", backends::Stage::Prefill),
        engine("d", backends::Stage::Decode),
    ];
    let mut load = engine_load::EngineLoad::default();
    let big = need(30_000, 50_000);
    let placement = load.place(&engines, big, LIMITS, "z", "a", ms(0));
    let placement = placement.expect("an empty engine accepts a request that fits");
    load.add_run(("h".into(), 1), run_on(&placement, big, ms(0)));
    let full = load.place(&engines, big, LIMITS, "z", "b", ms(0));
    let wait = match full {
        Err(engine_load::Full::Memory(wait)) => wait,
        other => panic!("{other:?}"),
    };
    assert_eq!(wait, STEP * 50_000);
    load.forget_engine("d");
    assert!(load.place(&engines, big, LIMITS, "z", "b", ms(0)).is_ok());
}

#[test]
fn a_prompt_goes_to_the_engine_that_prefills_it_first() {
    let engines = pool();
    let mut load = engine_load::EngineLoad::default();
    for (i, tokens) in [(0, 20_000), (1, 5_000), (2, 30_000)] {
        let prefill = engine_load::Prefill {
            engine: format!("p{i}").into(),
            tokens,
            sent_at: ms(0),
        };
        load.add_prefill(("other".into(), i), prefill, ms(0));
    }
    let placed = load.place(&engines, need(1_000, 100), LIMITS, "z", "a", ms(0));
    let prefill = placed.unwrap().prefill.unwrap();
    assert_eq!(&*prefill.id, "p1");
    load.forget_host("other");
    assert_eq!(load.prefill_backlog("p2", ms(0)), time::Duration::ZERO);
}

#[test]
fn a_prompt_that_cannot_be_prefilled_in_time_is_refused() {
    let engines = vec![
        engine("p", backends::Stage::Prefill),
        engine("d", backends::Stage::Decode),
    ];
    let mut load = engine_load::EngineLoad::default();
    let prefill = engine_load::Prefill {
        engine: "p".into(),
        tokens: 50_000,
        sent_at: ms(0),
    };
    load.add_prefill(("h".into(), 1), prefill, ms(0));
    let full = load.place(&engines, need(1_000, 100), LIMITS, "z", "a", ms(0));
    assert!(
        matches!(full, Err(engine_load::Full::Prompts(_))),
        "{full:?}"
    );
    let already_prefilled = engine_memory::Limits {
        prefill_within: None,
        ..LIMITS
    };
    let placed = load.place(
        &engines,
        need(1_000, 100),
        already_prefilled,
        "z",
        "a",
        ms(0),
    );
    assert!(placed.unwrap().prefill.is_none());
}

#[test]
fn a_slow_engine_is_recognized_from_another_hosts_news() {
    let engines = pool();
    let mut load = engine_load::EngineLoad::default();
    for i in 1..60_u32 {
        let now = ms(u64::from(i) * 400);
        let runs = (0..6).map(|number| {
            // The first engine takes 4 ms per token, the others 0.8 ms.
            let generated = if number == 0 { i * 100 } else { i * 500 };
            let engine = format!("d{number}").into();
            let run = engine_load::Run {
                engine,
                prompt: 10,
                output: 30_000,
                generated,
                as_of: now,
            };
            (number, run)
        });
        load.replace_host("other", runs.collect(), Vec::new(), now);
    }
    load.forget_host("other");
    for i in 0..50 {
        let placed = load.place(
            &engines,
            need(5_000, 5_000),
            LIMITS,
            "z",
            &i.to_string(),
            ms(30_000),
        );
        assert_ne!(&*placed.unwrap().decode.id, "d0");
    }
}

#[test]
fn more_hosts_leave_more_memory_free() {
    let engines = [engine("d0", backends::Stage::Decode)];
    let mut placed = Vec::new();
    for hosts in [1, 70, 1_000] {
        let limits = engine_memory::Limits {
            run_kind: engine_memory::RunKind::New { hosts },
            prefill_within: None,
            ..LIMITS
        };
        let load = load_with_full_engine(&engines, limits);
        placed.push(load.runs_on("d0"));
        let moved = engine_memory::Limits {
            run_kind: engine_memory::RunKind::Moved,
            ..limits
        };
        let small = need(1_500, 500);
        assert!(
            load.place(&engines, small, moved, "z", "m", ms(0)).is_ok(),
            "a moved run may use memory that new runs may not"
        );
    }
    assert!(
        placed[0] > placed[1] && placed[1] == placed[2],
        "{placed:?}"
    );
}

/// Places small runs on one engine until one is refused, and returns the resulting load.
fn load_with_full_engine(
    engines: &[sync::Arc<backends::Backend>],
    limits: engine_memory::Limits<'_>,
) -> engine_load::EngineLoad {
    let mut load = engine_load::EngineLoad::default();
    let small = need(3_000, 1_000);
    for number in 0.. {
        let Ok(placement) = load.place(engines, small, limits, "z", "a", ms(0)) else {
            break;
        };
        load.add_run(("h".into(), number), run_on(&placement, small, ms(0)));
    }
    load
}
