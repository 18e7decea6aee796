//! Placement of requests while engines of several software versions serve.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::engine_memory;

const MEMORY: u32 = 100_000;
const LIMITS: engine_memory::Limits<'_> = engine_memory::Limits {
    memory_tokens: MEMORY,
    run_kind: engine_memory::RunKind::New { hosts: 6 },
    slots: 64,
    prefill_within: Some(time::Duration::from_millis(700)),
    versions_running_out: &[],
};
const SMALL: engine_memory::Need = engine_memory::Need {
    prompt: 1_000,
    output: 1_000,
};
const NOW: time::Duration = time::Duration::ZERO;

/// Returns an engine whose id is its version, stage (`p` or `d`) and number.
fn engine(id: &str) -> sync::Arc<backends::Backend> {
    let (version, name) = id.split_once('-').unwrap();
    sync::Arc::new(backends::Backend {
        id: id.into(),
        started_unix_ms: None,
        service: "scribe".into(),
        addr: "127.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        draining: false,
        stage: Some(match name.starts_with('p') {
            true => backends::Stage::Prefill,
            false => backends::Stage::Decode,
        }),
        slots: 64,
        version: version.into(),
    })
}

fn engines(ids: &[&str]) -> Vec<sync::Arc<backends::Backend>> {
    ids.iter().map(|id| engine(id)).collect()
}

/// Adds prompts to an engine's queue.
fn queue_prompts(load: &mut engine_load::EngineLoad, engine: &str, tokens: u32) {
    let prefill = engine_load::Prefill {
        engine: engine.into(),
        tokens,
        sent_at: NOW,
    };
    load.add_prefill((engine.into(), 1), prefill, NOW);
}

/// Adds runs to an engine that fill this much of its memory.
fn fill(load: &mut engine_load::EngineLoad, engine: &str, tokens: u32) {
    let run = engine_load::Run {
        engine: engine.into(),
        prompt: tokens - 1_000,
        output: 1_000,
        generated: 0,
        as_of: NOW,
    };
    load.add_run((engine.into(), 1), run);
}

fn place(
    load: &engine_load::EngineLoad,
    engines: &[sync::Arc<backends::Backend>],
    limits: engine_memory::Limits<'_>,
    salt: u32,
) -> Result<engine_load::Placement, engine_load::Full> {
    load.place(engines, SMALL, limits, "z", &salt.to_string(), NOW)
}

#[test]
fn a_prompt_is_not_prefilled_by_another_version() {
    let engines = engines(&["v1-p1", "v2-p1", "v1-d1", "v2-d1"]);
    let mut load = engine_load::EngineLoad::default();
    queue_prompts(&mut load, "v2-p1", 10_000);
    let mut placed = [0, 0];
    for salt in 0..100 {
        let placement = place(&load, &engines, LIMITS, salt).unwrap();
        let prefill = placement.prefill.unwrap();
        assert_eq!(prefill.version, placement.decode.version);
        placed[usize::from(&*placement.decode.version == "v2")] += 1;
    }
    assert!(placed.iter().all(|count| *count > 20), "{placed:?}");
}

#[test]
fn a_version_without_prefill_engines_prefills_on_its_decode_engine() {
    let engines = engines(&["v1-p1", "v1-d1", "v2-d1"]);
    let mut load = engine_load::EngineLoad::default();
    fill(&mut load, "v1-d1", MEMORY);
    let placement = place(&load, &engines, LIMITS, 0).unwrap();
    assert_eq!(&*placement.decode.id, "v2-d1");
    assert!(placement.prefill.is_none(), "{placement:?}");
}

#[test]
fn a_version_that_prefills_late_leaves_requests_to_the_others() {
    let engines = engines(&["v1-p1", "v1-p2", "v2-p1", "v1-d1", "v2-d1"]);
    let mut load = engine_load::EngineLoad::default();
    fill(&mut load, "v2-d1", MEMORY / 2);
    queue_prompts(&mut load, "v1-p1", 100_000);
    queue_prompts(&mut load, "v1-p2", 50_000);
    for salt in 0..20 {
        let placement = place(&load, &engines, LIMITS, salt).unwrap();
        assert_eq!(&*placement.decode.id, "v2-d1");
        assert_eq!(&*placement.prefill.unwrap().id, "v2-p1");
    }
    queue_prompts(&mut load, "v2-p1", 60_000);
    let full = place(&load, &engines, LIMITS, 0).unwrap_err();
    let backlog = load.prefill_backlog("v1-p2", NOW);
    assert_eq!(full, engine_load::Full::Prompts(backlog));
    let already_prefilled = engine_memory::Limits {
        prefill_within: None,
        ..LIMITS
    };
    let placement = place(&load, &engines, already_prefilled, 0).unwrap();
    assert!(placement.prefill.is_none());
}

#[test]
fn a_version_in_time_without_room_reports_when_memory_is_free() {
    let engines = engines(&["v1-p1", "v2-p1", "v1-d1", "v2-d1"]);
    let mut load = engine_load::EngineLoad::default();
    queue_prompts(&mut load, "v1-p1", 100_000);
    fill(&mut load, "v2-d1", MEMORY);
    let full = place(&load, &engines, LIMITS, 0).unwrap_err();
    let until_run_ends = time::Duration::from_micros(800) * 1_000;
    assert_eq!(full, engine_load::Full::Memory(until_run_ends));
}

