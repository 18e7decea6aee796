//! Configuration changes under concurrent changes, lost replies, a platform outage and a platform
//! that is restored from old data.

use std::collections;

use serde_json::json;
use walnuthaven_daemon::locks;
use walnuthaven_lib::config;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::platform;
use walnuthaven_standin::world;

const HOST_COUNT: usize = 8;
const CHANGES_PER_OPERATOR: usize = 50;

/// An operator's client for the admin API of one host.
struct Operator {
    admin: String,
}

impl Operator {
    fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&serde_json::Value>,
    ) -> (u16, serde_json::Value) {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build();
        let agent: ureq::Agent = config.into();
        let url = format!("http://{}/admin/{path}", self.admin);
        let bearer = format!("Bearer {}", world::OPERATOR_TOKEN);
        let sent = match body {
            None => agent.get(url).header("authorization", bearer).call(),
            Some(body) if method == "PUT" => agent
                .put(url)
                .header("authorization", bearer)
                .send_json(body),
            Some(body) => agent
                .post(url)
                .header("authorization", bearer)
                .send_json(body),
        };
        let mut response = sent.unwrap();
        let status = response.status().as_u16();
        (status, response.body_mut().read_json().unwrap())
    }

    /// Returns the generation and the document in force.
    fn show(&self) -> (u64, serde_json::Value) {
        let (status, stored) = self.call("GET", "config/hammam", None);
        assert_eq!(status, 200);
        (
            stored["generation"].as_u64().unwrap(),
            stored["document"].clone(),
        )
    }

    /// Submits a document as a change of the generation `seen`. Returns the status and the body.
    fn put(
        &self,
        document: &serde_json::Value,
        seen: u64,
        change: &str,
    ) -> (u16, serde_json::Value) {
        let body = json!({ "document": document, "seen": seen, "change": change });
        self.call("PUT", "config/hammam", Some(&body))
    }
}

async fn setup() -> (world::World, local_fleet::Fleet) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, HOST_COUNT, "current")
        .await
        .unwrap();
    (world, fleet)
}

fn operator(fleet: &local_fleet::Fleet, index: usize) -> Operator {
    Operator {
        admin: fleet.hosts[index].admin_addr.to_string(),
    }
}

/// Returns the generation that a host has in force, zero if it has none.
fn generation(fleet: &local_fleet::Fleet, index: usize) -> u64 {
    let config = locks::read(&fleet.host(index).config);
    config.get("hammam").map_or(0, |stored| stored.generation)
}

