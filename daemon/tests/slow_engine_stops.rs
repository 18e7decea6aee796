//! A short soak of planned stops beside slow and full engines with a fixed seed, and a test of what it counts beside lost
//! streams.

use std::collections;
use std::time;

use walnuthaven_platform_standin::server_stream;
use walnuthaven_platform_standin::slow_engines;
use walnuthaven_platform_standin::soak;
use walnuthaven_platform_standin::stop_outcome;
use walnuthaven_platform_standin::stream_stop_cuts;
use walnuthaven_platform_standin::stream_stop_outcome;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const SLOW_ENGINES_SOAK: soak::Options = soak::Options {
    seed: 6705,
    seconds: 20,
    hosts: 6,
};

/// Guards against streams that are cut around a stop though no server broke them off, and against hosts that outlast their
/// grace period, which are killed with their streams.
#[tokio::test(flavor = "multi_thread")]
async fn stops_beside_slow_engines_lose_no_stream() {
    let report = slow_engines::run(BINARY, SLOW_ENGINES_SOAK).await;
    let broken = report["broken"].as_array().unwrap();
    assert!(
        broken.is_empty(),
        "seed {}: {broken:?}\nstops: {}\n{}",
        SLOW_ENGINES_SOAK.seed,
        report["stopped"],
        report["logs"]
    );
    for count in ["served", "stops", "moves", "waited_for_room", "preempted"] {
        assert!(report[count].as_u64() > Some(0), "{count}: {report}");
    }
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// A stream that was begun, cut and at work at a server until these times after the soak's start.
#[derive(Clone, Copy)]
struct Case {
    began: u64,
    cut: u64,
    at_work_until: u64,
    kind: server_stream::StreamEndKind,
}

/// The time of SIGTERM in all cases.
const SIGNALLED: u64 = 20_000;

/// Returns the excused cuts before and after SIGTERM, those by servers, those at the time limit, and whether it is lost.
fn count(case: Case) -> ([usize; 4], bool) {
    let start = time::Instant::now();
    let sent = stream_stop_outcome::Sent {
        id: "a".to_owned(),
        host: 0,
        resumable: true,
        in_chunks: false,
        began: start + ms(case.began),
        ended: start + ms(case.cut),
        end: stream_stop_outcome::CallerEnd::Cut,
        status: 200,
        body: String::new(),
    };
    let end = server_stream::StreamEnd {
        id: "a".to_owned(),
        kind: case.kind,
        at: start + ms(case.at_work_until),
    };
    let runs = stream_stop_outcome::Runs {
        arrivals: 1,
        ends: vec![("i-1".to_owned(), end)],
    };
    let stops = [stop_at(start + ms(SIGNALLED))];
    let is_lost = sent.is_lost(&runs, &stops);
    let runs = collections::HashMap::from([("a".to_owned(), runs)]);
    let cuts = stream_stop_cuts::excused_cuts(&[sent], &runs, &stops);
    let counts = [
        cuts.accepted_before.len(),
        cuts.accepted_after.len(),
        cuts.broken_off,
        cuts.at_time_limit,
    ];
    (counts, is_lost)
}

fn stop_at(signalled: time::Instant) -> stop_outcome::Stop {
    stop_outcome::Stop {
        host: 0,
        signalled,
        took: ms(7_700),
        starved: time::Duration::ZERO,
        fault: None,
    }
}

#[test]
fn excused_cuts_are_counted() {
    let before = Case {
        began: SIGNALLED - 1_000,
        cut: SIGNALLED + 7_600,
        at_work_until: SIGNALLED + 7_600,
        kind: server_stream::StreamEndKind::Closed,
    };
    assert_eq!(count(before), ([1, 0, 0, 0], false));
    let after = Case {
        began: SIGNALLED + 2_500,
        ..before
    };
    assert_eq!(count(after), ([0, 1, 0, 0], false));
    let late = Case {
        began: SIGNALLED + 3_001,
        ..before
    };
    assert_eq!(count(late), ([0; 4], true), "sent too late to be excused");
    let idle = Case {
        at_work_until: SIGNALLED + 6_600,
        ..before
    };
    assert_eq!(count(idle), ([0; 4], true), "its server had ended");
    let broken_off = Case {
        kind: server_stream::StreamEndKind::BrokeOff,
        ..before
    };
    assert_eq!(count(broken_off), ([0, 0, 1, 0], false));
    let at_limit = Case {
        began: SIGNALLED - 6_400,
        at_work_until: SIGNALLED + 6_000,
        ..before
    };
    assert_eq!(count(at_limit), ([0, 0, 0, 1], false));
    let elsewhere = Case {
        began: SIGNALLED - 9_000,
        cut: SIGNALLED - 1,
        at_work_until: SIGNALLED - 1,
        ..before
    };
    assert_eq!(count(elsewhere), ([0; 4], true), "before the stop");
}

#[test]
fn refusals_are_counted_with_their_time() {
    let start = time::Instant::now();
    let stops = [stop_at(start + ms(SIGNALLED))];
    let refused = |began: u64, took: u64| stream_stop_outcome::Sent {
        id: "a".to_owned(),
        host: 0,
        resumable: true,
        in_chunks: false,
        began: start + ms(began),
        ended: start + ms(began + took),
        end: stream_stop_outcome::CallerEnd::Whole,
        status: 503,
        body: String::new(),
    };
    let sent = [
        refused(SIGNALLED + 10, 5),
        refused(SIGNALLED + 20, 1_500),
        refused(SIGNALLED - 900, 300),
        refused(SIGNALLED + 7_701, 40),
    ];
    let leaving = stream_stop_cuts::refusals(&sent, &stops, true);
    let expected =
        serde_json::json!({"count": 2, "median_ms": 1_500, "longest_ms": 1_500, "over_1_s": 1});
    assert_eq!(leaving, expected);
    let others = stream_stop_cuts::refusals(&sent, &stops, false);
    assert_eq!(others["count"], 2);
}
