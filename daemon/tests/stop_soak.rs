//! A short soak of planned stops with a fixed seed, and a test of its checker: each guarantee to callers is broken on
//! purpose and the checker must notice.

use std::collections;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::history;
use walnuthaven_platform_standin::soak;
use walnuthaven_platform_standin::stop_outcome;
use walnuthaven_platform_standin::stop_soak;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const STOP_SOAK: soak::Options = soak::Options {
    seed: 1,
    seconds: 24,
    hosts: 4,
};

#[tokio::test(flavor = "multi_thread")]
async fn stops_beside_silent_servers_lose_no_request() {
    let report = stop_soak::run(BINARY, STOP_SOAK).await;
    let broken = report["broken"].as_array().unwrap();
    assert!(
        broken.is_empty(),
        "seed {}: {broken:?}\n{}",
        STOP_SOAK.seed,
        report["logs"]
    );
    for count in ["served", "served_streams", "in_last_second"] {
        assert!(report[count].as_u64() > Some(0), "{count}: {report}");
    }
}

/// What the checker is told.
struct Case {
    sent: stop_outcome::Sent,
    received: stop_outcome::Received,
    stops: Vec<stop_outcome::Stop>,
}

/// The size of what the server `s` appends to its answers.
const PADDING: usize = 3;

/// Returns a request that may run once, ran, and was answered with this status 50 ms after its last byte was written.
fn case(status: u16, body: &str) -> Case {
    let began = time::Instant::now();
    let written = began + ms(20);
    Case {
        sent: stop_outcome::Sent {
            id: "a".to_owned(),
            route: "once",
            host: 0,
            began,
            written: Some(written),
            ended: written + ms(50),
            in_chunks: false,
            answer: caller::Answer {
                status,
                head: String::new(),
                body: body.to_owned(),
                complete: true,
            },
        },
        received: stop_outcome::Received {
            arrivals: 1,
            runs: 1,
            servers: vec!["s".to_owned()],
        },
        stops: Vec::new(),
    }
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns what the checker finds after a change.
fn fault(mut case: Case, change: impl FnOnce(&mut Case)) -> Option<&'static str> {
    change(&mut case);
    let bodies = collections::HashMap::from([("s".to_owned(), PADDING)]);
    case.sent.fault(&case.received, &case.stops, &bodies)
}

/// Nothing of the request has arrived at a server.
fn unsent(case: &mut Case) {
    case.received = stop_outcome::Received::default();
}

fn cut(case: &mut Case) {
    case.sent.answer.complete = false;
}

/// A stop of host 0 that began this long before the request, and took 7.6 s.
fn stopped_before(case: &mut Case, before: time::Duration) {
    case.stops.push(stop_outcome::Stop {
        host: 0,
        signalled: case.sent.began - before,
        took: ms(7_600),
        starved: time::Duration::ZERO,
        fault: None,
    });
}

const WHOLE: &str = "body of a from s...";

#[test]
fn checker_finds_requests_lost_at_stops() {
    const LOST: Option<&str> = Some("was sent to a server and has no whole answer");
    const UNSENT: Option<&str> = Some("has no whole answer");
    assert_eq!(fault(case(200, WHOLE), |_| {}), None);
    assert_eq!(fault(case(200, WHOLE), cut), LOST, "cut off");
    assert_eq!(fault(case(0, ""), cut), LOST, "closed");
    let near_end = |case: &mut Case| {
        cut(case);
        stopped_before(case, ms(7_500));
    };
    assert_eq!(fault(case(0, ""), near_end), LOST, "a stop is no excuse");
    let unread = |took| {
        move |case: &mut Case| {
            unsent(case);
            cut(case);
            case.sent.ended = case.sent.written.unwrap() + took;
        }
    };
    assert_eq!(fault(case(0, ""), unread(ms(200))), None, "not read");
    assert_eq!(fault(case(0, ""), unread(ms(201))), UNSENT, "read whole");
    assert_eq!(fault(case(200, "bo"), unread(ms(1))), UNSENT, "half");
    let unwritten = |case: &mut Case| {
        unread(ms(900))(case);
        case.sent.written = None;
    };
    assert_eq!(fault(case(0, ""), unwritten), None, "never written whole");
}

