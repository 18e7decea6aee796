//! A request that crashes engines crashes at most two of them, even if it is sent repeatedly with
//! different ids.

use std::collections;

use walnuthaven_daemon::locks;
use walnuthaven_lib::history;
use walnuthaven_lib::prefix;
use walnuthaven_standin::client;
use walnuthaven_standin::engine_state;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

fn request(prompt: &str, max_tokens: u32) -> load::ModelRequest {
    load::ModelRequest {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: prompt.into(),
        max_tokens,
        disconnects_after: None,
    }
}

/// Sends a request with a new id and returns the text of the answer.
async fn send(
    client: &client::Client,
    call: &load::ModelRequest,
) -> Result<String, client::Failure> {
    let (host, id) = client.host_and_id(None).await.unwrap();
    let mut events = client.generate(&host, &id, call, 0).await?;
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

/// Sends a request whose prompt contains `marker`, which crashes engines, six times beside twelve
/// harmless requests. Checks that all hosts quarantine its content after two crashes.
async fn assert_quarantined_after_two_crashes(marker: &str) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let known = fleet.api_addresses();
    let client = client::Client::new(world::User::Coop, "jabal", known).unwrap();
    let crashing = request(&format!("{marker} please"), 30);
    let others: Vec<load::ModelRequest> = (0..12)
        .map(|number| request(&format!("innocent {number}"), 60))
        .collect();
    let all = others.iter().map(|other| send(&client, other));
    let (answers, refused) = tokio::join!(futures_util::future::join_all(all), async {
        let mut refused = Vec::new();
        for _ in 0..6 {
            match send(&client, &crashing).await {
                Err(client::Failure::Refused(why)) => refused.push(why.code),
                other => panic!("{other:?}"),
            }
        }
        refused
    });
    for (answer, other) in answers.into_iter().zip(&others) {
        let expected = tokens::answer(&other.prompt, other.max_tokens);
        assert_eq!(
            answer.unwrap(),
            expected,
            "other requests get their complete answers"
        );
    }
    assert!(
        refused[1..].iter().all(|code| code == "quarantined"),
        "{refused:?}"
    );
    let records = world.recorder.records();
    let rerun_servers: collections::BTreeSet<String> = records
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
    assert!(!rerun_servers.is_empty());
    let digest = prefix::digest(&crashing.prompt);
    local_fleet::wait_until("every host refuses the content", || {
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
    assert_eq!(marks.len(), 1, "no other content is quarantined");
    assert_eq!(marks[0].servers().len(), 2, "exactly two servers crashed");
}

#[tokio::test(flavor = "multi_thread")]
async fn content_that_crashes_prefill_engines_is_quarantined() {
    assert_quarantined_after_two_crashes(engine_state::CRASH_PREFILL_MARKER).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn content_that_crashes_decode_engines_is_quarantined() {
    assert_quarantined_after_two_crashes(engine_state::CRASH_DECODE_MARKER).await;
}

/// A change of a mark is announced for 5 s. A host that joins after that has heard none of it.
const ANNOUNCED_FOR: std::time::Duration = std::time::Duration::from_millis(5_500);

// A host that joins a fleet must learn of content that crashed servers before.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_joins_later_learns_quarantined_content() {
    const DIGEST: u64 = 0xabc;
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let mut fleet = local_fleet::Fleet::start(&world, 2, "current")
        .await
        .unwrap();
    {
        let cx = fleet.host(0);
        let mut quarantine = locks::lock(&cx.quarantine);
        for server in ["s1", "s2"] {
            quarantine.record_crash(DIGEST, &server.into(), cx.unix_time());
        }
    }
    let refuses = |cx: &walnuthaven_daemon::host::Host| {
        locks::lock(&cx.quarantine).refuses(DIGEST, cx.unix_time())
    };
    local_fleet::wait_until("the other host refuses the content", || {
        refuses(fleet.host(1))
    })
    .await
    .unwrap();
    tokio::time::sleep(ANNOUNCED_FOR).await;
    fleet.add(&world, "host-2", "current").await.unwrap();
    local_fleet::wait_until("the new host refuses the content", || {
        refuses(fleet.host(2))
    })
    .await
    .unwrap();
}
