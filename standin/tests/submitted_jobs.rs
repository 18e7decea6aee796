//! Work accepted for later: kept before it is accepted, answered once, handed on.

use std::time;

use walnuthaven_lib::history;
use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::platform;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

const PAUSE: time::Duration = time::Duration::from_millis(100);

async fn setup() -> (world::World, local_fleet::Fleet, client::Client) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", known).unwrap();
    client.host_and_id(None).await.unwrap();
    (world, fleet, client)
}

fn job(prompt: &str, max_tokens: u32) -> load::ModelRequest {
    load::ModelRequest {
        service: "summary",
        priority: "patient",
        repeatable: true,
        prompt: prompt.into(),
        max_tokens,
        disconnects_after: None,
    }
}

/// Polls at any of the hosts until the job has the wanted state.
async fn await_state(client: &client::Client, hosts: &[String], id: &str, wanted: &str) {
    for _ in 0..600 {
        for host in hosts {
            if client
                .job_state(host, id)
                .await
                .is_ok_and(|state| state == wanted)
            {
                return;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("job {id} is not {wanted}");
}

fn refused<T: std::fmt::Debug>(result: Result<T, client::Failure>) -> client::Refusal {
    match result {
        Err(client::Failure::Refused(refused)) => refused,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_fetched_once() {
    let (_world, fleet, client) = setup().await;
    let host = fleet.api_addresses()[0].clone();
    let id = client.submit(&host, &job("a refund", 8)).await.unwrap();
    await_state(&client, &fleet.api_addresses(), &id, "done").await;
    for host in fleet.api_addresses() {
        let text = client.job_answer(&host, &id).await.unwrap();
        assert_eq!(text, tokens::answer("a refund", 8), "until it is confirmed");
    }
    assert!(client.confirm_job(&id).await);
    for host in fleet.api_addresses() {
        let again = refused(client.job_answer(&host, &id).await);
        assert_eq!(again.code, "already_answered", "{host}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_accepted_that_is_not_kept() {
    let (world, fleet, client) = setup().await;
    world.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    let host = fleet.api_addresses()[0].clone();
    for _ in 0..5 {
        let refusal = refused(client.submit(&host, &job("a refund", 8)).await);
        assert_eq!(
            (&*refusal.code, &*refusal.ran),
            ("platform_unavailable", "not_run")
        );
    }
    world.platform.set_faults(platform::Faults::default());
    // Hosts leave a failing platform alone for a while; the refusals say when to come back.
    let mut accepted = None;
    while accepted.is_none() {
        accepted = match client.submit(&host, &job("a refund", 8)).await {
            Ok(id) => Some(id),
            refusal => {
                assert_eq!(refused(refusal).ran, "not_run");
                tokio::time::sleep(PAUSE).await;
                None
            }
        };
    }
    await_state(&client, &[host], &accepted.unwrap(), "done").await;
    let ran = world.recorder.records();
    let ran = ran
        .iter()
        .filter(|r| matches!(r.event, history::Event::Ran { .. }));
    assert_eq!(ran.count(), 1, "nothing that was refused has run");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_replies_lose_no_job() {
    let (world, fleet, client) = setup().await;
    world.platform.set_faults(platform::Faults {
        lose_replies: 1.0,
        ..platform::Faults::default()
    });
    let host = fleet.api_addresses()[0].clone();
    let id = client.submit(&host, &job("a dispute", 8)).await.unwrap();
    world.platform.set_faults(platform::Faults::default());
    await_state(&client, &[host], &id, "done").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_host_takes_over_after_a_crash() {
    let (world, mut fleet, client) = setup().await;
    let hosts = fleet.api_addresses();
    let mut jobs = Vec::new();
    for number in 0..5 {
        let prompt = format!("summary {number}");
        let id = client.submit(&hosts[0], &job(&prompt, 200)).await.unwrap();
        jobs.push((id, prompt));
    }
    fleet.crash(0);
    // The platform is away while the crash is noticed.
    world.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    world.platform.set_faults(platform::Faults::default());
    for (id, prompt) in &jobs {
        await_state(&client, &hosts[1..], id, "done").await;
        let text = client.job_answer(&hosts[1], id).await.unwrap();
        assert_eq!(text, tokens::answer(prompt, 200));
    }
}
