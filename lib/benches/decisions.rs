//! Benchmarks of single decisions, each at three table or input sizes that differ by factors of ten.

use std::time;

use walnuthaven_lib::cell;
use walnuthaven_lib::engines;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;
use walnuthaven_lib::permit;
use walnuthaven_lib::prefix;
use walnuthaven_lib::quarantine;
use walnuthaven_lib::queue;
use walnuthaven_lib::request_table;

fn main() {
    divan::main();
}

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn host(name: &str) -> ids::HostId {
    ids::HostId {
        name: name.into(),
        incarnation: 1,
    }
}

fn engine_request(number: usize) -> grant::EngineRequest {
    grant::EngineRequest {
        request_id: format!("request-{number}").into(),
        attempt: 1,
        home: host("h"),
        workspace: format!("w{}", number % 4).into(),
        class: queue::Class::Patient,
        share: 1,
        prompt_tokens: 500,
        digest: number as u64,
        prefix: Vec::new(),
        first_token_target: time::Duration::from_secs(60),
        waited: time::Duration::ZERO,
        prefilled_on: None,
        exclude: Vec::new(),
        suspect: false,
    }
}

fn cell_with_waiting(waiting: usize) -> cell::Cell {
    let mut cell = cell::Cell::new(cell::Policy::Current, 0);
    let specs: Vec<engines::Spec> = (0..32)
        .map(|at| engines::Spec {
            address: engines::Address {
                name: format!("e{at}").into(),
                addr: "127.0.0.1:1".into(),
            },
            role: match at < 12 {
                true => engines::Role::Prefill,
                false => engines::Role::Decode,
            },
            slots: 20,
            prefill_tokens_s: 20_000,
            link_mb_s: 4_000,
            draining: false,
        })
        .collect();
    cell.configure(specs.clone());
    for spec in &specs {
        cell.engines_mut()
            .on_load(&spec.address.name, &engines::Load::default(), ms(1));
    }
    for number in 0..waiting {
        let _ = cell.enqueue(engine_request(number), ms(1));
    }
    cell
}

#[divan::bench(args = [10, 100, 1_000])]
fn cell_enqueue_grant_release(bencher: divan::Bencher, waiting: usize) {
    let mut cell = cell_with_waiting(waiting);
    let mut number = waiting;
    bencher.bench_local(|| {
        number += 1;
        let _ = cell.enqueue(engine_request(number), ms(2));
        for (_, decision) in cell.schedule(ms(2)) {
            if let grant::Decision::Grant(grant) = decision {
                cell.on_grant_event(grant.id, grant::Event::Prefilled, ms(2));
                cell.on_grant_event(grant.id, grant::Event::Completed, ms(2));
            }
        }
    });
}

#[divan::bench(args = [100, 1_000, 10_000])]
fn queue_order(bencher: divan::Bencher, waiting: u64) {
    let mut queue = queue::Queue::default();
    for ticket in 0..waiting {
        queue.push(queue::Entry {
            ticket,
            class: queue::Class::Normal,
            workspace: format!("w{}", ticket % 230).into(),
            share: 1,
            since: time::Duration::ZERO,
            age_limit: time::Duration::from_secs(60),
        });
    }
    bencher.bench_local(|| queue.order(ms(1), 16));
}

#[divan::bench(args = [1_000, 10_000, 100_000])]
fn request_table_register(bencher: divan::Bencher, kept: u64) {
    let mut table = request_table::Table::new(host("h"));
    let workspace: ids::Name = "w".into();
    let mut now = 1;
    for id in table.mint(None, kept, ms(1)) {
        table.register(&id, &workspace, 1, false, ms(1));
        table.set_state(id.number, request_table::State::Delivered, ms(1));
    }
    bencher.bench_local(|| {
        now += 1;
        let id = table.mint(None, 1, ms(now)).swap_remove(0);
        table.register(&id, &workspace, 1, false, ms(now));
        table.set_state(id.number, request_table::State::Delivered, ms(now));
    });
}

#[divan::bench(args = [1_000, 10_000, 100_000])]
fn permit_hold(bencher: divan::Bencher, kept: u64) {
    let mut table = permit::Table::new(ms(0));
    let mut number = 0;
    while number < kept {
        number += 1;
        let _ = table.hold(&number.to_string(), ms(1));
    }
    bencher.bench_local(|| {
        number += 1;
        table.hold(&number.to_string(), ms(1))
    });
}

fn membership_of(hosts: u32) -> membership::Table {
    let member = |number: u32| membership::Member {
        id: host(&format!("host-{number}")),
        zone: format!("z{}", number % 23).into(),
        peer_addr: "127.0.0.1:1".into(),
        api_addr: "127.0.0.1:2".into(),
        admin_addr: "127.0.0.1:3".into(),
        state: membership::State::Alive,
        refutation: 0,
    };
    let mut table = membership::Table::new(member(0));
    for number in 1..hosts {
        table.merge(&member(number), ms(1));
    }
    while !table.next_updates().is_empty() {}
    table
}

#[divan::bench(args = [20, 200, 2_000])]
fn membership_tick_and_targets(bencher: divan::Bencher, hosts: u32) {
    let mut table = membership_of(hosts);
    let mut now = 1;
    bencher.bench_local(|| {
        now += 200;
        table.tick(ms(now));
        table.probe_targets()
    });
}

#[divan::bench(args = [20, 200, 2_000])]
fn membership_message(bencher: divan::Bencher, hosts: u32) {
    let mut table = membership_of(hosts);
    let known = table.get("host-7").cloned();
    bencher.bench_local(|| {
        if let Some(known) = &known {
            table.merge(known, ms(2));
        }
        table.next_updates()
    });
}

#[divan::bench(args = [20, 200, 2_000])]
fn steward_of_a_cell(bencher: divan::Bencher, hosts: u32) {
    let table = membership_of(hosts);
    bencher.bench_local(|| table.steward("workspace/pool/0").id.incarnation);
}

#[divan::bench(args = [100, 1_000, 10_000])]
fn quarantine_check(bencher: divan::Bencher, marks: u64) {
    let mut table = quarantine::Table::default();
    for digest in 0..marks - 1 {
        table.record_crash(digest, &"s1".into(), ms(1));
    }
    bencher.bench_local(|| table.check(divan::black_box(marks / 2), ms(2)).is_ok());
}

#[divan::bench(args = [1_000, 10_000, 100_000])]
fn prompt_digests(bencher: divan::Bencher, tokens: usize) {
    let prompt = "word".repeat(tokens);
    bencher.bench_local(|| {
        (
            prefix::digest(&prompt),
            prefix::block_digests(&prompt).len(),
        )
    });
}
