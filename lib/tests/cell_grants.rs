//! The cell's grants: slots, turns, suspects, crashes and gone hosts.

use std::time;

use walnuthaven_lib::cell;
use walnuthaven_lib::engines;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;

const SLOTS: u32 = 3;

fn spec(name: &str, role: engines::Role) -> engines::Spec {
    engines::Spec {
        address: engines::Address {
            name: name.into(),
            addr: format!("127.0.0.1:{}", name.len()).into(),
        },
        role,
        slots: SLOTS,
        prefill_tokens_s: 10_000,
        link_mb_s: 4_000,
        draining: false,
    }
}

fn host(name: &str) -> ids::HostId {
    ids::HostId {
        name: name.into(),
        incarnation: 1,
    }
}

fn ask(request: &str, class: queue::Class) -> grant::EngineRequest {
    grant::EngineRequest {
        request_id: request.into(),
        attempt: 1,
        home: host("h"),
        workspace: "w".into(),
        class,
        share: 1,
        prompt_tokens: 100,
        digest: u64::from(request.as_bytes()[0]),
        prefix: Vec::new(),
        first_token_target: time::Duration::from_millis(1_300),
        waited: time::Duration::ZERO,
        prefilled_on: None,
        exclude: Vec::new(),
        suspect: false,
    }
}

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn report_load(cell: &mut cell::Cell, name: &str, incarnation: u64, now: time::Duration) {
    let load = engines::Load {
        incarnation,
        ..engines::Load::default()
    };
    cell.engines_mut().on_load(name, &load, now);
}

fn cell(prefill: usize, decode: usize) -> cell::Cell {
    let mut cell = cell::Cell::new(cell::Policy::Current, 0);
    let prefill = (0..prefill).map(|at| spec(&format!("p{at}"), engines::Role::Prefill));
    let decode = (0..decode).map(|at| spec(&format!("d{at}"), engines::Role::Decode));
    let all: Vec<engines::Spec> = prefill.chain(decode).collect();
    cell.configure(all.clone());
    for spec in &all {
        report_load(&mut cell, &spec.address.name, 1, ms(0));
    }
    cell
}

fn grants(decisions: Vec<(u64, grant::Decision)>) -> Vec<grant::Grant> {
    let granted = decisions
        .into_iter()
        .filter_map(|(_, decision)| match decision {
            grant::Decision::Grant(grant) => Some(grant),
            grant::Decision::Refuse(_) => None,
        });
    granted.collect()
}

#[test]
fn starts_no_prefill_without_a_slot() {
    let mut cell = cell(2, 1);
    let mut granted = Vec::new();
    for number in 0..8 {
        let urgent = ask(&format!("{number}"), queue::Class::Patient);
        cell.enqueue(urgent, ms(0)).unwrap();
    }
    for step in 0..50 {
        for grant in grants(cell.schedule(ms(step))) {
            cell.on_grant_event(grant.id, grant::Event::Prefilled, ms(step));
            granted.push(grant);
        }
    }
    assert_eq!(granted.len(), SLOTS as usize);
    cell.on_grant_event(granted[0].id, grant::Event::Completed, ms(60));
    assert_eq!(grants(cell.schedule(ms(60))).len(), 1);
}

#[test]
fn gives_an_engine_at_most_two_turns() {
    let mut cell = cell(1, 3);
    for number in 0..5 {
        cell.enqueue(ask(&format!("{number}"), queue::Class::Patient), ms(0))
            .unwrap();
    }
    let first = grants(cell.schedule(ms(0)));
    assert_eq!(first.len(), 2, "one runs and one follows");
    assert!(grants(cell.schedule(ms(9))).is_empty());
    cell.on_grant_event(first[0].id, grant::Event::Prefilled, ms(10));
    assert_eq!(grants(cell.schedule(ms(10))).len(), 1);
}

