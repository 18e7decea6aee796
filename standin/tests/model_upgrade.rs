//! A new model version is loaded by every engine, once each and one engine at a time, while callers
//! are served.

use walnuthaven_daemon::configure;
use walnuthaven_daemon::locks;
use walnuthaven_standin::client;
use walnuthaven_standin::load;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

#[tokio::test(flavor = "multi_thread")]
async fn loads_new_version_once_on_each_engine() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 2, "current")
        .await
        .unwrap();
    let cx = fleet.host(0).clone();
    let mut document = {
        let config = locks::read(&cx.config);
        config.get("hammam").unwrap().document.clone()
    };
    document.pools[0].version = "2".into();
    let change = configure::Change {
        document,
        seen_generation: 1,
        id: "new-version".into(),
        author: "test".into(),
    };
    let result = tokio::task::spawn_blocking(move || configure::apply(&cx, &change));
    assert!(matches!(
        result.await.unwrap(),
        configure::ApplyOutcome::Accepted(2)
    ));
    let client = client::Client::new(world::User::Coop, "jabal", fleet.api_addresses()).unwrap();
    let call = load::ModelRequest {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: "while engines change".into(),
        max_tokens: 3,
        disconnects_after: None,
    };
    let upgraded = local_fleet::wait_until("every engine serves version 2", || {
        world.engines.iter().all(|engine| engine.version() == "2")
    });
    let requests = async {
        loop {
            let (host, id) = client.host_and_id(None).await.unwrap();
            let mut events = client.generate(&host, &id, &call, 0).await.unwrap();
            while events.next().await.is_ok() {}
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    tokio::select! {
        upgraded = upgraded => upgraded.unwrap(),
        () = requests => unreachable!(),
    }
    assert_eq!(
        world.weights.load_count(),
        world.engines.len() as u64,
        "no engine loaded twice"
    );
}
