//! What may follow a send: the whole table of kinds and outcomes.

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

const PLENTY: outcome::Allowance = outcome::Allowance {
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
fn what_may_have_run_is_sent_again_only_if_it_may_be_repeated() {
    for outcome in OUTCOMES {
        for kind in [routing::Kind::Once, STREAM] {
            let again = outcome::next(kind, outcome, PLENTY) == outcome::Next::SendAgain;
            assert_eq!(again, outcome.is_not_run(), "{kind:?} after {outcome:?}");
        }
        for kind in [routing::Kind::Repeatable, RESUMABLE] {
            let next = outcome::next(kind, outcome, PLENTY);
            assert_eq!(next, outcome::Next::SendAgain, "{kind:?} after {outcome:?}");
        }
    }
}

#[test]
fn not_run_is_said_only_of_what_has_not_run() {
    let spent = [
        outcome::Allowance {
            attempts: 0,
            ..PLENTY
        },
        outcome::Allowance {
            budget: false,
            ..PLENTY
        },
        outcome::Allowance {
            time: time::Duration::from_millis(5),
            ..PLENTY
        },
    ];
    for left in spent {
        for outcome in OUTCOMES {
            for kind in [
                routing::Kind::Repeatable,
                routing::Kind::Once,
                STREAM,
                RESUMABLE,
            ] {
                let next = outcome::next(kind, outcome, left);
                assert_ne!(next, outcome::Next::SendAgain);
                let refused = next == outcome::Next::RefuseUnrun;
                assert_eq!(refused, outcome.is_not_run(), "{kind:?} after {outcome:?}");
            }
        }
    }
}
