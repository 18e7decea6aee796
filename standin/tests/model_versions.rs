//! A new model version reaches every engine, one at a time, while callers are served.

use walnuthaven_daemon::configure;
use walnuthaven_daemon::locks;
use walnuthaven_standin::agent;
use walnuthaven_standin::load;
use walnuthaven_standin::local;
use walnuthaven_standin::world;

#[tokio::test(flavor = "multi_thread")]
async fn engines_load_it_one_after_the_other() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local::Fleet::start(&world, 2, "current").await.unwrap();
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
    let applied = tokio::task::spawn_blocking(move || configure::apply(&cx, &change));
    assert!(matches!(
        applied.await.unwrap(),
        configure::ApplyOutcome::Accepted(2)
    ));
    let agent = agent::Agent::new(world::User::Coop, "jabal", fleet.api_addresses()).unwrap();
    let call = load::Generate {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: "while engines change".into(),
        max_tokens: 3,
        leaves_after: None,
    };
    let changed = local::until("every engine serves version 2", || {
        world.engines.iter().all(|engine| engine.version() == "2")
    });
    let asking = async {
        loop {
            let (host, id) = agent.host_and_id(None).await.unwrap();
            let mut events = agent.generate(&host, &id, &call, 0).await.unwrap();
            while events.next().await.is_ok() {}
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    tokio::select! {
        changed = changed => changed.unwrap(),
        () = asking => unreachable!(),
    }
    assert_eq!(
        world.weights.loads(),
        world.engines.len() as u64,
        "no engine loaded twice"
    );
}
