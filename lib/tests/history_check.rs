//! The history checker reports each kind of violation and accepts histories without one.

use walnuthaven_lib::history;

fn check(events: Vec<history::Event>) -> Vec<history::Promise> {
    let records: Vec<history::Record> = events
        .into_iter()
        .map(|event| history::Record { at_ms: 0, event })
        .collect();
    let violations = history::check(&records);
    violations
        .into_iter()
        .map(|violation| violation.promise)
        .collect()
}

fn answered(correct: bool) -> history::Event {
    history::Event::Answered {
        request: "r".into(),
        correct,
    }
}

fn ran(repeatable: bool) -> history::Event {
    history::Event::Ran {
        request: "r".into(),
        server: "s".into(),
        repeatable,
    }
}

fn in_force(incarnation: u64, generation: u64) -> history::Event {
    history::Event::InForce {
        host: "h".into(),
        workspace: "w".into(),
        incarnation,
        generation,
    }
}

fn ordered(fence: u64) -> history::Event {
    history::Event::Ordered {
        server: "s".into(),
        fence,
    }
}

fn request() -> String {
    "r".into()
}

#[test]
fn reports_each_kind_of_violation() {
    let held_for_gone = |after_ms| history::Event::HeldForGone {
        request: request(),
        after_ms,
    };
    let work_after_leave = |after_ms| history::Event::WorkAfterLeave {
        server: "s".into(),
        after_ms,
    };
    for (events, promise) in [
        (
            vec![answered(true), answered(true)],
            history::Promise::AnsweredTwice,
        ),
        (vec![answered(false)], history::Promise::WrongAnswer),
        (vec![ran(false), ran(false)], history::Promise::RanTwice),
        (
            vec![history::Event::NotRun { request: request() }, ran(true)],
            history::Promise::FalseNotRun,
        ),
        (
            vec![ran(true), history::Event::NotRun { request: request() }],
            history::Promise::FalseNotRun,
        ),
        (
            vec![history::Event::Accepted { request: request() }],
            history::Promise::Lost,
        ),
        (
            vec![history::Event::CutByShutdown { request: request() }],
            history::Promise::CutByShutdown,
        ),
        (
            vec![held_for_gone(2_001)],
            history::Promise::SlotsHeldForGone,
        ),
        (
            vec![work_after_leave(2_001)],
            history::Promise::WorkAfterLeave,
        ),
        (
            vec![in_force(1, 2), in_force(1, 1)],
            history::Promise::ConfigReverts,
        ),
        (vec![ordered(2), ordered(1)], history::Promise::StaleOrder),
    ] {
        assert_eq!(check(events), [promise]);
    }
}

#[test]
fn accepts_histories_without_violations() {
    let concluded = history::Event::Concluded { request: request() };
    let work_after_leave = history::Event::WorkAfterLeave {
        server: "s".into(),
        after_ms: 1_999,
    };
    for events in [
        vec![ran(true), ran(true), answered(true)],
        vec![history::Event::Accepted { request: request() }, concluded],
        vec![in_force(1, 2), in_force(2, 1), in_force(2, 2)],
        vec![ordered(1), ordered(1), ordered(2)],
        vec![work_after_leave],
    ] {
        assert_eq!(check(events), []);
    }
}
