//! Crowds of clients that keep to no limit, at the other addresses of an entry host. One test runs at a time.

use std::net;
use std::time;

use walnuthaven_platform_standin::client_crowd;
use walnuthaven_platform_standin::crowd_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::http2_frames;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Time for hosts to hear of each other.
const NEWS_TIME: time::Duration = time::Duration::from_millis(1_200);

/// Chooses addresses of a host.
type Addrs = fn(&hosts::Host) -> Vec<net::SocketAddr>;

fn directory(host: &hosts::Host) -> Vec<net::SocketAddr> {
    vec![host.directory_addr]
}

fn metrics(host: &hosts::Host) -> Vec<net::SocketAddr> {
    vec![host.metrics_addr]
}

fn peers(host: &hosts::Host) -> Vec<net::SocketAddr> {
    vec![host.peer_addr()]
}

fn all(host: &hosts::Host) -> Vec<net::SocketAddr> {
    vec![
        host.callers_addr,
        host.directory_addr,
        host.metrics_addr,
        host.peer_addr(),
    ]
}

/// Starts a host and checks that it bears a crowd that follows a script at some of its addresses.
async fn check(addrs: Addrs, clients: usize, script: client_crowd::Script) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = crowd_setup::CrowdSetup::start(BINARY).await;
    let addrs = addrs(&setup.host);
    setup.check(&addrs, clients, &script).await;
}

fn endless_head() -> client_crowd::Script {
    client_crowd::Script::new(
        "GET /metrics HTTP/1.1\r\nHost: h\r\nX-Own: ",
        &"x".repeat(4_096),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_for_addresses() {
    check(directory, crowd_setup::CLIENTS, endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_for_metrics() {
    check(metrics, crowd_setup::CLIENTS, endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blank_lines_for_addresses() {
    let script = client_crowd::Script::new("", &"\r\n".repeat(2_048));
    check(directory, crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_for_metrics() {
    let first = "POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n";
    check(
        metrics,
        crowd_setup::CLIENTS,
        client_crowd::Script::new(first, &"x".repeat(4_096)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_metrics() {
    let request = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    let script = client_crowd::Script {
        reading: client_crowd::Reading::Nothing,
        ..client_crowd::Script::new("", &request.repeat(20))
    };
    check(metrics, crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_addresses() {
    let request =
        "GET /walnuthaven/resolve?name=h.example&region=r&zone=z1 HTTP/1.1\r\nHost: h\r\n\r\n";
    let script = client_crowd::Script {
        reading: client_crowd::Reading::Nothing,
        ..client_crowd::Script::new("", &request.repeat(20))
    };
    check(directory, crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_all_addresses() {
    check(
        all,
        crowd_setup::MANY_CLIENTS,
        client_crowd::Script::new("", ""),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_as_other_hosts() {
    check(
        peers,
        crowd_setup::MANY_CLIENTS,
        client_crowd::Script::new("", ""),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_as_other_hosts() {
    let mut first = http2_frames::preface();
    first.extend(http2_frames::unfinished_head(1, "/x"));
    let script = client_crowd::Script {
        first,
        repeated: http2_frames::continuation(1),
        ..client_crowd::Script::new("", "")
    };
    check(peers, crowd_setup::CLIENTS, script).await;
}

/// Returns a script that begins several calls, whose long messages never end.
fn unfinished_calls() -> client_crowd::Script {
    client_crowd::Script {
        first: http2_frames::unfinished_calls("/walnuthaven.forward.v1.Forward/Serve"),
        ..client_crowd::Script::new("", "")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_calls_of_strangers() {
    check(peers, crowd_setup::CLIENTS, unfinished_calls()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_calls_from_the_address_of_a_host() {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = crowd_setup::CrowdSetup::start(BINARY).await;
    let other = hosts::Host::start(BINARY, "h2", setup.store_addr);
    other.wait_ready().await;
    tokio::time::sleep(NEWS_TIME).await;
    let addrs = peers(&setup.host);
    setup
        .check(&addrs, crowd_setup::CLIENTS, &unfinished_calls())
        .await;
}
