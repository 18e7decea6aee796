//! Requests sent more than once with the same id: to two hosts at once, after the answer, and after
//! the home host has crashed. None may run twice.

use std::sync;

use walnuthaven_daemon::generate;
use walnuthaven_daemon::locks;
use walnuthaven_lib::history;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;
use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

const PROMPT: &str = "the long brief of a film about the sea";

struct Setup {
    world: world::World,
    fleet: local_fleet::Fleet,
    client: client::Client,
}

async fn setup() -> Setup {
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Studio, "palermo", known).unwrap();
    Setup {
        world,
        fleet,
        client,
    }
}

fn scene_brief_request(max_tokens: u32) -> load::ModelRequest {
    load::ModelRequest {
        service: "scene-brief",
        priority: "deadline",
        repeatable: false,
        prompt: PROMPT.into(),
        max_tokens,
        disconnects_after: None,
    }
}

/// Reads a stream to its end and returns the text.
async fn read_all(mut events: client::Events) -> Result<String, client::Failure> {
    let mut text = String::new();
    loop {
        for event in events.next().await? {
            match event {
                client::Event::Token(token) => text.push_str(&token),
                client::Event::Done => return Ok(text),
            }
        }
    }
}

fn count_runs(world: &world::World, id: &str) -> usize {
    let records = world.recorder.records();
    let run_events = records.iter().filter(
        |record| matches!(&record.event, history::Event::Ran { request, .. } if request == id),
    );
    run_events.count()
}

