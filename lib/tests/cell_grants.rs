//! Which requests a cell grants engines, and when it refuses requests and releases grants.

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

fn engine_request(id: &str, class: queue::Class) -> grant::EngineRequest {
    grant::EngineRequest {
        request_id: id.into(),
        attempt: 1,
        home: host("h"),
        workspace: "w".into(),
        class,
        share: 1,
        prompt_tokens: 100,
        digest: u64::from(id.as_bytes()[0]),
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

fn cell_with(prefill: usize, decode: usize) -> cell::Cell {
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
fn no_prefill_without_a_free_decode_slot() {
    let mut cell = cell_with(2, 1);
    let mut granted = Vec::new();
    for number in 0..8 {
        let patient = engine_request(&format!("{number}"), queue::Class::Patient);
        cell.enqueue(patient, ms(0)).unwrap();
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
fn an_engine_gets_at_most_two_prefills() {
    let mut cell = cell_with(1, 3);
    for number in 0..5 {
        cell.enqueue(
            engine_request(&format!("{number}"), queue::Class::Patient),
            ms(0),
        )
        .unwrap();
    }
    let first = grants(cell.schedule(ms(0)));
    assert_eq!(first.len(), 2, "one runs and one follows");
    assert!(grants(cell.schedule(ms(9))).is_empty());
    cell.on_grant_event(first[0].id, grant::Event::Prefilled, ms(10));
    assert_eq!(grants(cell.schedule(ms(10))).len(), 1);
}

#[test]
fn refuses_a_request_predicted_to_be_late() {
    let mut cell = cell_with(1, 1);
    let mut refused = None;
    for number in 0..200 {
        let result = cell.enqueue(
            engine_request(&format!("{number}"), queue::Class::Urgent),
            ms(0),
        );
        cell.schedule(ms(0));
        if let Err(refusal) = result {
            refused = Some((number, refusal));
            break;
        }
    }
    let (number, refusal) = refused.expect("no request was refused");
    assert_eq!(refusal.code, refusal::Code::Overloaded);
    assert_eq!(refusal.ran, refusal::Ran::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(number > SLOTS, "refused although slots were free");
    let patient = cell.enqueue(engine_request("p", queue::Class::Patient), ms(0));
    assert!(patient.is_ok(), "patient requests wait instead");
}

#[test]
fn refuses_a_waiting_request_once_it_is_late() {
    let mut cell = cell_with(1, 1);
    for number in 0..SLOTS {
        cell.enqueue(
            engine_request(&format!("{number}"), queue::Class::Urgent),
            ms(0),
        )
        .unwrap();
    }
    for step in 0..30 {
        for grant in grants(cell.schedule(ms(step))) {
            cell.on_grant_event(grant.id, grant::Event::Prefilled, ms(step));
        }
    }
    let ticket = cell
        .enqueue(engine_request("late", queue::Class::Urgent), ms(40))
        .unwrap();
    let decisions = cell.schedule(ms(1_340));
    let decision = decisions.into_iter().find(|(known, _)| *known == ticket);
    match decision {
        Some((_, grant::Decision::Refuse(refusal))) => {
            assert_eq!(refusal.ran, refusal::Ran::NotRun);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn leaving_and_silent_engines_get_no_work() {
    let mut cell = cell_with(1, 2);
    cell.engines_mut().set_leaving("d0");
    for number in 0..6 {
        cell.enqueue(
            engine_request(&format!("{number}"), queue::Class::Patient),
            ms(0),
        )
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
fn a_crash_releases_grants_and_returns_digests() {
    let mut cell = cell_with(1, 1);
    for id in ["a", "b"] {
        cell.enqueue(engine_request(id, queue::Class::Patient), ms(0))
            .unwrap();
    }
    for grant in grants(cell.schedule(ms(0))) {
        cell.on_grant_event(grant.id, grant::Event::Prefilled, ms(5));
    }
    let digests = cell.on_engine_crash("d0", ms(20));
    assert_eq!(digests, [u64::from(b'a'), u64::from(b'b')]);
    assert_eq!(cell.counts().held, 0);
    assert!(
        cell.on_engine_crash("d0", ms(21)).is_empty(),
        "the same crash was counted twice"
    );
}

#[test]
fn suspect_requests_share_no_decode_engine() {
    let mut cell = cell_with(2, 2);
    for id in ["a", "b", "c"] {
        let suspect = grant::EngineRequest {
            suspect: true,
            ..engine_request(id, queue::Class::Patient)
        };
        cell.enqueue(suspect, ms(0)).unwrap();
    }
    let granted = grants(cell.schedule(ms(0)));
    assert_eq!(granted.len(), 2);
    assert_ne!(granted[0].decode.name, granted[1].decode.name);
}

#[test]
fn a_gone_host_keeps_no_requests_or_grants() {
    let mut cell = cell_with(1, 1);
    for id in ["a", "b", "c", "d", "e"] {
        cell.enqueue(engine_request(id, queue::Class::Patient), ms(0))
            .unwrap();
    }
    let granted = grants(cell.schedule(ms(0))).len();
    let cancels = cell.on_host_gone(&host("h"), ms(1));
    assert_eq!(
        cancels.len(),
        granted * 2,
        "one cancel at each engine of a grant"
    );
    assert_eq!(cell.counts(), cell::Counts::default());
    assert!(cell.schedule(ms(2)).is_empty());
}

#[test]
fn releases_a_grant_that_no_engine_lists() {
    let mut cell = cell_with(1, 1);
    cell.enqueue(engine_request("a", queue::Class::Patient), ms(0))
        .unwrap();
    assert_eq!(grants(cell.schedule(ms(0))).len(), 1);
    cell.on_running_requests("d0", ["a"].into_iter(), ms(2_000));
    cell.on_running_requests("d0", [].into_iter(), ms(4_400));
    assert_eq!(cell.counts().held, 1);
    cell.on_running_requests("d0", [].into_iter(), ms(4_600));
    assert_eq!(cell.counts().held, 0);
}
