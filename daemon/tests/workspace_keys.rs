//! Keys of workspaces: a host finds the caller's workspace by its key, and servers get the workspace's name only.

use std::sync;
use std::time;

use serde_json::Value;
use serde_json::json;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::link;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer or an expected state.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time within which a new configuration must be in force.
const APPLY_TIME: time::Duration = time::Duration::from_secs(2);

/// Returns a configuration with the workspaces `north`, with the given keys, and `south`. The route `open` needs
/// no key.
fn configuration(version: u64, north_keys: &[&str]) -> Value {
    let mut configuration = hosts::configuration(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    let mut open = routes[0].clone();
    open["name"] = "open".into();
    open["path_prefix"] = "/open/".into();
    open["allow_anonymous"] = true.into();
    routes.push(open);
    configuration["tenants"] = json!([
        {"name": "north", "api_keys": north_keys, "priority": 1, "unit": "token_stream",
         "plain_tokens": 200, "rate_per_s": 100_000, "burst": 100_000},
        {"name": "south", "api_keys": ["key-south"], "priority": 2},
    ]);
    configuration
}

/// A host with one server of the plain service `gate`.
struct Setup {
    store: sync::Arc<store::Store>,
    host: hosts::Host,
    gate: sync::Arc<server::Server>,
}

impl Setup {
    async fn start() -> Self {
        let (store, addr) = store::Store::start().await;
        store.put("config", "main", configuration(3, &["key-a", "key-b"]));
        let gate = server::Server::start("i-a", None).await;
        gate.register(&store, "gate");
        let host = hosts::Host::start(BINARY, "h1", addr);
        host.wait_ready().await;
        Self { store, host, gate }
    }

    /// Sends a request and returns the status of its answer.
    async fn send(&self, path: &str, id: &str, headers: &str) -> u16 {
        let bytes = caller::request("POST", path, id, headers, "order 7");
        let addr = self.host.callers_addr;
        caller::send(addr, &bytes, TIMEOUT).await.status
    }

    /// Waits until a request with a key is answered with a status.
    async fn wait_for(&self, key: &str, status: u16) {
        let headers = format!("Authorization: Bearer {key}\r\n");
        let start = time::Instant::now();
        while self.send("/plain/x", "w", &headers).await != status {
            assert!(
                start.elapsed() < APPLY_TIME,
                "{key} isn't answered {status}"
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn server_gets_the_workspace_and_never_the_key() {
    let setup = Setup::start().await;
    let forged = "X-Tenant: south\r\nX-Own: 5\r\n";
    for (id, scheme) in [("r1", "Bearer"), ("r2", "bearer")] {
        let headers = format!("Authorization: {scheme} key-a\r\n{forged}");
        assert_eq!(setup.send("/once/x", id, &headers).await, 200, "{id}");
    }
    let received = setup.gate.received();
    assert_eq!(received.len(), 2);
    for request in received {
        assert_eq!(request.headers["x-tenant"], "north");
        assert_eq!(request.headers["x-own"], "5");
        assert!(!request.headers.contains_key("authorization"));
    }
    let dump = caller::request("GET", "/admin/dump", "d", "", "");
    let dump = caller::send(setup.host.metrics_addr, &dump, TIMEOUT).await;
    assert!(dump.body.contains("north"), "{dump:?}");
    for text in [dump.body, setup.host.log()] {
        assert!(!text.contains("key-a"), "{text}");
    }
}

#[tokio::test]
async fn unknown_keys_are_refused_unless_the_route_is_open() {
    let setup = Setup::start().await;
    let unknown = [
        "",
        "Authorization: Bearer key-x\r\n",
        "Authorization: Bearer \r\n",
        "Authorization: Basic key-a\r\n",
        "Authorization: key-a\r\n",
        "Authorization: Bearer key-a\r\nAuthorization: Bearer key-b\r\n",
        "X-Tenant: north\r\n",
    ];
    for headers in unknown {
        assert_eq!(
            setup.send("/once/x", "r1", headers).await,
            401,
            "{headers:?}"
        );
    }
    assert!(setup.gate.received().is_empty());
    for headers in unknown {
        assert_eq!(
            setup.send("/open/x", "r2", headers).await,
            200,
            "{headers:?}"
        );
    }
    let key = "Authorization: Bearer key-south\r\n";
    assert_eq!(setup.send("/open/x", "r3", key).await, 200);
    let received = setup.gate.received();
    let (last, anonymous) = received.split_last().unwrap();
    assert_eq!(last.headers["x-tenant"], "south");
    for request in anonymous {
        assert!(!request.headers.contains_key("x-tenant"));
        assert!(!request.headers.contains_key("authorization"));
    }
}

#[tokio::test]
async fn withdrawn_key_stays_refused_after_a_restart() {
    let mut setup = Setup::start().await;
    setup.wait_for("key-b", 200).await;
    let changed = configuration(9, &["key-a", "key-c"]);
    setup.store.put("config", "main", changed);
    setup.wait_for("key-c", 200).await;
    setup.wait_for("key-b", 401).await;
    setup.host.restart();
    setup.host.wait_ready().await;
    assert_eq!(
        setup
            .send("/plain/x", "r1", "Authorization: Bearer key-b\r\n")
            .await,
        401
    );
    assert_eq!(
        setup
            .send("/plain/x", "r2", "Authorization: Bearer key-c\r\n")
            .await,
        200
    );
}

#[tokio::test]
async fn invalid_workspaces_leave_the_configuration_in_force() {
    let setup = Setup::start().await;
    let mut invalid = configuration(9, &["key-c"]);
    invalid["tenants"][0]["rate_per_s"] = (-5).into();
    setup.store.put("config", "main", invalid);
    let start = time::Instant::now();
    while !setup.host.log().contains("limit a second -5") {
        assert!(start.elapsed() < TIMEOUT, "{}", setup.host.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert_eq!(
        setup
            .send("/plain/x", "r1", "Authorization: Bearer key-a\r\n")
            .await,
        200
    );
    assert_eq!(
        setup
            .send("/plain/x", "r2", "Authorization: Bearer key-c\r\n")
            .await,
        401
    );
}

#[tokio::test]
async fn workspace_goes_with_a_request_that_another_host_serves() {
    let (store, addr) = store::Store::start().await;
    store.put("config", "main", configuration(3, &["key-a"]));
    let gate = server::Server::start("i-a", None).await;
    gate.register(&store, "gate");
    let link = link::Link::start(gate.addr).await;
    let view = store.start_view(vec![(gate.addr, link.addr)]).await;
    let cut_off = hosts::Host::start(BINARY, "h1", view);
    let helper = hosts::Host::start(BINARY, "h2", addr);
    cut_off.wait_ready().await;
    helper.wait_ready().await;
    link.set(link::State::Reset);
    let headers = "Authorization: Bearer key-a\r\nX-Tenant: south\r\n";
    let start = time::Instant::now();
    for number in 0.. {
        let bytes = caller::request("POST", "/plain/x", &format!("r{number}"), headers, "");
        let answer = caller::send(cut_off.callers_addr, &bytes, TIMEOUT).await;
        if answer.status == 200 {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "{}", cut_off.log());
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    for request in gate.received() {
        assert_eq!(request.headers["x-tenant"], "north");
        assert!(!request.headers.contains_key("authorization"));
    }
    let logs = cut_off.log() + &helper.log();
    assert!(
        logs.contains("passed-on") && !logs.contains("key-a"),
        "{logs}"
    );
}
