//! The order of the wait queue, and the limits on waiting.

use std::time;

use walnuthaven_lib::wait_queue;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn entry(number: u64, arrived: u64) -> wait_queue::Entry {
    wait_queue::Entry {
        number,
        continues: false,
        priority: 1,
        start_by: ms(arrived + 600),
        give_up_at: ms(arrived + 4_000),
    }
}

/// For five seconds, a request arrives every 40 ms and one is started every 60 ms. In order of arrival,
/// all but those of the first second would start late.
#[test]
fn most_requests_of_a_burst_start_on_time() {
    let mut queue = wait_queue::Queue::default();
    let mut started = 0;
    let mut on_time = 0;
    for tick in 0..250_u64 {
        let now = tick * 20;
        if tick % 2 == 0 {
            queue.push(entry(tick, now));
        }
        if tick % 3 == 0
            && let Some(number) = queue.next(ms(now))
        {
            queue.remove(number);
            started += 1;
            on_time += u32::from(now <= number * 20 + 600);
        }
    }
    assert!(
        on_time * 10 >= started * 9,
        "{on_time} of {started} on time"
    );
    assert!(!queue.is_empty());
}

#[test]
fn priority_outweighs_age_but_not_lateness() {
    let mut queue = wait_queue::Queue::default();
    queue.push(wait_queue::Entry {
        priority: 2,
        ..entry(1, 0)
    });
    queue.push(entry(2, 10));
    assert_eq!(queue.next(ms(20)), Some(2));
    queue.push(wait_queue::Entry {
        start_by: ms(5),
        ..entry(3, 0)
    });
    assert_eq!(queue.next(ms(20)), Some(2));
    assert_eq!(queue.count_on_time(ms(20)), 2);
    assert_eq!(queue.len(), 3);
}

#[test]
fn waiting_is_limited_to_a_share_of_the_remaining_time() {
    assert_eq!(wait_queue::max_wait(ms(1_000)), ms(300));
    assert_eq!(wait_queue::max_wait(ms(60_000)), ms(4_000));
}

#[test]
fn retry_times_are_spread_after_the_predicted_time() {
    let soonest = wait_queue::retry_after(ms(1_000), 0.0);
    let latest = wait_queue::retry_after(ms(1_000), 1.0);
    assert_eq!((soonest, latest), (ms(1_000), ms(1_500)));
    assert!(wait_queue::retry_after(ms(0), 0.0) > ms(0));
}

#[test]
fn a_request_that_goes_on_with_a_stream_goes_first() {
    let mut queue = wait_queue::Queue::default();
    queue.push(entry(1, 0));
    queue.push(wait_queue::Entry {
        continues: true,
        priority: 2,
        start_by: ms(5),
        ..entry(2, 10)
    });
    assert_eq!(queue.next(ms(20)), Some(2));
    let (before_new, before_continued) = (
        queue.count_ahead(false, ms(20)),
        queue.count_ahead(true, ms(20)),
    );
    assert_eq!((before_new, before_continued), (2, 1));
    assert_eq!(queue.count_ahead(false, ms(700)), 1);
    queue.remove(2);
    assert_eq!(queue.next(ms(20)), Some(1));
}