/// Waits until every host has the generation in force.
async fn wait_until_in_force(fleet: &local_fleet::Fleet, wanted: u64) {
    local_fleet::wait_until("the generation is in force at every host", || {
        (0..HOST_COUNT).all(|index| generation(fleet, index) == wanted)
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_are_accepted_or_refused_as_conflicts() {
    let (_world, fleet) = setup().await;
    let operators = [operator(&fleet, 0), operator(&fleet, 5)];
    let race = |number: usize, operator: Operator| {
        move || {
            let mut accepted = Vec::new();
            let mut conflicts = 0;
            for step in 0..CHANGES_PER_OPERATOR {
                let (seen, mut document) = operator.show();
                document["share"] = json!(1 + (number * 500 + step) % 1_000);
                let change = format!("race-{number}-{step}");
                match operator.put(&document, seen, &change) {
                    (200, body) => accepted.push((body["generation"].as_u64().unwrap(), change)),
                    (409, body) => {
                        assert!(body["difference"].is_string());
                        conflicts += 1;
                    }
                    other => panic!("{other:?}"),
                }
            }
            (accepted, conflicts)
        }
    };
    let [first, second] = operators;
    let first = tokio::task::spawn_blocking(race(0, first));
    let second = tokio::task::spawn_blocking(race(1, second));
    let (first, second) = (first.await.unwrap(), second.await.unwrap());
    let conflicts = first.1 + second.1;
    let accepted: collections::BTreeMap<u64, String> =
        first.0.into_iter().chain(second.0).collect();
    assert_eq!(
        accepted.len() + conflicts,
        2 * CHANGES_PER_OPERATOR,
        "no two accepted changes have the same generation"
    );
    let newest = *accepted.keys().last().unwrap();
    assert_eq!(
        newest,
        accepted.len() as u64 + 1,
        "the generations have no gap"
    );
    wait_until_in_force(&fleet, newest).await;
    let config = locks::read(&fleet.host(3).config);
    let stored = config.get("hammam").unwrap();
    for change in &stored.recent {
        let known = accepted.get(&change.generation);
        assert_eq!(known.map_or("first", String::as_str), change.change);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_change_after_lost_replies_is_applied_once() {
    let (world, fleet) = setup().await;
    world.platform.set_faults(platform::Faults {
        lose_replies: 1.0,
        ..platform::Faults::default()
    });
    let operator = operator(&fleet, 1);
    let (seen, mut document) = operator.show();
    document["share"] = json!(7);
    let put = tokio::task::spawn_blocking(move || {
        let first = operator.put(&document, seen, "lost");
        let repeat = operator.put(&document, seen, "lost");
        (first, repeat)
    });
    let ((first, _), (repeat, body)) = put.await.unwrap();
    // The reply to the write of the history may be lost too. Then the configuration is unchanged, and
    // the outcome depends on the repeated change.
    assert!(first == 200 || first == 503, "{first}");
    world.platform.set_faults(platform::Faults::default());
    if repeat == 200 {
        assert_eq!(body["generation"], 2);
        wait_until_in_force(&fleet, 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_and_restore_keep_the_newer_configuration() {
    let (world, fleet) = setup().await;
    let old = world.platform.value("config", "hammam").unwrap();
    let operator = operator(&fleet, 2);
    let (seen, mut document) = operator.show();
    document["share"] = json!(9);
    let (status, _) = operator.put(&document, seen, "before");
    assert_eq!(status, 200);
    wait_until_in_force(&fleet, 2).await;
    world.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    let (status, body) = operator.put(&document, 2, "during");
    assert_eq!(status, 503, "{body}");
    world.platform.put_unconditionally("config", "hammam", old);
    world.platform.set_faults(platform::Faults::default());
    local_fleet::wait_until(
        "the restored platform has the newer generation again",
        || {
            let stored = world.platform.value("config", "hammam").unwrap();
            stored["generation"] == 2
        },
    )
    .await
    .unwrap();
    assert!((0..HOST_COUNT).all(|index| generation(&fleet, index) == 2));
    let (status, body) = operator.put(&document, 2, "after");
    assert_eq!((status, &body["generation"]), (200, &json!(3)), "{body}");
    wait_until_in_force(&fleet, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn host_started_during_an_outage_fetches_configuration_from_peers() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let mut fleet = local_fleet::Fleet::start(&world, 2, "current")
        .await
        .unwrap();
    world.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    fleet.add(&world, "late", "current").await.unwrap();
    local_fleet::wait_until("the late host has the configuration", || {
        generation(&fleet, 2) == 1
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_document_is_refused_with_its_faults() {
    let (_world, fleet) = setup().await;
    let operator = operator(&fleet, 0);
    let (seen, mut document) = operator.show();
    document["share"] = json!(0);
    document["backends"][0]["addr"] = json!("nowhere");
    let (status, report) = operator.put(&document, seen, "faulty");
    assert_eq!(status, 422);
    let paths: Vec<&str> = report["faults"]
        .as_array()
        .unwrap()
        .iter()
        .map(|fault| fault["path"].as_str().unwrap())
        .collect();
    assert_eq!(paths, ["share", "backends[0].addr"]);
    assert_eq!(generation(&fleet, 0), 1);
    let parsed: config::Workspace = serde_json::from_value(operator.show().1).unwrap();
    assert_eq!(parsed.share, 1);
}
