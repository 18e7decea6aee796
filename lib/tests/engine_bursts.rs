//! Replays of bursts on engines, with the real modules and a clock.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::wait_queue;

/// Tokens that an engine reads in a millisecond, and those of an event.
const READ_PER_MS: u32 = 33;
const TOKENS_PER_EVENT: u32 = 72;
const MEMORY: u32 = 49_736;

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

/// Engines that read prompts one after the other.
struct Readers {
    load: engine_load::EngineLoad,
    /// When each engine has read its prompts, by its number in the pool.
    free_at: Vec<time::Duration>,
    /// Prompts in progress, with their ends.
    reading: Vec<(u64, time::Duration)>,
}

impl Readers {
    fn end_until(&mut self, now: time::Duration) {
        self.reading.retain(|(number, end)| {
            let reads = now < *end;
            if !reads {
                self.load.remove_prefill(&("h".into(), *number), true, *end);
            }
            reads
        });
    }

    /// Sends a prompt of `real` tokens, whose need is stated as `need`. Returns how long it takes, or `None` if there
    /// is no room.
    fn send(
        &mut self,
        engines: &[sync::Arc<backends::Backend>],
        number: u64,
        need: engine_memory::Need,
        real: u32,
        now: time::Duration,
    ) -> Option<time::Duration> {
        self.end_until(now);
        let limits = engine_memory::Limits {
            memory_tokens: MEMORY,
            run_kind: engine_memory::RunKind::New { hosts: 78 },
            slots: 24,
            prefill_within: Some(ms(700)),
            versions_running_out: &[],
        };
        let salt = number.to_string();
        let placement = self
            .load
            .place(engines, need, limits, "z", &salt, now)
            .ok()?;
        let run = engine_load::Run {
            engine: placement.decode.id.clone(),
            prompt: need.prompt,
            output: need.output,
            generated: 0,
            as_of: now,
        };
        self.load.add_run(("h".into(), number), run);
        let reader = placement.prefill.unwrap();
        let prefill = engine_load::Prefill {
            engine: reader.id.clone(),
            tokens: need.prompt,
            sent_at: now,
        };
        self.load.add_prefill(("h".into(), number), prefill, now);
        let at = engines.iter().position(|e| e.id == reader.id).unwrap();
        let end = self.free_at[at].max(now) + ms(u64::from(real / READ_PER_MS));
        self.free_at[at] = end;
        self.reading.push((number, end));
        Some(end.saturating_sub(now))
    }
}

/// All hosts were lost, and 174 callers take their streams up again within half a second, each after 35 events. A prompt
/// that is placed can be read within 700 ms; at most 2% may take longer than the target of 900 ms.
#[test]
fn prompts_are_read_as_predicted() {
    let engines = pool();
    let mut readers = Readers {
        load: engine_load::EngineLoad::default(),
        free_at: vec![time::Duration::ZERO; engines.len()],
        reading: Vec::new(),
    };
    // Usual traffic before, from which the speed of the engines is learned.
    for i in 0..600_u64 {
        let need = engine_memory::Need::with_generated(3_200, 1, 0);
        readers.send(&engines, i, need, 3_200, ms(i * 40));
        readers.load.remove_run(&("h".into(), i));
    }
    let (mut sent, mut late) = (0, 0);
    for tick in 0..1_000_u64 {
        let now = ms(30_000 + tick * 3);
        let next = sent;
        if next == 174 || next > tick {
            continue;
        }
        let prompt = 1_600 + (next as u32 * 977) % 3_200;
        let delivered = engine_memory::delivered_tokens(Some(35), TOKENS_PER_EVENT, 9_360);
        let need = engine_memory::Need::with_generated(prompt, 4_900, delivered);
        let real = prompt + 35 * TOKENS_PER_EVENT;
        if let Some(took) = readers.send(&engines, 1_000 + next, need, real, now) {
            sent += 1;
            late += u64::from(took > ms(900));
        }
    }
    assert!(sent >= 150, "only {sent} of 174 were sent");
    assert!(late * 50 <= sent, "{late} of {sent} were read too late");
}

#[test]
fn delivered_events_are_part_of_the_prompt() {
    assert_eq!(engine_memory::delivered_tokens(None, 72, 9_360), 0);
    assert_eq!(engine_memory::delivered_tokens(Some(35), 72, 9_360), 2_520);
    assert_eq!(
        engine_memory::delivered_tokens(Some(u64::MAX), 72, 9_360),
        9_360
    );
    let need = engine_memory::Need::with_generated(3_000, 5_000, 2_520);
    assert_eq!((need.prompt, need.output), (5_520, 2_480));
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
