//! A host that leaves stores the answers of its jobs before it ends.

use std::time;

use walnuthaven_daemon::drain;
use walnuthaven_lib::history;
use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::platform;
use walnuthaven_standin::world;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long the platform is away: longer than the job runs, shorter than the host may take to leave.
const OUTAGE: time::Duration = time::Duration::from_secs(6);

/// Guards against answers that are lost because a host ends between their last token and their write. The job may run once,
/// so no other host can make its answer again.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_job_is_stored_before_its_host_ends() {
    let world = world::World::start(&[world::User::Studio]).await.unwrap();
    let mut fleet = local_fleet::Fleet::start(&world, 2, "current")
        .await
        .unwrap();
    let hosts = fleet.api_addresses();
    let client = client::Client::new(world::User::Studio, "palermo", hosts.clone()).unwrap();
    client.host_and_id(None).await.unwrap();
    let job = load::ModelRequest {
        service: "scene-brief",
        priority: "patient",
        repeatable: false,
        prompt: "a long scene".into(),
        max_tokens: 60,
        disconnects_after: None,
    };
    let id = client.submit(&hosts[0], &job).await.unwrap();
    local_fleet::wait_until("the job runs", || {
        let records = world.recorder.records();
        let mut events = records.iter().map(|record| &record.event);
        events.any(|event| matches!(event, history::Event::Ran { .. }))
    })
    .await
    .unwrap();
    world.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    let cx = fleet.host(0).clone();
    let leaving = tokio::spawn(async move { drain::leave(&cx).await });
    tokio::time::sleep(OUTAGE).await;
    let ended_meanwhile = leaving.is_finished();
    world.platform.set_faults(platform::Faults::default());
    leaving.await.unwrap();
    fleet.crash(0);
    let mut state = String::new();
    for _ in 0..400 {
        state = client.job_state(&hosts[1], &id).await.unwrap_or(state);
        if ["done", "failed"].contains(&state.as_str()) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(state, "done", "ended during the outage: {ended_meanwhile}");
}