/// Returns the error code of a refusal and its statement on whether the request ran.
fn refusal_codes<T: std::fmt::Debug>(result: Result<T, client::Failure>) -> (String, String) {
    match result {
        Err(client::Failure::Refused(refused)) => (refused.code, refused.ran),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_when_sent_to_two_hosts_at_once() {
    let setup = setup().await;
    let (home, id) = setup.client.host_and_id(None).await.unwrap();
    let other = setup
        .fleet
        .api_addresses()
        .into_iter()
        .find(|host| *host != home)
        .unwrap();
    let call = scene_brief_request(20);
    let (from_home, from_other) = tokio::join!(
        setup.client.generate(&home, &id, &call, 0),
        setup.client.generate(&other, &id, &call, 0),
    );
    let (from_home, from_other) =
        tokio::join!(read_all(from_home.unwrap()), read_all(from_other.unwrap()));
    assert_eq!(from_home.unwrap(), tokens::answer(PROMPT, 20));
    assert_eq!(from_other.unwrap(), tokens::answer(PROMPT, 20));
    assert_eq!(count_runs(&setup.world, &id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumes_stream_through_another_host() {
    let setup = setup().await;
    let (home, id) = setup.client.host_and_id(None).await.unwrap();
    let other = setup
        .fleet
        .api_addresses()
        .into_iter()
        .find(|host| *host != home)
        .unwrap();
    let call = scene_brief_request(30);
    let mut events = setup.client.generate(&home, &id, &call, 0).await.unwrap();
    let mut text = String::new();
    let mut count = 0;
    while count < 5 {
        for event in events.next().await.unwrap() {
            if let client::Event::Token(token) = event {
                text.push_str(&token);
                count += 1;
            }
        }
    }
    drop(events);
    let remainder = setup
        .client
        .generate(&other, &id, &call, count)
        .await
        .unwrap();
    text.push_str(&read_all(remainder).await.unwrap());
    assert_eq!(text, tokens::answer(PROMPT, 30));
    assert_eq!(count_runs(&setup.world, &id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_retry_after_answer() {
    let setup = setup().await;
    let (home, id) = setup.client.host_and_id(None).await.unwrap();
    let call = scene_brief_request(4);
    let events = setup.client.generate(&home, &id, &call, 0).await.unwrap();
    assert_eq!(read_all(events).await.unwrap(), tokens::answer(PROMPT, 4));
    for host in setup.fleet.api_addresses() {
        let retry = setup.client.generate(&host, &id, &call, 0).await;
        assert_eq!(
            refusal_codes(retry),
            ("already_answered".into(), "ran".into()),
            "{host}"
        );
    }
    assert_eq!(count_runs(&setup.world, &id), 1);
    let replay = reqwest::Client::new()
        .get(format!("http://{home}/v1/requests/{id}/answer"))
        .bearer_auth(world::STUDIO_KEY)
        .send()
        .await
        .unwrap();
    assert_eq!(replay.headers()["x-replay"], "true");
    let body: serde_json::Value = replay.json().await.unwrap();
    assert_eq!(body["text"], tokens::answer(PROMPT, 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_id_with_another_prompt() {
    let setup = setup().await;
    let (home, id) = setup.client.host_and_id(None).await.unwrap();
    let events = setup
        .client
        .generate(&home, &id, &scene_brief_request(4), 0)
        .await
        .unwrap();
    read_all(events).await.unwrap();
    let other = load::ModelRequest {
        prompt: "another question".into(),
        ..scene_brief_request(4)
    };
    let retry = setup.client.generate(&home, &id, &other, 0).await;
    assert_eq!(refusal_codes(retry).0, "conflict");
}

#[tokio::test(flavor = "multi_thread")]
async fn backup_answers_for_crashed_home() {
    let mut setup = setup().await;
    let (home, sent_id) = setup.client.host_and_id(None).await.unwrap();
    let (_, unsent_id) = setup.client.host_and_id(None).await.unwrap();
    let call = scene_brief_request(400);
    let mut events = setup
        .client
        .generate(&home, &sent_id, &call, 0)
        .await
        .unwrap();
    events.next().await.unwrap();
    let index = setup
        .fleet
        .api_addresses()
        .iter()
        .position(|host| *host == home)
        .unwrap();
    setup.fleet.crash(index);
    let others: Vec<String> = setup.fleet.api_addresses();
    for host in others.iter().filter(|host| **host != home) {
        let retry = setup.client.generate(host, &sent_id, &call, 0).await;
        assert_eq!(
            refusal_codes(retry),
            ("outcome_unknown".into(), "unknown".into()),
            "{host}"
        );
        let unsent = setup.client.generate(host, &unsent_id, &call, 0).await;
        assert_eq!(
            refusal_codes(unsent),
            ("unavailable".into(), "not_run".into()),
            "{host}"
        );
    }
    assert_eq!(count_runs(&setup.world, &sent_id), 1);
    assert_eq!(count_runs(&setup.world, &unsent_id), 0);
    local_fleet::wait_until(
        "the request of the crashed home host holds no engine memory",
        || !setup.world.holds_memory_for(&sent_id),
    )
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_unknown_after_home_and_backup_crash() {
    let mut setup = setup().await;
    let (home, id) = setup.client.host_and_id(None).await.unwrap();
    let parsed: walnuthaven_lib::ids::RequestId = id.parse().unwrap();
    let backup = parsed.backup.unwrap();
    let hosts = &setup.fleet.hosts;
    let home_index = hosts
        .iter()
        .position(|host| host.api_addr.to_string() == home)
        .unwrap();
    let backup_index = hosts
        .iter()
        .position(|host| host.host.id == backup)
        .unwrap();
    setup.fleet.crash(home_index);
    setup.fleet.crash(backup_index);
    let last_index = (0..3)
        .find(|index| *index != home_index && *index != backup_index)
        .unwrap();
    let host = setup.fleet.api_addresses()[last_index].clone();
    let retry = setup
        .client
        .generate(&host, &id, &scene_brief_request(4), 0)
        .await;
    assert_eq!(
        refusal_codes(retry),
        ("outcome_unknown".into(), "unknown".into())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_request_requires_id() {
    let setup = setup().await;
    let home = &setup.fleet.api_addresses()[0];
    let response = reqwest::Client::new()
        .post(format!("http://{home}/v1/completions"))
        .bearer_auth(world::STUDIO_KEY)
        .json(&serde_json::json!({ "model": "scene-brief", "prompt": PROMPT }))
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 400);
    let body: serde_json::Value = response.json().await.unwrap();
    assert_eq!(body["error"]["code"], "id_required");
    assert_eq!(body["error"]["ran"], "not_run");
}

// Whoever comes second must find the answer of the first, however little later it comes.
#[tokio::test(flavor = "multi_thread")]
async fn simultaneous_requests_with_one_id_share_an_answer() {
    const IDS: u64 = 300;
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 1, "current")
        .await
        .unwrap();
    let cx = fleet.host(0).clone();
    let workspace = locks::read(&cx.config).get("cadena").cloned().unwrap();
    let service = workspace.document.service("subtitles").cloned().unwrap();
    let request = generate::Request {
        workspace,
        service,
        prompt: "a reel".into(),
        max_tokens: 1,
        class: queue::Class::Normal,
        repeatable: true,
        id: None,
        offset: None,
        arrived: cx.now(),
    };
    for id in generate::mint(&cx, IDS) {
        let barrier = sync::Arc::new(sync::Barrier::new(2));
        let accept = || {
            let (cx, id, request) = (cx.clone(), id.clone(), request.clone());
            let barrier = barrier.clone();
            tokio::task::spawn_blocking(move || {
                barrier.wait();
                generate::accept_at_home(&cx, request, id).map(drop)
            })
        };
        let (one, other) = tokio::join!(accept(), accept());
        for accepted in [one.unwrap(), other.unwrap()] {
            // The second may come after the answer was delivered, but not find it missing.
            if let Err(refusal) = accepted {
                assert_eq!(refusal.code, refusal::Code::AlreadyAnswered, "{refusal:?}");
            }
        }
    }
}
