//! A request that crashes engines costs at most two of them, under whatever id it comes.

use std::collections;

use walnuthaven_daemon::locks;
use walnuthaven_lib::history;
use walnuthaven_lib::prefix;
use walnuthaven_standin::agent;
use walnuthaven_standin::engine_state;
use walnuthaven_standin::load;
use walnuthaven_standin::local;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

fn call(prompt: &str, max_tokens: u32) -> load::Generate {
    load::Generate {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: prompt.into(),
        max_tokens,
        leaves_after: None,
    }
}

async fn ask(agent: &agent::Agent, call: &load::Generate) -> Result<String, agent::Failure> {
    let (host, id) = agent.host_and_id(None).await.unwrap();
    let mut events = agent.generate(&host, &id, call, 0).await?;
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

async fn sent_again_and_again(marker: &str) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local::Fleet::start(&world, 3, "current").await.unwrap();
    let known = fleet.api_addresses();
    let agent = agent::Agent::new(world::User::Coop, "jabal", known).unwrap();
    let bad = call(&format!("{marker} please"), 30);
    let neighbours: Vec<load::Generate> = (0..12)
        .map(|number| call(&format!("innocent {number}"), 60))
        .collect();
    let all = neighbours.iter().map(|neighbour| ask(&agent, neighbour));
    let (answers, refused) = tokio::join!(futures_util::future::join_all(all), async {
        let mut refused = Vec::new();
        for _ in 0..6 {
            match ask(&agent, &bad).await {
                Err(agent::Failure::Refused(why)) => refused.push(why.code),
                other => panic!("{other:?}"),
            }
        }
        refused
    });
    for (answer, neighbour) in answers.into_iter().zip(&neighbours) {
        let expected = tokens::answer(&neighbour.prompt, neighbour.max_tokens);
        assert_eq!(answer.unwrap(), expected, "innocent neighbours finish");
    }
    assert!(
        refused[1..].iter().all(|code| code == "quarantined"),
        "{refused:?}"
    );
    let records = world.ledger.records();
    let bad_runs: collections::BTreeSet<String> = records
        .iter()
        .filter_map(|record| match &record.event {
            history::Event::Ran { request, server, .. } => Some((request, server)),
            _ => None,
        })
        .filter(|(request, _)| {
            let ids = records.iter().filter(|r| matches!(&r.event, history::Event::Ran { request: other, .. } if other == *request));
            ids.count() > 1
        })
        .map(|(_, server)| server.clone())
        .collect();
    assert!(!bad_runs.is_empty());
    let digest = prefix::digest(&bad.prompt);
    local::until("every host refuses the content", || {
        fleet.hosts.iter().all(|running| {
            let cx = &running.host;
            locks::lock(&cx.quarantine)
                .check(digest, cx.unix_time())
                .is_err()
        })
    })
    .await
    .unwrap();
    let quarantine = locks::lock(&fleet.host(0).quarantine);
    let marks: Vec<_> = quarantine.marks().filter(|m| m.is_quarantined()).collect();
    assert_eq!(marks.len(), 1, "no innocent content is refused");
    assert_eq!(marks[0].servers.len(), 2, "two servers lost, not more");
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_the_prefill_engine() {
    sent_again_and_again(engine_state::CRASH_PREFILL).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_the_decode_engine() {
    sent_again_and_again(engine_state::CRASH_DECODE).await;
}
