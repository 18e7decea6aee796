//! Answers that go out through another host than their home.

use walnuthaven_standin::agent;
use walnuthaven_standin::load;
use walnuthaven_standin::local;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

const PROMPT: &str = "subtitles of the second reel";

#[tokio::test(flavor = "multi_thread")]
async fn a_dead_relay_delivered_nothing_that_is_certain() {
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let mut fleet = local::Fleet::start(&world, 3, "current").await.unwrap();
    let known = fleet.api_addresses();
    let agent = agent::Agent::new(world::User::Studio, "palermo", known).unwrap();
    let (home, id) = agent.host_and_id(None).await.unwrap();
    let relay = fleet
        .api_addresses()
        .iter()
        .position(|host| *host != home)
        .unwrap();
    let relay_address = fleet.api_addresses()[relay].clone();
    let call = load::Generate {
        service: "subtitles",
        priority: "normal",
        repeatable: true,
        prompt: PROMPT.into(),
        max_tokens: 5,
        leaves_after: None,
    };
    // The caller reads only the first events, so that the rest stays in flight when the relay dies.
    let mut events = agent.generate(&relay_address, &id, &call, 0).await.unwrap();
    events.next().await.unwrap();
    let home_at = fleet
        .api_addresses()
        .iter()
        .position(|host| *host == home)
        .unwrap();
    let parsed: walnuthaven_lib::ids::RequestId = id.parse().unwrap();
    let cx = fleet.host(home_at).clone();
    local::until("the answer is complete at its home", || {
        let ids = walnuthaven_daemon::locks::lock(&cx.request_table);
        ids.running() == 0 && ids.state(parsed.number).is_some()
    })
    .await
    .unwrap();
    fleet.crash(relay);
    local::until("the home knows that the relay is gone", || {
        let members = walnuthaven_daemon::locks::lock(&cx.members);
        members.live_members().len() == 2
    })
    .await
    .unwrap();
    let mut again = agent.generate(&home, &id, &call, 0).await.unwrap();
    let mut text = String::new();
    let mut done = false;
    while !done {
        for event in again.next().await.unwrap() {
            match event {
                agent::Event::Token(token) => text.push_str(&token),
                agent::Event::Done => done = true,
            }
        }
    }
    assert_eq!(text, tokens::answer(PROMPT, 5));
}
