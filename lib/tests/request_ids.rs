//! Request ids, their table at the home host, and the permits at the backup host.

use std::time;

use walnuthaven_lib::ids;
use walnuthaven_lib::permit;
use walnuthaven_lib::refusal;
use walnuthaven_lib::request_table;

fn home() -> ids::HostId {
    ids::HostId {
        name: "h1".into(),
        incarnation: 7,
    }
}

fn at(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

#[test]
fn ids_round_trip_through_text() {
    let backup = ids::HostId {
        name: "h2".into(),
        incarnation: 255,
    };
    let mut table = request_table::Table::new(home());
    for id in table.mint(Some(&backup), 3, at(1)) {
        assert_eq!(id.to_string().parse(), Ok(id));
    }
    for text in [
        "",
        "h1.7",
        "h1.7~~",
        "h1.7~~0x1",
        "h1.07~~1",
        "H1.7~~1",
        "h1.7~~1~2",
        "é.1~~1",
    ] {
        assert!(text.parse::<ids::RequestId>().is_err(), "{text:?}");
    }
}

#[test]
fn runs_each_id_once() {
    let mut table = request_table::Table::new(home());
    let workspace: ids::Name = "w".into();
    let id = table.mint(None, 1, at(1)).swap_remove(0);
    assert_eq!(
        table.register(&id, &workspace, 9, false, at(1)),
        request_table::Arrival::Run
    );
    assert_eq!(
        table.register(&id, &workspace, 9, false, at(2)),
        request_table::Arrival::Attach
    );
    table.set_state(id.number, request_table::State::Sent, at(3));
    let retry = table.register(&id, &workspace, 9, false, at(3));
    let answered = request_table::Arrival::Final(refusal::Refusal::already_answered());
    assert_eq!(retry, answered);
    let resumed = table.register(&id, &workspace, 9, true, at(3));
    assert_eq!(resumed, request_table::Arrival::Attach);
    table.set_state(id.number, request_table::State::Finished, at(4));
    let lost = table.register(&id, &workspace, 9, false, at(4));
    assert_eq!(lost, request_table::Arrival::Attach);
    table.set_state(id.number, request_table::State::Delivered, at(5));
    assert_eq!(table.register(&id, &workspace, 9, true, at(5)), answered);
}

#[test]
fn refuses_unminted_id_other_workspace_and_other_content() {
    let mut table = request_table::Table::new(home());
    let id = table.mint(None, 1, at(1)).swap_remove(0);
    let never_minted = ids::RequestId {
        number: 99,
        ..id.clone()
    };
    for (id, workspace, content) in [
        (&never_minted, "w", 9),
        (&id, "w", 9),
        (&id, "v", 9),
        (&id, "w", 8),
    ] {
        let arrival = table.register(id, &workspace.into(), content, false, at(1));
        let first = id.number == 1 && workspace == "w" && content == 9;
        assert_eq!(
            arrival == request_table::Arrival::Run,
            first,
            "{id} {workspace} {content}"
        );
    }
}

#[test]
fn expired_ids_have_unknown_outcome() {
    let mut table = request_table::Table::new(home());
    let workspace: ids::Name = "w".into();
    let ids = table.mint(None, 2, at(1));
    assert_eq!(
        table.register(&ids[0], &workspace, 9, false, at(1)),
        request_table::Arrival::Run
    );
    table.set_state(ids[0].number, request_table::State::Delivered, at(2));
    for id in &ids {
        match table.register(id, &workspace, 9, false, at(10_000)) {
            request_table::Arrival::Final(refusal) => {
                assert_eq!(refusal.code, refusal::Code::IdExpired);
                assert_eq!(refusal.ran, refusal::Ran::Unknown);
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(table.is_empty());
}

#[test]
fn fenced_id_gets_no_permit() {
    let mut permits = permit::Table::new(at(0));
    assert_eq!(permits.answer_for("r", at(1)).ran, refusal::Ran::NotRun);
    assert!(
        !permits.hold("r", at(2)),
        "a home that was paused asks after the id was fenced"
    );
    assert!(permits.hold("s", at(2)));
    assert!(permits.hold("s", at(3)), "a retry after a lost reply");
    assert_eq!(permits.answer_for("s", at(4)).ran, refusal::Ran::Unknown);
    permits.record_outcome("s", permit::State::Answered, at(5));
    assert_eq!(
        permits.answer_for("s", at(6)).code,
        refusal::Code::AlreadyAnswered
    );
}

#[test]
fn outcome_is_unknown_after_permits_were_dropped() {
    let mut permits = permit::Table::new(at(0));
    assert!(permits.hold("r", at(1)));
    assert_eq!(
        permits.answer_for("r", at(10_000)).ran,
        refusal::Ran::Unknown
    );
    assert_eq!(
        permits.answer_for("x", at(10_001)).ran,
        refusal::Ran::Unknown
    );
}
