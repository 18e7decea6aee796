//! A workspace's requests and jobs can't be seen by the callers of another one.

use walnuthaven_lib::ids;
use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

/// What the API answered: the status and the body.
type Answer = (u16, String);

async fn call(method: &str, host: &str, path: &str, key: &str) -> Answer {
    let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
    let url = format!("http://{host}{path}");
    let sent = reqwest::Client::new().request(method, url).bearer_auth(key);
    let response = sent.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.text().await.unwrap())
}

fn request(service: &'static str, prompt: &str) -> load::ModelRequest {
    load::ModelRequest {
        service,
        priority: "normal",
        repeatable: true,
        prompt: prompt.into(),
        max_tokens: 4,
        disconnects_after: None,
    }
}

struct Setup {
    // The fleet serves as long as the stand-ins run.
    _world: world::World,
    fleet: local_fleet::Fleet,
    studio: client::Client,
}

async fn start() -> Setup {
    let users = [world::User::Studio, world::User::Coop];
    let world = world::World::start(&users).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 2, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let studio = client::Client::new(world::User::Studio, "palermo", known).unwrap();
    Setup {
        _world: world,
        fleet,
        studio,
    }
}

/// Asserts that the other workspace gets the same answer for `id` as for an id that doesn't exist, at every
/// host.
async fn assert_hidden(
    setup: &Setup,
    method: &str,
    path: impl Fn(&str) -> String,
    id: &str,
    unknown: &str,
) {
    for host in setup.fleet.api_addresses() {
        let seen = call(method, &host, &path(id), world::COOP_KEY).await;
        let expected = call(method, &host, &path(unknown), world::COOP_KEY).await;
        let seen = (seen.0, seen.1.replace(id, "ID"));
        let expected = (expected.0, expected.1.replace(unknown, "ID"));
        assert_eq!(seen, expected, "{method} {} at {host}", path(id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_of_another_workspace_looks_like_an_unknown_one() {
    let setup = start().await;
    let (home, id) = setup.studio.host_and_id(None).await.unwrap();
    let mut events = setup
        .studio
        .generate(&home, &id, &request("subtitles", "a reel"), 0)
        .await
        .unwrap();
    while !events
        .next()
        .await
        .unwrap()
        .iter()
        .any(|event| matches!(event, client::Event::Done))
    {}
    let path = format!("/v1/requests/{id}");
    let own = call("GET", &home, &path, world::STUDIO_KEY).await;
    assert_eq!(own.0, 200, "{own:?}");
    let mut unknown: ids::RequestId = id.parse().unwrap();
    unknown.number += 1_000_000;
    let unknown = unknown.to_string();
    let state = |id: &str| format!("/v1/requests/{id}");
    let answer = |id: &str| format!("/v1/requests/{id}/answer");
    let confirm = |id: &str| format!("/v1/requests/{id}/confirm");
    assert_hidden(&setup, "GET", state, &id, &unknown).await;
    assert_hidden(&setup, "GET", answer, &id, &unknown).await;
    assert_hidden(&setup, "POST", confirm, &id, &unknown).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_of_another_workspace_looks_like_an_unknown_one() {
    let setup = start().await;
    let host = setup.fleet.api_addresses()[0].clone();
    let job = request("subtitles", "a second reel");
    let id = setup.studio.submit(&host, &job).await.unwrap();
    let own = call("GET", &host, &format!("/v1/jobs/{id}"), world::STUDIO_KEY).await;
    assert_eq!(own.0, 200, "{own:?}");
    let unknown = format!("{id}0");
    let state = |id: &str| format!("/v1/jobs/{id}");
    let answer = |id: &str| format!("/v1/jobs/{id}/answer");
    assert_hidden(&setup, "GET", state, &id, &unknown).await;
    assert_hidden(&setup, "GET", answer, &id, &unknown).await;
    assert_hidden(&setup, "DELETE", state, &id, &unknown).await;
}

// An id of another workspace must not be told apart by sending a request with it either.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_the_id_of_another_workspace_is_refused_like_an_unknown_id() {
    let setup = start().await;
    let (home, id) = setup.studio.host_and_id(None).await.unwrap();
    let call = request("subtitles", "a third reel");
    setup.studio.generate(&home, &id, &call, 0).await.unwrap();
    let known = setup.fleet.api_addresses();
    let coop = client::Client::new(world::User::Coop, "jabal", known.clone()).unwrap();
    let mut unknown: ids::RequestId = id.parse().unwrap();
    unknown.number += 1_000_000;
    let unknown = unknown.to_string();
    for host in known {
        let mut refusals = Vec::new();
        for id in [&id, &unknown] {
            let summary = request("summary", "a refund");
            match coop.generate(&host, id, &summary, 0).await {
                Err(client::Failure::Refused(refusal)) => {
                    let text = format!("{refusal:?}");
                    refusals.push(text.replace(id, "ID"));
                }
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(refusals[0], refusals[1], "at {host}");
    }
}
