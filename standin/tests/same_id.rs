//! One id asked more than once: at two hosts together, after the answer, after a crash.

use walnuthaven_lib::history;
use walnuthaven_standin::agent;
use walnuthaven_standin::load;
use walnuthaven_standin::local;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

const PROMPT: &str = "the long brief of a film about the sea";

struct Setup {
    world: world::World,
    fleet: local::Fleet,
    agent: agent::Agent,
}

async fn setup() -> Setup {
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let fleet = local::Fleet::start(&world, 3, "current").await.unwrap();
    let known = fleet.api_addresses();
    let agent = agent::Agent::new(world::User::Studio, "palermo", known).unwrap();
    Setup {
        world,
        fleet,
        agent,
    }
}

fn brief(max_tokens: u32) -> load::Generate {
    load::Generate {
        service: "scene-brief",
        priority: "deadline",
        repeatable: false,
        prompt: PROMPT.into(),
        max_tokens,
        leaves_after: None,
    }
}

/// Reads a stream to its end.
async fn read(mut events: agent::Events) -> Result<String, agent::Failure> {
    let mut text = String::new();
    loop {
        for event in events.next().await? {
            match event {
                agent::Event::Token(token) => text.push_str(&token),
                agent::Event::Done => return Ok(text),
            }
        }
    }
}

fn runs(world: &world::World, id: &str) -> usize {
    let records = world.ledger.records();
    let ran = records.iter().filter(
        |record| matches!(&record.event, history::Event::Ran { request, .. } if request == id),
    );
    ran.count()
}

fn code<T: std::fmt::Debug>(result: Result<T, agent::Failure>) -> (String, String) {
    match result {
        Err(agent::Failure::Refused(refused)) => (refused.code, refused.ran),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_hosts_together_run_it_once() {
    let setup = setup().await;
    let (home, id) = setup.agent.host_and_id(None).await.unwrap();
    let other = setup
        .fleet
        .api_addresses()
        .into_iter()
        .find(|host| *host != home)
        .unwrap();
    let call = brief(20);
    let (here, there) = tokio::join!(
        setup.agent.generate(&home, &id, &call, 0),
        setup.agent.generate(&other, &id, &call, 0),
    );
    let (here, there) = tokio::join!(read(here.unwrap()), read(there.unwrap()));
    assert_eq!(here.unwrap(), tokens::answer(PROMPT, 20));
    assert_eq!(there.unwrap(), tokens::answer(PROMPT, 20));
    assert_eq!(runs(&setup.world, &id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rest_comes_from_another_host() {
    let setup = setup().await;
    let (home, id) = setup.agent.host_and_id(None).await.unwrap();
    let other = setup
        .fleet
        .api_addresses()
        .into_iter()
        .find(|host| *host != home)
        .unwrap();
    let call = brief(30);
    let mut events = setup.agent.generate(&home, &id, &call, 0).await.unwrap();
    let mut seen = String::new();
    let mut count = 0;
    while count < 5 {
        for event in events.next().await.unwrap() {
            if let agent::Event::Token(token) = event {
                seen.push_str(&token);
                count += 1;
            }
        }
    }
    drop(events);
    let rest = setup
        .agent
        .generate(&other, &id, &call, count)
        .await
        .unwrap();
    seen.push_str(&read(rest).await.unwrap());
    assert_eq!(seen, tokens::answer(PROMPT, 30));
    assert_eq!(runs(&setup.world, &id), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_after_the_answer_gets_none() {
    let setup = setup().await;
    let (home, id) = setup.agent.host_and_id(None).await.unwrap();
    let call = brief(4);
    let events = setup.agent.generate(&home, &id, &call, 0).await.unwrap();
    assert_eq!(read(events).await.unwrap(), tokens::answer(PROMPT, 4));
    for host in setup.fleet.api_addresses() {
        let repeat = setup.agent.generate(&host, &id, &call, 0).await;
        assert_eq!(
            code(repeat),
            ("already_answered".into(), "ran".into()),
            "{host}"
        );
    }
    assert_eq!(runs(&setup.world, &id), 1);
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
async fn an_id_is_bound_to_its_question() {
    let setup = setup().await;
    let (home, id) = setup.agent.host_and_id(None).await.unwrap();
    let events = setup
        .agent
        .generate(&home, &id, &brief(4), 0)
        .await
        .unwrap();
    read(events).await.unwrap();
    let other = load::Generate {
        prompt: "another question".into(),
        ..brief(4)
    };
    let repeat = setup.agent.generate(&home, &id, &other, 0).await;
    assert_eq!(code(repeat).0, "conflict");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_buddy_answers_for_a_crashed_home() {
    let mut setup = setup().await;
    let (home, used) = setup.agent.host_and_id(None).await.unwrap();
    let (_, unused) = setup.agent.host_and_id(None).await.unwrap();
    let call = brief(400);
    let mut events = setup.agent.generate(&home, &used, &call, 0).await.unwrap();
    events.next().await.unwrap();
    let at = setup
        .fleet
        .api_addresses()
        .iter()
        .position(|host| *host == home)
        .unwrap();
    setup.fleet.crash(at);
    let others: Vec<String> = setup.fleet.api_addresses();
    for host in others.iter().filter(|host| **host != home) {
        let repeat = setup.agent.generate(host, &used, &call, 0).await;
        assert_eq!(
            code(repeat),
            ("outcome_unknown".into(), "unknown".into()),
            "{host}"
        );
        let never = setup.agent.generate(host, &unused, &call, 0).await;
        assert_eq!(
            code(never),
            ("unavailable".into(), "not_run".into()),
            "{host}"
        );
    }
    assert_eq!(runs(&setup.world, &used), 1);
    assert_eq!(runs(&setup.world, &unused), 0);
    local::until("the slot of the crashed home is free", || {
        !setup.world.holds(&used)
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn home_and_buddy_crashed_claims_nothing() {
    let mut setup = setup().await;
    let (home, id) = setup.agent.host_and_id(None).await.unwrap();
    let parsed: walnuthaven_lib::ids::RequestId = id.parse().unwrap();
    let buddy = parsed.backup.unwrap();
    let hosts = &setup.fleet.hosts;
    let home_at = hosts
        .iter()
        .position(|host| host.api_addr.to_string() == home)
        .unwrap();
    let buddy_at = hosts.iter().position(|host| host.host.id == buddy).unwrap();
    setup.fleet.crash(home_at);
    setup.fleet.crash(buddy_at);
    let last = (0..3).find(|at| *at != home_at && *at != buddy_at).unwrap();
    let host = setup.fleet.api_addresses()[last].clone();
    let repeat = setup.agent.generate(&host, &id, &brief(4), 0).await;
    assert_eq!(code(repeat), ("outcome_unknown".into(), "unknown".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_needs_an_id() {
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
