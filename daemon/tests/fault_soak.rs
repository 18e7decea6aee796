//! A short soak with fixed seeds, and the checker on planted breaks of each promise.

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::history;
use walnuthaven_platform_standin::soak;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const SECONDS: u64 = 6;
const HOSTS: usize = 3;
/// A fresh seed, and those that failed before: 5, a signal ended a process that had just started.
const SEEDS: [u64; 2] = [2, 5];

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    for seed in SEEDS {
        let options = soak::Options {
            seed,
            seconds: SECONDS,
            hosts: HOSTS,
        };
        let report = soak::run(BINARY, options).await;
        let broken = report["broken"].as_array().unwrap();
        assert!(
            broken.is_empty(),
            "seed {seed}: {broken:?}\nfaults: {}",
            report["faults"]
        );
        assert!(
            report["served"].as_u64() > Some(0),
            "seed {seed}: nothing was served"
        );
    }
}

fn asked(id: &str, repeatable: bool, status: u16, body: &str) -> history::SentRequest {
    history::SentRequest {
        id: id.to_owned(),
        repeatable,
        stream: body.starts_with("id:"),
        answer: caller::Answer {
            status,
            head: String::new(),
            body: body.to_owned(),
            complete: true,
        },
    }
}

fn kept() -> history::History {
    history::History {
        requests: vec![
            asked("a", false, 200, "body of a from s"),
            asked("b", true, 200, &history::full_stream(2)),
            asked("c", false, 503, ""),
        ],
        runs: vec!["a".into(), "b".into(), "b".into()],
        events_per_stream: 2,
        served_after_faults: (10, 10),
        ..history::History::default()
    }
}

/// Returns how many promises the checker finds broken after a change.
fn found(change: impl FnOnce(&mut history::History)) -> usize {
    let mut history = kept();
    change(&mut history);
    history::broken_guarantees(&history).len()
}

#[test]
fn the_checker_finds_each_planted_break() {
    assert_eq!(found(|_| {}), 0);
    assert_eq!(found(|h| h.runs.push("a".into())), 1, "ran twice");
    assert_eq!(
        found(|h| h.runs.push("c".into())),
        1,
        "said not to have run"
    );
    assert_eq!(found(|h| h.runs.push("x".into())), 1, "nobody asked");
    assert_eq!(
        found(|h| h.runs.retain(|id| id != "a")),
        1,
        "answered and never ran"
    );
    assert_eq!(
        found(|h| h.requests[0].answer.body = "body of b from s".into()),
        1,
        "crossed"
    );
    let half = history::full_stream(1);
    assert_eq!(
        found(|h| h.requests[1].answer.body = half),
        1,
        "half looks complete"
    );
    let gap = "id: 2\ndata: event 2\n\n".to_owned();
    let out_of_order = found(|h| {
        h.requests[1].answer.body = gap;
        h.requests[1].answer.complete = false;
    });
    assert_eq!(out_of_order, 1, "events out of order");
    assert_eq!(found(|h| h.runs_left_active = 1), 1, "works for nobody");
    assert_eq!(found(|h| h.outdated_hosts.push("h".into())), 1, "outdated");
    assert_eq!(
        found(|h| h.served_after_faults = (7, 10)),
        1,
        "not recovered"
    );
}
