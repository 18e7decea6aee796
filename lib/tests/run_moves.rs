//! Runs that leave an engine before its memory runs out, replayed on a model of one engine.

use std::sync;
use std::time;

use walnuthaven_lib::engine_load;
use walnuthaven_lib::run_moves;

const MEMORY: u32 = 62_304;
const STEP: time::Duration = time::Duration::from_micros(800);

fn key(number: u64) -> engine_load::Key {
    ("h1:1".into(), number)
}

/// Adds runs that all have the same prompt and predicted output and have made `made` tokens each.
fn engine_with(made: &[u32], prompt: u32, output: u32) -> engine_load::EngineLoad {
    let mut room = engine_load::EngineLoad::default();
    for (number, made) in (1..).zip(made) {
        let run = engine_load::Run {
            engine: sync::Arc::from("d1"),
            prompt,
            output,
            generated: *made,
            as_of: time::Duration::ZERO,
        };
        room.add_run(key(number), run);
    }
    room
}

fn leavers(room: &engine_load::EngineLoad, runs: u64, now: time::Duration) -> Vec<u64> {
    (1..=runs)
        .filter(|number| run_moves::reason(room, &key(*number), MEMORY, false, now).is_some())
        .collect()
}

/// Seven runs of 5,200 tokens that turn out longer than the 2,500 tokens predicted. They fill the
/// engine after some 3,700 tokens each. If the newest one leaves each time that one should, memory
/// never runs out.
#[test]
fn memory_never_runs_out_though_runs_are_longer_than_predicted() {
    let mut made = vec![600, 500, 400, 300, 200, 100, 70];
    let mut room = engine_with(&made, 5_200, 2_500);
    let mut left = Vec::new();
    for step in 1..=80_u32 {
        // Each run tells its progress every 70 tokens.
        let now = STEP * 70 * step;
        let mut held = 0;
        for (number, made) in (1_u64..).zip(&mut made) {
            if left.contains(&number) {
                continue;
            }
            *made += 70;
            room.record_progress(&key(number), *made, now);
            held += 5_200 + *made;
        }
        assert!(
            held <= MEMORY,
            "memory ran out: {held} tokens after {step} events"
        );
        if let Some(number) = leavers(&room, 7, now).first() {
            room.remove_run(&key(*number));
            left.push(*number);
        }
    }
    // Five of these runs fit to their ends.
    assert_eq!(left, [7, 6], "the newest leave first");
}

#[test]
fn nothing_leaves_while_memory_lasts() {
    let room = engine_with(&[3_000, 2_000, 1_000], 5_200, 4_900);
    assert!(leavers(&room, 3, STEP * 100).is_empty());
}

#[test]
fn one_run_leaves_at_a_time_and_none_before_its_first_event() {
    let room = engine_with(&[4_200, 4_100, 4_000, 3_900, 3_800, 3_700, 0], 5_200, 4_900);
    assert_eq!(leavers(&room, 7, STEP), [6]);
}

#[test]
fn runs_that_outlast_a_leaving_engine_go() {
    let room = engine_with(&[100, 4_500], 5_200, 4_900);
    let reason = |number| run_moves::reason(&room, &key(number), MEMORY, true, STEP);
    assert_eq!(reason(1), Some(run_moves::Reason::EngineLeaves));
    assert_eq!(reason(2), None, "it ends before the engine does");
}
