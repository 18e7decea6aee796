//! Which runs are moved before an engine runs out of memory, on a simulated engine.

use std::sync;
use std::time;

use walnuthaven_lib::engine_load;
use walnuthaven_lib::run_moves;

const MEMORY: u32 = 62_304;
const STEP: time::Duration = time::Duration::from_micros(800);

fn key(number: u64) -> engine_load::Key {
    ("h1:1".into(), number)
}

/// Returns the load of an engine whose runs have the same prompt and predicted output, and have each
/// generated as many tokens as listed.
fn load_with(generated: &[u32], prompt: u32, output: u32) -> engine_load::EngineLoad {
    let mut load = engine_load::EngineLoad::default();
    for (number, generated) in (1..).zip(generated) {
        let run = engine_load::Run {
            engine: sync::Arc::from("d1"),
            prompt,
            output,
            generated: *generated,
            as_of: time::Duration::ZERO,
        };
        load.add_run(key(number), run);
    }
    load
}

fn runs_to_move(load: &engine_load::EngineLoad, runs: u64, now: time::Duration) -> Vec<u64> {
    (1..=runs)
        .filter(|number| run_moves::reason(load, &key(*number), MEMORY, false, now).is_some())
        .collect()
}

/// Seven runs with prompts of 5,200 tokens exceed their predicted output of 2,500 tokens. They fill the
/// engine at about 3,700 output tokens each. If a run is moved each time the policy asks for it, memory
/// must never run out.
#[test]
fn memory_lasts_when_runs_exceed_predictions() {
    let mut generated = vec![600, 500, 400, 300, 200, 100, 70];
    let mut load = load_with(&generated, 5_200, 2_500);
    let mut moved = Vec::new();
    for step in 1..=80_u32 {
        // Each run reports its progress every 70 tokens.
        let now = STEP * 70 * step;
        let mut held = 0;
        for (number, generated) in (1_u64..).zip(&mut generated) {
            if moved.contains(&number) {
                continue;
            }
            *generated += 70;
            load.record_progress(&key(number), *generated, now);
            held += 5_200 + *generated;
        }
        assert!(
            held <= MEMORY,
            "memory ran out: {held} tokens after {step} steps"
        );
        if let Some(number) = runs_to_move(&load, 7, now).first() {
            load.remove_run(&key(*number));
            moved.push(*number);
        }
    }
    // The memory is enough for the other five until they end.
    assert_eq!(moved, [7, 6], "the newest runs are moved first");
}

#[test]
fn no_run_is_moved_while_memory_suffices() {
    let load = load_with(&[3_000, 2_000, 1_000], 5_200, 4_900);
    assert!(runs_to_move(&load, 3, STEP * 100).is_empty());
}

#[test]
fn one_run_is_moved_at_a_time_and_only_after_its_first_event() {
    let load = load_with(&[4_200, 4_100, 4_000, 3_900, 3_800, 3_700, 0], 5_200, 4_900);
    assert_eq!(runs_to_move(&load, 7, STEP), [6]);
}

#[test]
fn runs_that_outlast_a_leaving_engine_are_moved() {
    let load = load_with(&[100, 4_500], 5_200, 4_900);
    let reason = |number| run_moves::reason(&load, &key(number), MEMORY, true, STEP);
    assert_eq!(reason(1), Some(run_moves::Reason::EngineLeaves));
    assert_eq!(reason(2), None, "it ends before the engine leaves");
}

#[test]
fn only_later_tokens_of_a_run_show_that_an_engine_goes_on() {
    let mut load = load_with(&[70, 0], 500, 700);
    assert!(!load.has_progress_since("d1", time::Duration::ZERO));
    load.record_progress(&key(1), 140, STEP * 70);
    assert!(load.has_progress_since("d1", STEP * 69));
    assert!(!load.has_progress_since("d1", STEP * 70));
    assert!(!load.has_progress_since("d2", time::Duration::ZERO));
    load.remove_run(&key(1));
    // A run that hasn't begun shows nothing, whenever it was placed.
    load.record_progress(&key(2), 0, STEP * 140);
    assert!(!load.has_progress_since("d1", time::Duration::ZERO));
}
