//! Placement on engines that start or recover.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::engine_memory;

const LIMITS: engine_memory::Limits<'_> = engine_memory::Limits {
    memory_tokens: 66_796,
    run_kind: engine_memory::RunKind::New { hosts: 6 },
    slots: 12,
    prefill_within: Some(time::Duration::from_millis(700)),
    versions_running_out: &[],
};
const NEED: engine_memory::Need = engine_memory::Need {
    prompt: 5_200,
    output: 4_690,
};
const NOW: time::Duration = time::Duration::from_secs(60);
const PLACED: usize = 1_000;

fn engine(id: &str, stage: backends::Stage) -> sync::Arc<backends::Backend> {
    sync::Arc::new(backends::Backend {
        id: id.into(),
        started_unix_ms: None,
        service: "scribe".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        draining: false,
        stage: Some(stage),
        slots: 12,
        version: "v1".into(),
    })
}

fn pool() -> Vec<sync::Arc<backends::Backend>> {
    let prefill = (0..2).map(|i| engine(&format!("p{i}"), backends::Stage::Prefill));
    let decode = (0..4).map(|i| engine(&format!("d{i}"), backends::Stage::Decode));
    prefill.chain(decode).collect()
}

/// Returns how many requests of the same moment are placed on each engine.
fn placed(
    load: &engine_load::EngineLoad,
    engines: &[sync::Arc<backends::Backend>],
) -> std::collections::BTreeMap<String, usize> {
    let mut placed = std::collections::BTreeMap::new();
    for i in 0..PLACED {
        let placement = load
            .place(engines, NEED, LIMITS, "z", &i.to_string(), NOW)
            .expect("there is room");
        *placed.entry(placement.decode.id.to_string()).or_insert(0) += 1;
        let prefill = placement.prefill.expect("there are prefill engines");
        *placed.entry(prefill.id.to_string()).or_insert(0) += 1;
    }
    placed
}

/// An engine that has just started is empty and so the cheapest, yet takes only its part of the requests.
#[test]
fn started_engines() {
    let mut load = engine_load::EngineLoad::default();
    for number in 0..9 {
        let run = engine_load::Run {
            engine: format!("d{}", number % 3).as_str().into(),
            prompt: NEED.prompt,
            output: NEED.output,
            generated: 0,
            as_of: NOW,
        };
        load.add_run(("h".into(), number), run);
    }
    assert!(placed(&load, &pool())["d3"] > PLACED / 2);
    for id in ["d3", "p0"] {
        load.set_part(&id.into(), 0.125);
    }
    let with_parts = placed(&load, &pool());
    for id in ["d3", "p0"] {
        let part = with_parts[id] as f64 / PLACED as f64;
        assert!((0.05..=0.15).contains(&part), "{id}: {part}");
    }
    for id in ["d3", "p0"] {
        load.set_part(&id.into(), 1.0);
    }
    assert!(placed(&load, &pool())["d3"] > PLACED / 2);
}

/// If all engines start, or the others are too busy, the requests are placed as without parts.
#[test]
fn no_other_engine() {
    let mut load = engine_load::EngineLoad::default();
    for engine in pool() {
        load.set_part(&engine.id, 0.05);
    }
    placed(&load, &pool());
    load.set_part(&"p0".into(), 1.0);
    for number in 0..8 {
        let prefill = engine_load::Prefill {
            engine: "p0".into(),
            tokens: NEED.prompt,
            sent_at: NOW,
        };
        load.add_prefill(("h".into(), number), prefill, NOW);
    }
    assert_eq!(placed(&load, &pool())["p1"], PLACED, "p0 would be late");
    let two: Vec<_> = pool().drain(1..3).collect();
    assert_eq!(placed(&load, &two)["d0"], PLACED);
}
