//! Calls of plain services that may not be repeated run at most once, also if a reply is lost or a
//! server is unreachable or leaves.

use walnuthaven_lib::history;
use walnuthaven_standin::client;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::plain_server;
use walnuthaven_standin::world;

async fn setup() -> (world::World, local_fleet::Fleet, client::Client) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", known).unwrap();
    (world, fleet, client)
}

fn count_runs(world: &world::World, id: &str) -> usize {
    let records = world.recorder.records();
    let run_events = records.iter().filter(
        |record| matches!(&record.event, history::Event::Ran { request, .. } if request == id),
    );
    run_events.count()
}

fn set_faults(world: &world::World, faults: plain_server::Faults) {
    world
        .services
        .iter()
        .for_each(|server| server.set_faults(faults));
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_when_sent_to_all_hosts_at_once() {
    let (world, fleet, client) = setup().await;
    let (_, id) = client.host_and_id(None).await.unwrap();
    let hosts = fleet.api_addresses();
    let calls = hosts
        .iter()
        .map(|host| client.plain(host, &id, "turnstile"));
    for reply in futures_util::future::join_all(calls).await {
        match reply {
            Ok(body) => assert_eq!(body, format!("ok /check {id}")),
            Err(client::Failure::Refused(refused)) => {
                assert_eq!(refused.code, "already_answered");
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(count_runs(&world, &id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reply_is_unknown_outcome() {
    let (world, fleet, client) = setup().await;
    set_faults(
        &world,
        plain_server::Faults {
            lose_replies: 1.0,
            fail: 0.0,
        },
    );
    let (_, id) = client.host_and_id(None).await.unwrap();
    for host in fleet.api_addresses() {
        match client.plain(&host, &id, "turnstile").await {
            Err(client::Failure::Refused(refused)) => {
                assert_eq!(
                    (&*refused.code, &*refused.ran),
                    ("outcome_unknown", "unknown")
                );
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(count_runs(&world, &id), 1, "sent to three hosts, run once");
}

#[tokio::test(flavor = "multi_thread")]
async fn skips_unreachable_servers() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let mut stored = world.platform.value("config", "hammam").unwrap();
    for backend in stored["document"]["backends"].as_array_mut().unwrap() {
        let name = backend["name"].as_str().unwrap();
        if name.starts_with("hammam-turnstile") && name != "hammam-turnstile-3" {
            // Nothing listens on these low ports.
            let port = 2 + name.bytes().last().unwrap() as usize;
            backend["addr"] = serde_json::json!(format!("127.0.0.1:{port}"));
        }
    }
    world
        .platform
        .put_unconditionally("config", "hammam", stored);
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let client = client::Client::new(world::User::Coop, "jabal", fleet.api_addresses()).unwrap();
    for _ in 0..6 {
        let (host, id) = client.host_and_id(None).await.unwrap();
        let body = client.plain(&host, &id, "turnstile").await.unwrap();
        assert_eq!(body, format!("ok /check {id}"));
        assert_eq!(count_runs(&world, &id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_calls() {
    let (world, fleet, client) = setup().await;
    world.services[0].start_leaving();
    let leaving = world.services[0].name.clone();
    local_fleet::wait_until("the steward no longer lists the leaving server", || {
        let host = &fleet.hosts;
        let server_lists = host
            .iter()
            .map(|h| h.host.plain.stewarded("hammam/plain/turnstile"));
        let mut nonempty = server_lists.filter(|servers| !servers.is_empty());
        nonempty.any(|servers| servers.iter().all(|server| *server.name != *leaving))
    })
    .await
    .unwrap();
    // Other hosts cache the steward's answer for half a second.
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let before = world.recorder.records().len();
    for _ in 0..40 {
        let (host, id) = client.host_and_id(None).await.unwrap();
        client.plain(&host, &id, "turnstile").await.unwrap();
    }
    let records = world.recorder.records();
    let calls_after_leaving = records[before..]
        .iter()
        .filter(|record| matches!(&record.event, history::Event::WorkAfterLeave { .. }));
    assert_eq!(calls_after_leaving.count(), 0);
}

// The service's time limit holds whether or not the caller is connected to the call's home.
#[tokio::test(flavor = "multi_thread")]
async fn slow_call_is_answered_through_another_host_than_its_home() {
    const DURATION: std::time::Duration = std::time::Duration::from_secs(13);
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let mut stored = world.platform.value("config", "hammam").unwrap();
    for service in stored["document"]["services"].as_array_mut().unwrap() {
        if service["name"] == "turnstile" {
            service["timeout_ms"] = serde_json::json!(30_000);
        }
    }
    world
        .platform
        .put_unconditionally("config", "hammam", stored);
    let fleet = local_fleet::Fleet::start(&world, 2, "current")
        .await
        .unwrap();
    let hosts = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", hosts.clone()).unwrap();
    let (home, id) = client.host_and_id(None).await.unwrap();
    for server in &world.services {
        server.set_call_duration(DURATION);
    }
    let other = hosts.iter().find(|host| **host != home).unwrap();
    let body = client.plain(other, &id, "turnstile").await.unwrap();
    assert_eq!(body, format!("ok /check {id}"));
    assert_eq!(count_runs(&world, &id), 1);
}
