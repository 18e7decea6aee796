//! The next step after a send, for all kinds of routes and all outcomes.

use std::sync;
use std::time;

use walnuthaven_lib::outcome;
use walnuthaven_lib::routing;

const STREAM: routing::Kind = stream(false);
const RESUMABLE: routing::Kind = stream(true);

const fn stream(resumable: bool) -> routing::Kind {
    routing::Kind::Stream {
        resumable,
        max_pause: time::Duration::from_millis(300),
    }
}

const AMPLE_ALLOWANCE: outcome::Allowance = outcome::Allowance {
    attempts: 2,
    time: time::Duration::from_secs(1),
    budget: true,
};

const OUTCOMES: [outcome::Outcome; 6] = [
    outcome::Outcome::NeverWritten,
    outcome::Outcome::RefusedUnrun,
    outcome::Outcome::ServerFailed,
    outcome::Outcome::BrokenBeforeAnswer,
    outcome::Outcome::BrokenMidway,
    outcome::Outcome::Silent,
];

#[test]
fn a_request_that_may_have_run_is_retried_only_if_repeatable() {
    for outcome in OUTCOMES {
        for kind in [routing::Kind::Once, STREAM] {
            let is_retried =
                outcome::next(kind, outcome, AMPLE_ALLOWANCE) == outcome::Next::SendAgain;
            assert_eq!(
                is_retried,
                outcome.is_not_run(),
                "{kind:?} after {outcome:?}"
            );
        }
        for kind in [routing::Kind::Repeatable, RESUMABLE] {
            let next = outcome::next(kind, outcome, AMPLE_ALLOWANCE);
            assert_eq!(next, outcome::Next::SendAgain, "{kind:?} after {outcome:?}");
        }
    }
}

#[test]
fn callers_are_told_not_run_only_if_certain() {
    let used_up = [
        outcome::Allowance {
            attempts: 0,
            ..AMPLE_ALLOWANCE
        },
        outcome::Allowance {
            budget: false,
            ..AMPLE_ALLOWANCE
        },
        outcome::Allowance {
            time: time::Duration::from_millis(5),
            ..AMPLE_ALLOWANCE
        },
    ];
    for allowance in used_up {
        for outcome in OUTCOMES {
            for kind in [
                routing::Kind::Repeatable,
                routing::Kind::Once,
                STREAM,
                RESUMABLE,
            ] {
                let next = outcome::next(kind, outcome, allowance);
                assert_ne!(next, outcome::Next::SendAgain);
                let is_refused = next == outcome::Next::RefuseUnrun;
                assert_eq!(
                    is_refused,
                    outcome.is_not_run(),
                    "{kind:?} after {outcome:?}"
                );
            }
        }
    }
}

// Content that crashes servers must not be sent to another one, whatever its route allows.
#[test]
fn quarantined_content_is_never_sent_again() {
    for kind in [
        routing::Kind::Once,
        routing::Kind::Repeatable,
        STREAM,
        RESUMABLE,
    ] {
        let next = outcome::next(kind, outcome::Outcome::Quarantined, AMPLE_ALLOWANCE);
        assert_eq!(next, outcome::Next::RefuseUnrun, "{kind:?}");
    }
}

const ENDS: [outcome::AttemptEnd; 4] = [
    outcome::AttemptEnd::Answered,
    outcome::AttemptEnd::MayHaveRun,
    outcome::AttemptEnd::NotSent,
    outcome::AttemptEnd::Refused,
];

/// Returns the attempts after those of another host.
fn attempts(may_have_run: bool) -> sync::Arc<outcome::Attempts> {
    sync::Arc::new(outcome::Attempts::of_other_host(may_have_run))
}

/// All pairs of ends, of attempts here and at other hosts, of all kinds of requests.
#[test]
fn attempts_decide_whether_a_request_may_be_sent_or_refused() {
    let ran = |end| {
        matches!(
            end,
            outcome::AttemptEnd::Answered | outcome::AttemptEnd::MayHaveRun
        )
    };
    let kinds = [
        routing::Kind::Once,
        routing::Kind::Repeatable,
        STREAM,
        RESUMABLE,
    ];
    for first in ENDS {
        for second in ENDS {
            for at_other_host in [false, true] {
                let here = attempts(false);
                here.start().end(first);
                let runs = if at_other_host {
                    let passed_on = here.start();
                    let other = attempts(ran(first));
                    other.start().end(second);
                    passed_on.end(match other.state().may_be_refused() {
                        true => outcome::AttemptEnd::Refused,
                        false => outcome::AttemptEnd::MayHaveRun,
                    });
                    here.state()
                } else {
                    here.start().end(second);
                    here.state()
                };
                let may_have_run = ran(first) || ran(second);
                let case = format!("{first:?}, {second:?}, {at_other_host}");
                assert_eq!(runs.may_have_run(), may_have_run, "{case}");
                assert_eq!(runs.may_be_refused(), !may_have_run, "{case}");
                for kind in kinds {
                    let expected = !may_have_run || kind.may_run_again();
                    assert_eq!(runs.may_be_sent(kind), expected, "{case}, {kind:?}");
                }
            }
        }
    }
}

#[test]
fn outcomes_and_ends_agree_on_what_may_have_run() {
    for outcome in OUTCOMES {
        let attempts = attempts(false);
        attempts.start().end(outcome.into());
        let is_not_run = attempts.state().may_be_refused();
        assert_eq!(is_not_run, outcome.is_not_run(), "{outcome:?}");
    }
}

/// Guards against a request that runs twice, or is refused although it ran, because a way out of an attempt doesn't
/// record its end.
#[test]
fn an_attempt_without_a_recorded_end_may_have_run() {
    let attempts = attempts(false);
    let under_way = attempts.start();
    assert!(!attempts.state().may_be_refused(), "it hasn't ended");
    let refused = attempts.start();
    refused.end(outcome::AttemptEnd::Refused);
    assert_eq!(attempts.count(), 1);
    drop(under_way);
    assert_eq!(attempts.count(), 1);
    assert!(!attempts.state().may_be_sent(STREAM));
    assert!(attempts.state().may_be_sent(RESUMABLE));
}
