//! Callers who leave hold nothing, wherever their request is.

use std::time;

use walnuthaven_standin::agent;
use walnuthaven_standin::load;
use walnuthaven_standin::local;
use walnuthaven_standin::world;

fn request(prompt_tokens: usize, max_tokens: u32) -> load::Generate {
    load::Generate {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: "word".repeat(prompt_tokens),
        max_tokens,
        leaves_after: None,
    }
}

fn held(world: &world::World) -> usize {
    world.engines.iter().map(|engine| engine.slots_used()).sum()
}

fn granted(fleet: &local::Fleet) -> usize {
    let cells = fleet
        .hosts
        .iter()
        .flat_map(|running| running.host.steward.cells());
    cells
        .map(|cell| {
            let counts = cell.with(|cell| cell.counts());
            counts.held + counts.urgent + counts.normal + counts.patient
        })
        .sum()
}

/// Lets a caller leave after a time, and waits until nothing is held.
async fn leave_after(call: load::Generate, wait: time::Duration) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local::Fleet::start(&world, 3, "current").await.unwrap();
    let known = fleet.api_addresses();
    let agent = agent::Agent::new(world::User::Coop, "jabal", known).unwrap();
    let (host, id) = agent.host_and_id(None).await.unwrap();
    let asked = async {
        let mut events = agent.generate(&host, &id, &call, 0).await.unwrap();
        while events.next().await.is_ok() {}
    };
    let left = tokio::time::timeout(wait, asked).await;
    assert!(
        left.is_err(),
        "the answer was complete before the caller left"
    );
    local::until("engines and steward hold nothing", || {
        held(&world) == 0 && granted(&fleet) == 0 && !world.holds(&id)
    })
    .await
    .unwrap();
    // A cancel that crossed the import must not be followed by a slot.
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert_eq!(held(&world), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_during_prefill() {
    leave_after(request(8_000, 50), time::Duration::from_millis(300)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_during_decode() {
    leave_after(request(100, 4_000), time::Duration::from_millis(900)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_around_the_transfer() {
    for wait in [95, 105, 115, 125] {
        leave_after(request(1_000, 4_000), time::Duration::from_millis(wait)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_while_queued() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local::Fleet::start(&world, 3, "current").await.unwrap();
    let known = fleet.api_addresses();
    let agent = agent::Agent::new(world::User::Coop, "jabal", known).unwrap();
    let call = load::Generate {
        priority: "patient",
        ..request(50, 4_000)
    };
    let mut streams = Vec::new();
    for _ in 0..130 {
        let (host, id) = agent.host_and_id(None).await.unwrap();
        let agent = &agent;
        let call = &call;
        streams.push(async move {
            if let Ok(mut events) = agent.generate(&host, &id, call, 0).await {
                while events.next().await.is_ok() {}
            }
        });
    }
    let all = futures_util::future::join_all(streams);
    let left = tokio::time::timeout(time::Duration::from_secs(3), all).await;
    assert!(left.is_err());
    local::until("engines and steward hold nothing", || {
        held(&world) == 0 && granted(&fleet) == 0
    })
    .await
    .unwrap();
}
