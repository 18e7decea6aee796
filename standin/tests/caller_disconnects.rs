//! A request whose caller disconnects releases its slots, grants and queue places, whether it is
//! queued, in prefill, in transfer or in decode.

use std::time;

use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

fn request(prompt_tokens: usize, max_tokens: u32) -> load::ModelRequest {
    load::ModelRequest {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: "word".repeat(prompt_tokens),
        max_tokens,
        disconnects_after: None,
    }
}

fn slots_in_use(world: &world::World) -> usize {
    world.engines.iter().map(|engine| engine.slots_used()).sum()
}

fn waiting_or_granted(fleet: &local_fleet::Fleet) -> usize {
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

/// Disconnects a caller after `delay` and waits until its request holds nothing any more.
async fn assert_released_after_leaving(call: load::ModelRequest, delay: time::Duration) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", known).unwrap();
    let (host, id) = client.host_and_id(None).await.unwrap();
    let answered = async {
        let mut events = client.generate(&host, &id, &call, 0).await.unwrap();
        while events.next().await.is_ok() {}
    };
    let timed_out = tokio::time::timeout(delay, answered).await;
    assert!(
        timed_out.is_err(),
        "the answer was complete before the caller left"
    );
    local_fleet::wait_until("engines and stewards hold nothing", || {
        slots_in_use(&world) == 0 && waiting_or_granted(&fleet) == 0 && !world.holds_memory_for(&id)
    })
    .await
    .unwrap();
    // If the cancellation overtook the import, the import must not take a slot afterwards.
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert_eq!(slots_in_use(&world), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn released_after_leaving_during_prefill() {
    assert_released_after_leaving(request(8_000, 50), time::Duration::from_millis(300)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn released_after_leaving_during_decode() {
    assert_released_after_leaving(request(100, 4_000), time::Duration::from_millis(900)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn released_after_leaving_around_transfer() {
    for delay in [95, 105, 115, 125] {
        assert_released_after_leaving(request(1_000, 4_000), time::Duration::from_millis(delay))
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn released_after_leaving_while_queued() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", known).unwrap();
    let call = load::ModelRequest {
        priority: "patient",
        ..request(50, 4_000)
    };
    let mut streams = Vec::new();
    for _ in 0..130 {
        let (host, id) = client.host_and_id(None).await.unwrap();
        let client = &client;
        let call = &call;
        streams.push(async move {
            if let Ok(mut events) = client.generate(&host, &id, call, 0).await {
                while events.next().await.is_ok() {}
            }
        });
    }
    let all = futures_util::future::join_all(streams);
    let timed_out = tokio::time::timeout(time::Duration::from_secs(3), all).await;
    assert!(timed_out.is_err());
    local_fleet::wait_until("engines and stewards hold nothing", || {
        slots_in_use(&world) == 0 && waiting_or_granted(&fleet) == 0
    })
    .await
    .unwrap();
}
