//! The order of the queue: classes, fair shares, and the minimum share and age limit of patient
//! entries.

use std::time;

use walnuthaven_lib::queue;

const SEED: u64 = 4_711;

fn entry(ticket: u64, class: queue::Class, workspace: &str, share: u32) -> queue::Entry {
    queue::Entry {
        ticket,
        class,
        workspace: workspace.into(),
        share,
        since: time::Duration::ZERO,
        age_limit: time::Duration::from_secs(60),
    }
}

/// Grants the first entry of the queue, of any of the classes, `count` times. Returns the tickets.
fn grant_in_order(queue: &mut queue::Queue, classes: &[queue::Class], count: usize) -> Vec<u64> {
    let mut order = Vec::new();
    for _ in 0..count {
        let next = queue.order(time::Duration::from_secs(1), 1)[0];
        for class in classes {
            let before = queue.len();
            queue.remove_granted(*class, next);
            if queue.len() < before {
                break;
            }
        }
        order.push(next);
    }
    order
}

#[test]
fn urgent_goes_first_but_patient_gets_a_tenth() {
    let mut queue = queue::Queue::default();
    for ticket in 0..40 {
        queue.push(entry(ticket, queue::Class::Urgent, "a", 1));
    }
    for ticket in 100..110 {
        queue.push(entry(ticket, queue::Class::Patient, "a", 1));
    }
    let classes = [queue::Class::Urgent, queue::Class::Patient];
    let order = grant_in_order(&mut queue, &classes, 30);
    let patient = order.iter().filter(|ticket| **ticket >= 100).count();
    assert_eq!(patient, 3, "not one in ten: {order:?}");
    assert!(order[..9].iter().all(|ticket| *ticket < 100));
}

#[test]
fn an_aged_patient_entry_goes_before_urgent() {
    let mut queue = queue::Queue::default();
    queue.push(entry(1, queue::Class::Patient, "a", 1));
    queue.push(entry(2, queue::Class::Urgent, "a", 1));
    assert_eq!(queue.order(time::Duration::from_secs(1), 1), [2]);
    assert_eq!(queue.order(time::Duration::from_secs(31), 1), [1]);
}

#[test]
fn grants_follow_the_shares() {
    let mut queue = queue::Queue::default();
    for ticket in 0..100 {
        queue.push(entry(ticket, queue::Class::Normal, "small", 1));
        queue.push(entry(1_000 + ticket, queue::Class::Normal, "large", 3));
    }
    let order = grant_in_order(&mut queue, &[queue::Class::Normal], 80);
    let large = order.iter().filter(|ticket| **ticket >= 1_000).count();
    assert_eq!(large, 60, "not three in four: {order:?}");
}

#[test]
fn a_workspace_that_joins_later_shares_equally() {
    let mut queue = queue::Queue::default();
    for ticket in 0..50 {
        queue.push(entry(ticket, queue::Class::Normal, "early", 1));
    }
    grant_in_order(&mut queue, &[queue::Class::Normal], 20);
    for ticket in 100..150 {
        queue.push(entry(ticket, queue::Class::Normal, "late", 1));
    }
    let order = grant_in_order(&mut queue, &[queue::Class::Normal], 20);
    let late = order.iter().filter(|ticket| **ticket >= 100).count();
    assert!((9..=11).contains(&late), "{order:?}");
}

#[test]
fn order_returns_each_waiting_ticket_once() {
    fn matches_model(steps: Vec<(u8, u8, bool)>) -> bool {
        let classes = [
            queue::Class::Urgent,
            queue::Class::Normal,
            queue::Class::Patient,
        ];
        let mut queue = queue::Queue::default();
        let mut model: Vec<(u64, queue::Class)> = Vec::new();
        for (number, (class, workspace, remove)) in (0..).zip(steps) {
            if remove && !model.is_empty() {
                let (ticket, class) = model.remove(usize::from(workspace) % model.len());
                if !queue.remove(class, ticket) {
                    return false;
                }
                continue;
            }
            let class = classes[usize::from(class) % 3];
            let workspace = format!("w{}", workspace % 4);
            queue.push(entry(number, class, &workspace, 1));
            model.push((number, class));
        }
        let mut order = queue.order(time::Duration::from_secs(1), usize::MAX);
        order.sort_unstable();
        let mut expected: Vec<u64> = model.iter().map(|(ticket, _)| *ticket).collect();
        expected.sort_unstable();
        order == expected && queue.len() == expected.len()
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, SEED))
        .quickcheck(matches_model as fn(Vec<(u8, u8, bool)>) -> bool);
}
