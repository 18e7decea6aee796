//! Answers that are relayed to the caller by another host than the request's home.

use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

const PROMPT: &str = "subtitles of the second reel";

#[tokio::test(flavor = "multi_thread")]
async fn answers_again_after_relay_host_crashed() {
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let mut fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Studio, "palermo", known).unwrap();
    let (home, id) = client.host_and_id(None).await.unwrap();
    let relay_index = fleet
        .api_addresses()
        .iter()
        .position(|host| *host != home)
        .unwrap();
    let relay_address = fleet.api_addresses()[relay_index].clone();
    let call = load::ModelRequest {
        service: "subtitles",
        priority: "normal",
        repeatable: true,
        prompt: PROMPT.into(),
        max_tokens: 5,
        disconnects_after: None,
    };
    // The caller reads only the first events. The rest is still in flight when the relaying host
    // crashes, so the home host can't know whether it was delivered.
    let mut events = client
        .generate(&relay_address, &id, &call, 0)
        .await
        .unwrap();
    events.next().await.unwrap();
    let home_index = fleet
        .api_addresses()
        .iter()
        .position(|host| *host == home)
        .unwrap();
    let parsed: walnuthaven_lib::ids::RequestId = id.parse().unwrap();
    let cx = fleet.host(home_index).clone();
    local_fleet::wait_until("the answer is complete at the home host", || {
        let request_table = walnuthaven_daemon::locks::lock(&cx.request_table);
        request_table.running() == 0 && request_table.state(parsed.number).is_some()
    })
    .await
    .unwrap();
    fleet.crash(relay_index);
    local_fleet::wait_until("the home host knows that the relaying host is gone", || {
        let members = walnuthaven_daemon::locks::lock(&cx.members);
        members.live_members().len() == 2
    })
    .await
    .unwrap();
    let mut second_events = client.generate(&home, &id, &call, 0).await.unwrap();
    let mut text = String::new();
    let mut done = false;
    while !done {
        for event in second_events.next().await.unwrap() {
            match event {
                client::Event::Token(token) => text.push_str(&token),
                client::Event::Done => done = true,
            }
        }
    }
    assert_eq!(text, tokens::answer(PROMPT, 5));
}