#[test]
fn checker_finds_wrong_answers_at_stops() {
    let others = Some("got another answer");
    for body in [
        "body of b from s...",
        "body of a from t...",
        "body of a from s..",
        "body of a",
    ] {
        assert_eq!(fault(case(200, body), |_| {}), others, "{body}");
    }
    let not_run = |case: &mut Case| case.received.runs = 0;
    let found = fault(case(200, WHOLE), not_run);
    assert_eq!(found, Some("was answered by no server"));
    for status in [408, 421, 429, 503] {
        let found = fault(case(status, ""), |_| {});
        assert_eq!(found, Some("was refused as not run but ran"), "{status}");
    }
    assert_eq!(fault(case(503, ""), not_run), None);
    assert_eq!(fault(case(500, ""), |_| {}), None, "of its server");
    assert_eq!(fault(case(500, ""), not_run), Some("failed"));
    assert_eq!(fault(case(502, ""), |_| {}), Some("failed"));
    let early = Some("was given up before its time limit");
    let after = |took| move |case: &mut Case| case.sent.ended = case.sent.began + took;
    assert_eq!(fault(case(504, ""), after(ms(980))), None);
    assert_eq!(fault(case(504, ""), after(ms(979))), early);
    let body_late = |took| {
        move |case: &mut Case| {
            case.received.runs = 0;
            after(took)(case);
        }
    };
    assert_eq!(fault(case(408, ""), body_late(ms(980))), None);
    assert_eq!(fault(case(408, ""), body_late(ms(979))), Some("failed"));
}

#[test]
fn checker_finds_repeated_requests_at_stops() {
    let twice = |route| {
        move |case: &mut Case| {
            (case.sent.route, case.received.arrivals, case.received.runs) = (route, 2, 2);
        }
    };
    let found = fault(case(200, WHOLE), twice("once"));
    assert_eq!(found, Some("ran more than once"));
    assert_eq!(fault(case(200, WHOLE), twice("plain")), None);
    let too_many = Some("was sent to too many servers");
    assert_eq!(
        fault(case(200, WHOLE), |case| case.received.arrivals = 2),
        too_many
    );
    let three = |case: &mut Case| {
        twice("plain")(case);
        case.received.arrivals = 3;
    };
    assert_eq!(fault(case(200, WHOLE), three), too_many);
}

#[test]
fn checker_finds_streams_cut_before_the_end_of_the_grace_period() {
    let lost = Some("was sent to a server and has no whole answer");
    let stream = || {
        let mut case = case(200, &history::full_stream(stop_outcome::EVENTS));
        (case.sent.route, case.received.arrivals) = ("single", 2);
        case
    };
    assert_eq!(fault(stream(), |_| {}), None);
    assert_eq!(fault(stream(), cut), lost, "no stop");
    let cut_at = |sent, ended| {
        move |case: &mut Case| {
            cut(case);
            stopped_before(case, sent);
            case.sent.ended = case.stops[0].signalled + ended;
        }
    };
    assert_eq!(fault(stream(), cut_at(ms(0), ms(6_666))), None);
    assert_eq!(fault(stream(), cut_at(ms(0), ms(6_665))), lost, "early");
    assert_eq!(fault(stream(), cut_at(ms(3_000), ms(7_000))), None);
    assert_eq!(fault(stream(), cut_at(ms(3_001), ms(7_000))), lost, "late");
    let other_host = |case: &mut Case| {
        cut_at(ms(0), ms(7_000))(case);
        case.stops[0].host = 1;
    };
    assert_eq!(fault(stream(), other_host), lost, "another host");
    assert_eq!(fault(stream(), cut_at(ms(0), ms(9_000))), lost, "after it");
    let short = |case: &mut Case| case.sent.answer.body.truncate(20);
    assert_eq!(fault(stream(), short), Some("got another answer"));
    assert_eq!(fault(stream(), twice_run), Some("ran more than once"));
}

fn twice_run(case: &mut Case) {
    case.received.runs = 2;
}

#[test]
fn checker_finds_hosts_that_end_badly() {
    let mut case = case(200, WHOLE);
    stopped_before(&mut case, ms(0));
    let bodies = collections::HashMap::from([("s".to_owned(), PADDING)]);
    let received = collections::HashMap::from([("a".to_owned(), case.received)]);
    let sent = [case.sent];
    let broken = |stops: &[_]| stop_outcome::broken_guarantees(&sent, &received, stops, &bodies);
    assert!(broken(&case.stops).is_empty());
    case.stops[0].fault = Some("host 0 ended with signal 9".to_owned());
    assert_eq!(broken(&case.stops).len(), 1);
    let none = collections::HashMap::new();
    let found = stop_outcome::broken_guarantees(&sent, &none, &[], &bodies);
    assert_eq!(found.len(), 1, "no server made the answer: {found:?}");
}