#[test]
fn the_zone_of_the_versions_own_prefill_engine_counts() {
    let mut engines = engines(&["v1-p1", "v2-p1", "v2-d1", "v2-d2"]);
    let far = |engine: &mut sync::Arc<backends::Backend>| {
        sync::Arc::make_mut(engine).zone = "far".into();
    };
    far(&mut engines[1]);
    far(&mut engines[3]);
    let load = engine_load::EngineLoad::default();
    let near_prefill = (0..100).filter(|salt| {
        let placement = place(&load, &engines, LIMITS, *salt).unwrap();
        &*placement.decode.id == "v2-d2"
    });
    let chosen = near_prefill.count();
    assert!(
        chosen > 70,
        "the engine beside its prefill engine was chosen {chosen} times of 100"
    );
}

/// Places new runs until none has room, and returns how many engines of each version took.
fn fill_up(
    load: &mut engine_load::EngineLoad,
    engines: &[sync::Arc<backends::Backend>],
    limits: engine_memory::Limits<'_>,
) -> Vec<sync::Arc<str>> {
    let mut versions = Vec::new();
    for number in 0.. {
        let Ok(placement) = place(load, engines, limits, number) else {
            break;
        };
        let run = engine_load::Run {
            engine: placement.decode.id.clone(),
            prompt: SMALL.prompt,
            output: SMALL.output,
            generated: 0,
            as_of: NOW,
        };
        load.add_run(("h".into(), u64::from(number)), run);
        versions.push(placement.decode.version.clone());
    }
    versions
}

#[test]
fn a_version_that_runs_out_gets_new_runs_last() {
    let engines = engines(&["v1-p1", "v2-p1", "v1-d1", "v1-d2", "v2-d1"]);
    let running_out = ["v1".into()];
    let limits = engine_memory::Limits {
        versions_running_out: &running_out,
        ..LIMITS
    };
    let mut load = engine_load::EngineLoad::default();
    let versions = fill_up(&mut load, &engines, limits);
    let of_v2 = versions.iter().take_while(|v| ***v == *"v2").count();
    assert!(of_v2 > 30, "{versions:?}");
    assert!(
        versions[of_v2..].iter().all(|v| **v == *"v1"),
        "{versions:?}"
    );
}

/// Both engines of a version that runs out have taken all the new runs that they may. One of them
/// leaves, and its runs go on at the other.
#[test]
fn a_version_that_runs_out_keeps_room_for_its_own_runs() {
    let engines = engines(&["v1-p1", "v1-d1", "v1-d2"]);
    let running_out = ["v1".into()];
    let limits = engine_memory::Limits {
        versions_running_out: &running_out,
        ..LIMITS
    };
    let mut load = engine_load::EngineLoad::default();
    fill_up(&mut load, &engines, limits);
    let left = load.runs_on("v1-d1");
    assert!(left > 15, "{left} runs");
    load.forget_engine("v1-d1");
    for (kind, host) in [
        (engine_memory::RunKind::Moved, "moved"),
        (engine_memory::RunKind::Continued, "continued"),
    ] {
        let limits = engine_memory::Limits {
            run_kind: kind,
            ..limits
        };
        for number in 0..left {
            let placement = place(&load, &engines[2..], limits, 0);
            let placement = placement.unwrap_or_else(|full| panic!("{kind:?} {number}: {full:?}"));
            let run = engine_load::Run {
                engine: placement.decode.id.clone(),
                prompt: SMALL.prompt,
                output: SMALL.output,
                generated: 0,
                as_of: NOW,
            };
            load.add_run((host.into(), number as u64), run);
        }
        load.forget_host(host);
    }
}

/// A release starts a decode engine before any prefill engine of the new version.
#[test]
fn new_runs_do_not_crowd_a_decode_engine_that_has_no_prefill_engine() {
    let mut engines = engines(&["v1-p1", "v1-d1", "v1-d2", "v2-d1"]);
    let running_out = ["v1".into()];
    let limits = engine_memory::Limits {
        versions_running_out: &running_out,
        ..LIMITS
    };
    for limits in [LIMITS, limits] {
        let mut load = engine_load::EngineLoad::default();
        let versions = fill_up(&mut load, &engines, limits);
        let of_v1 = versions.iter().take_while(|v| ***v == *"v1").count();
        assert!(of_v1 > 30, "{versions:?}");
        assert!(of_v1 < versions.len(), "{versions:?}");
    }
    // No version has prefill engines.
    engines.remove(0);
    let mut load = engine_load::EngineLoad::default();
    let versions = fill_up(&mut load, &engines, limits);
    assert!(versions[..20].iter().all(|v| **v == *"v2"), "{versions:?}");
}

/// A release starts the first engine of the new version, and all hosts place a run before they hear
/// of each other.
#[test]
fn many_hosts_do_not_overfill_the_first_engine_of_a_version() {
    let old: Vec<_> = (0..20).map(|i| format!("v1-d{i}")).collect();
    let mut ids = vec!["v1-p1", "v2-p1", "v2-d1"];
    ids.extend(old.iter().map(|id| &**id));
    let engines = engines(&ids);
    let running_out = ["v1".into()];
    let load = engine_load::EngineLoad::default();
    let chosen = |hosts: usize| {
        let limits = engine_memory::Limits {
            run_kind: engine_memory::RunKind::New { hosts },
            versions_running_out: &running_out,
            ..LIMITS
        };
        let placed = (0..hosts).map(|host| place(&load, &engines, limits, host as u32).unwrap());
        placed
            .filter(|placement| &*placement.decode.id == "v2-d1")
            .count()
    };
    assert_eq!(
        chosen(8),
        8,
        "a few hosts all prefer the version that stays"
    );
    let of_many = chosen(96);
    assert!((1..=20).contains(&of_many), "{of_many} of 96 hosts");
}
