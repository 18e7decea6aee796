//! Submitted jobs: a job is stored before it is accepted, its answer is available until the caller
//! confirms it, and other hosts take over the jobs of a crashed host.

use std::time;

use walnuthaven_lib::history;
use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::platform;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

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

/// Polls the hosts in turn until one reports the wanted state of the job. Panics after 600 rounds.
async fn wait_for_state(client: &client::Client, hosts: &[String], id: &str, wanted: &str) {
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("job {id} is not {wanted}");
}

/// Returns the refusal in `result`. Panics if it is anything else.
fn expect_refusal<T: std::fmt::Debug>(result: Result<T, client::Failure>) -> client::Refusal {
    match result {
        Err(client::Failure::Refused(refusal)) => refusal,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_is_available_until_confirmed() {
    let (_world, fleet, client) = setup().await;
    let host = fleet.api_addresses()[0].clone();
    let id = client.submit(&host, &job("a refund", 8)).await.unwrap();
    wait_for_state(&client, &fleet.api_addresses(), &id, "done").await;
    for host in fleet.api_addresses() {
        let text = client.job_answer(&host, &id).await.unwrap();
        assert_eq!(
            text,
            tokens::answer("a refund", 8),
            "the answer is available until it is confirmed"
        );
    }
    assert!(client.confirm_job(&id).await);
    for host in fleet.api_addresses() {
        let again = expect_refusal(client.job_answer(&host, &id).await);
        assert_eq!(again.code, "already_answered", "{host}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_refused_during_a_platform_outage() {
    let (world, fleet, client) = setup().await;
    world.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    let host = fleet.api_addresses()[0].clone();
    for _ in 0..5 {
        let refusal = expect_refusal(client.submit(&host, &job("a refund", 8)).await);
        assert_eq!(
            (&*refusal.code, &*refusal.ran),
            ("platform_unavailable", "not_run")
        );
    }
    world.platform.set_faults(platform::Faults::default());
    // After failures a host sends no calls to the platform for a while. Until then it refuses jobs and
    // says when to retry.
    let mut accepted = None;
    while accepted.is_none() {
        accepted = match client.submit(&host, &job("a refund", 8)).await {
            Ok(id) => Some(id),
            refusal => {
                assert_eq!(expect_refusal(refusal).ran, "not_run");
                tokio::time::sleep(POLL_INTERVAL).await;
                None
            }
        };
    }
    wait_for_state(&client, &[host], &accepted.unwrap(), "done").await;
    let ran = world.recorder.records();
    let ran = ran
        .iter()
        .filter(|r| matches!(r.event, history::Event::Ran { .. }));
    assert_eq!(ran.count(), 1, "no refused job has run");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_replies_lose_no_job() {
    let (world, fleet, client) = setup().await;
    world.platform.set_faults(platform::Faults {
        lose_replies: 1.0,
        ..platform::Faults::default()
    });
    let host = fleet.api_addresses()[0].clone();
    let id = client.submit(&host, &job("a dispute", 8)).await.unwrap();
    world.platform.set_faults(platform::Faults::default());
    wait_for_state(&client, &[host], &id, "done").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn other_hosts_run_the_jobs_of_a_crashed_host() {
    let (world, mut fleet, client) = setup().await;
    let hosts = fleet.api_addresses();
    let mut jobs = Vec::new();
    for number in 0..5 {
        let prompt = format!("summary {number}");
        let id = client.submit(&hosts[0], &job(&prompt, 200)).await.unwrap();
        jobs.push((id, prompt));
    }
    fleet.crash(0);
    // The platform is down while the other hosts detect the crash.
    world.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    world.platform.set_faults(platform::Faults::default());
    for (id, prompt) in &jobs {
        wait_for_state(&client, &hosts[1..], id, "done").await;
        let text = client.job_answer(&hosts[1], id).await.unwrap();
        assert_eq!(text, tokens::answer(prompt, 200));
    }
}

// A host that takes over a journal must not give its ids to other jobs.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_submitted_after_a_takeover_have_ids_of_their_own() {
    let (_world, mut fleet, client) = setup().await;
    let hosts = fleet.api_addresses();
    let mut jobs = Vec::new();
    for number in 0..3 {
        let prompt = format!("early {number}");
        let id = client.submit(&hosts[0], &job(&prompt, 8)).await.unwrap();
        jobs.push((id, prompt));
    }
    fleet.crash(0);
    for (id, _) in &jobs {
        wait_for_state(&client, &hosts[1..], id, "done").await;
    }
    let adopted = |index: usize| {
        let store = fleet.host(index).jobs.store();
        jobs.iter().all(|(id, _)| store.get(id).is_some())
    };
    local_fleet::wait_until("a host owns the journal", || adopted(1) || adopted(2))
        .await
        .unwrap();
    for host in &hosts[1..] {
        for number in 0..3 {
            let prompt = format!("late {number} at {host}");
            let id = client.submit(host, &job(&prompt, 8)).await.unwrap();
            assert!(!jobs.iter().any(|(known, _)| *known == id), "{id} twice");
            jobs.push((id, prompt));
        }
    }
    for (id, prompt) in &jobs {
        wait_for_state(&client, &hosts[1..], id, "done").await;
        let text = client.job_answer(&hosts[1], id).await.unwrap();
        assert_eq!(text, tokens::answer(prompt, 8), "{id}");
    }
}
