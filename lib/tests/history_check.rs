//! The checker finds a planted violation of each promise.

use walnuthaven_lib::history;
use walnuthaven_lib::history::Event;
use walnuthaven_lib::history::Promise;

fn check(events: Vec<Event>) -> Vec<Promise> {
    let records: Vec<history::Record> = events
        .into_iter()
        .map(|event| history::Record { at_ms: 0, event })
        .collect();
    let found = history::check(&records);
    found
        .into_iter()
        .map(|violation| violation.promise)
        .collect()
}

fn answered(correct: bool) -> Event {
    Event::Answered {
        request: "r".into(),
        correct,
    }
}

fn ran(repeatable: bool) -> Event {
    Event::Ran {
        request: "r".into(),
        server: "s".into(),
        repeatable,
    }
}

fn in_force(incarnation: u64, generation: u64) -> Event {
    Event::InForce {
        host: "h".into(),
        workspace: "w".into(),
        incarnation,
        generation,
    }
}

fn ordered(fence: u64) -> Event {
    Event::Ordered {
        server: "s".into(),
        fence,
    }
}

fn request() -> String {
    "r".into()
}

#[test]
fn finds_each_planted_violation() {
    let held = |after_ms| Event::HeldForGone {
        request: request(),
        after_ms,
    };
    let late = |after_ms| Event::WorkAfterLeave {
        server: "s".into(),
        after_ms,
    };
    for (events, promise) in [
        (vec![answered(true), answered(true)], Promise::AnsweredTwice),
        (vec![answered(false)], Promise::WrongAnswer),
        (vec![ran(false), ran(false)], Promise::RanTwice),
        (
            vec![Event::NotRun { request: request() }, ran(true)],
            Promise::FalseNotRun,
        ),
        (
            vec![ran(true), Event::NotRun { request: request() }],
            Promise::FalseNotRun,
        ),
        (vec![Event::Accepted { request: request() }], Promise::Lost),
        (
            vec![Event::CutByShutdown { request: request() }],
            Promise::CutByShutdown,
        ),
        (vec![held(2_001)], Promise::SlotsHeldForGone),
        (vec![late(2_001)], Promise::WorkAfterLeave),
        (vec![in_force(1, 2), in_force(1, 1)], Promise::ConfigReverts),
        (vec![ordered(2), ordered(1)], Promise::StaleOrder),
    ] {
        assert_eq!(check(events), [promise]);
    }
}

#[test]
fn accepts_what_is_allowed() {
    let concluded = Event::Concluded { request: request() };
    let late = Event::WorkAfterLeave {
        server: "s".into(),
        after_ms: 1_999,
    };
    for events in [
        vec![ran(true), ran(true), answered(true)],
        vec![Event::Accepted { request: request() }, concluded],
        vec![in_force(1, 2), in_force(2, 1), in_force(2, 2)],
        vec![ordered(1), ordered(1), ordered(2)],
        vec![late],
    ] {
        assert_eq!(check(events), []);
    }
}