#[test]
fn refuses_what_cannot_come_in_time() {
    let mut cell = cell(1, 1);
    let mut refused = None;
    for number in 0..200 {
        let result = cell.enqueue(ask(&format!("{number}"), queue::Class::Urgent), ms(0));
        cell.schedule(ms(0));
        if let Err(refusal) = result {
            refused = Some((number, refusal));
            break;
        }
    }
    let (number, refusal) = refused.expect("an endless queue");
    assert_eq!(refusal.code, refusal::Code::Overloaded);
    assert_eq!(refusal.ran, refusal::Ran::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(number > SLOTS, "the free slots are given first");
    let patient = cell.enqueue(ask("p", queue::Class::Patient), ms(0));
    assert!(patient.is_ok(), "patient work waits");
}

#[test]
fn a_late_request_gets_its_answer_at_once() {
    let mut cell = cell(1, 1);
    for number in 0..SLOTS {
        cell.enqueue(ask(&format!("{number}"), queue::Class::Urgent), ms(0))
            .unwrap();
    }
    for step in 0..30 {
        for grant in grants(cell.schedule(ms(step))) {
            cell.on_grant_event(grant.id, grant::Event::Prefilled, ms(step));
        }
    }
    let ticket = cell
        .enqueue(ask("late", queue::Class::Urgent), ms(40))
        .unwrap();
    let at_deadline = cell.schedule(ms(1_340));
    let refused = at_deadline.into_iter().find(|(known, _)| *known == ticket);
    match refused {
        Some((_, grant::Decision::Refuse(refusal))) => {
            assert_eq!(refusal.ran, refusal::Ran::NotRun);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn leaving_and_silent_engines_get_nothing() {
    let mut cell = cell(1, 2);
    cell.engines_mut().set_leaving("d0");
    for number in 0..6 {
        cell.enqueue(ask(&format!("{number}"), queue::Class::Patient), ms(0))
            .unwrap();
    }
    for step in 0..50 {
        for grant in grants(cell.schedule(ms(step))) {
            assert_eq!(&*grant.decode.name, "d1");
            cell.on_grant_event(grant.id, grant::Event::Prefilled, ms(step));
        }
    }
    cell.engines_mut().advance(ms(10_000));
    assert_eq!(cell.engines().total_slots(), 0, "no report for ten seconds");
}

#[test]
fn a_crash_frees_its_grants_and_names_the_suspects() {
    let mut cell = cell(1, 1);
    for request in ["a", "b"] {
        cell.enqueue(ask(request, queue::Class::Patient), ms(0))
            .unwrap();
    }
    for grant in grants(cell.schedule(ms(0))) {
        cell.on_grant_event(grant.id, grant::Event::Prefilled, ms(5));
    }
    let suspects = cell.on_engine_crash("d0", ms(20));
    assert_eq!(suspects, [u64::from(b'a'), u64::from(b'b')]);
    assert_eq!(cell.counts().held, 0);
    assert!(
        cell.on_engine_crash("d0", ms(21)).is_empty(),
        "the same crash, reported again"
    );
}

#[test]
fn suspects_are_kept_apart() {
    let mut cell = cell(2, 2);
    for request in ["a", "b", "c"] {
        let suspect = grant::EngineRequest {
            suspect: true,
            ..ask(request, queue::Class::Patient)
        };
        cell.enqueue(suspect, ms(0)).unwrap();
    }
    let granted = grants(cell.schedule(ms(0)));
    assert_eq!(granted.len(), 2);
    assert_ne!(granted[0].decode.name, granted[1].decode.name);
}

#[test]
fn a_gone_host_holds_nothing() {
    let mut cell = cell(1, 1);
    for request in ["a", "b", "c", "d", "e"] {
        cell.enqueue(ask(request, queue::Class::Patient), ms(0))
            .unwrap();
    }
    let granted = grants(cell.schedule(ms(0))).len();
    let cancels = cell.on_host_gone(&host("h"), ms(1));
    assert_eq!(cancels.len(), granted * 2, "prefill and decode engine");
    assert_eq!(cell.counts(), cell::Counts::default());
    assert!(cell.schedule(ms(2)).is_empty());
}

#[test]
fn a_grant_that_no_engine_shows_is_released() {
    let mut cell = cell(1, 1);
    cell.enqueue(ask("a", queue::Class::Patient), ms(0))
        .unwrap();
    assert_eq!(grants(cell.schedule(ms(0))).len(), 1);
    cell.on_running_requests("d0", ["a"].into_iter(), ms(2_000));
    cell.on_running_requests("d0", [].into_iter(), ms(4_400));
    assert_eq!(cell.counts().held, 1);
    cell.on_running_requests("d0", [].into_iter(), ms(4_600));
    assert_eq!(cell.counts().held, 0);
}
