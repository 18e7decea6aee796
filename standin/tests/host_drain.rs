//! A host that leaves finishes its running streams, refuses new requests and tells the callers which
//! other hosts they can use.

use walnuthaven_daemon::drain;
use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

const PROMPT: &str = "a long story";

fn request(max_tokens: u32) -> load::ModelRequest {
    load::ModelRequest {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: PROMPT.into(),
        max_tokens,
        disconnects_after: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_host_finishes_streams_and_refuses_new_requests() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", known).unwrap();
    let (host, id) = client.host_and_id(None).await.unwrap();
    let (_, second_id) = client.host_and_id(None).await.unwrap();
    let index = fleet
        .api_addresses()
        .iter()
        .position(|known| *known == host)
        .unwrap();
    let mut events = client.generate(&host, &id, &request(150), 0).await.unwrap();
    events.next().await.unwrap();
    let cx = fleet.host(index).clone();
    let leaving = {
        let cx = cx.clone();
        tokio::spawn(async move { drain::leave(&cx).await })
    };
    local_fleet::wait_until("the host starts to leave", || {
        *cx.phase.borrow() == drain::Phase::Leaving
    })
    .await
    .unwrap();
    let refused = match client.generate(&host, &second_id, &request(5), 0).await {
        Err(client::Failure::Refused(refused)) => refused,
        other => panic!("{other:?}"),
    };
    assert_eq!((&*refused.code, &*refused.ran), ("leaving", "not_run"));
    let others = fleet
        .api_addresses()
        .into_iter()
        .filter(|known| *known != host);
    for other in others {
        assert!(refused.message.contains(&other), "{}", refused.message);
    }
    let (new_host, new_id) = client.host_and_id(Some(&host)).await.unwrap();
    assert_ne!(new_host, host);
    let mut new_events = client
        .generate(&new_host, &new_id, &request(5), 0)
        .await
        .unwrap();
    assert!(new_events.next().await.is_ok());
    let mut text = String::new();
    let mut done = false;
    while !done {
        for event in events.next().await.unwrap() {
            match event {
                client::Event::Token(token) => text.push_str(&token),
                client::Event::Done => done = true,
            }
        }
    }
    assert!(tokens::answer(PROMPT, 150).ends_with(&text));
    assert!(text.len() > 100);
    drop(events);
    drop(new_events);
    leaving.await.unwrap();
    assert_eq!(*cx.phase.borrow(), drain::Phase::Left);
}

#[tokio::test(flavor = "multi_thread")]
async fn stewardship_moves_while_the_steward_leaves() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let steward = |index: usize| {
        let members = walnuthaven_daemon::locks::lock(&fleet.host(index).members);
        members.steward("hammam/main/0").id.clone()
    };
    let first_steward = steward(0);
    let index = (0..3)
        .find(|index| fleet.host(*index).id == first_steward)
        .unwrap();
    let cx = fleet.host(index).clone();
    tokio::spawn(async move { drain::leave(&cx).await });
    let other = (index + 1) % 3;
    local_fleet::wait_until("another host is the steward", || {
        steward(other) != first_steward
    })
    .await
    .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", known).unwrap();
    let leaving = fleet.api_addresses()[index].clone();
    let (host, id) = client.host_and_id(Some(&leaving)).await.unwrap();
    let mut events = client.generate(&host, &id, &request(5), 0).await.unwrap();
    assert!(events.next().await.is_ok());
}
