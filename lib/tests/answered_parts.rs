//! What is remembered of the answers to prompts with a part.

use std::time;

use walnuthaven_lib::answered_parts;

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

#[test]
fn answers_are_counted_and_tell_when_the_newest_began() {
    let mut parts = answered_parts::AnsweredParts::default();
    assert_eq!(parts.count(1), 0);
    assert!(!parts.has_since(1, seconds(0)));
    parts.record(1, seconds(10), seconds(12));
    parts.record(1, seconds(8), seconds(13));
    assert_eq!(parts.count(1), 2);
    assert!(parts.has_since(1, seconds(9)));
    assert!(!parts.has_since(1, seconds(10)));
}

#[test]
fn parts_in_use_are_remembered_beside_any_number_of_others() {
    let mut parts = answered_parts::AnsweredParts::default();
    for number in 0..100_000 {
        let now = time::Duration::from_millis(number);
        parts.record(1, now, now);
        parts.record(1_000 + number, now, now);
    }
    assert_eq!(parts.count(1), 100_000);
    assert_eq!(parts.count(1_000), 0, "forgotten");
    assert_eq!(parts.count(1_000 + 99_999), 1);
}
