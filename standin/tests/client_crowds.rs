//! Crowds of clients that keep to no limit, at the addresses of a host that isn't an entry host. One test runs at a
//! time.

use std::fs;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::process;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::client_crowd;
use walnuthaven_platform_standin::crowd_setup;
use walnuthaven_platform_standin::http2_frames;
use walnuthaven_standin::world;

/// The host's limits.
const LIMITS: &str = "[limits]\nconnections = 450\nmemory = 64MB\nfiles = 1100\n";
const MEMORY: usize = 64_000_000;
const FILES: usize = 1_100;
/// Threads of the host at most: its own, and a few for operators' requests.
const THREADS: usize = 100;
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest time to wait for the host's start, or an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A host process with its stand-ins. Dropping it kills the process.
struct Setup {
    process: process::Child,
    api: net::SocketAddr,
    peer: net::SocketAddr,
    admin: net::SocketAddr,
    _world: world::World,
    _dir: tempfile::TempDir,
}

impl Drop for Setup {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Setup {
    async fn start() -> Self {
        let world = world::World::start(&[world::User::Studio]).await.unwrap();
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("host.ini");
        let url = &world.platform_url;
        let text = world::settings_text("door-1", "palermo", url, "current", &[], None, None);
        fs::write(&path, format!("{text}{LIMITS}")).unwrap();
        // Tests lie in a folder below the one with the programs.
        let exe = std::env::current_exe().unwrap();
        let binary = exe.parent().unwrap().parent().unwrap().join("walnuthavend");
        let mut process = process::Command::new(binary)
            .arg("--config")
            .arg(&path)
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = process.stdout.take().unwrap();
        io::BufReader::new(stdout).read_line(&mut line).unwrap();
        let addr = |key: &str| -> net::SocketAddr {
            let mut words = line.split_whitespace().skip_while(|word| *word != key);
            words.nth(1).unwrap().parse().unwrap()
        };
        let setup = Self {
            api: addr("api"),
            peer: addr("peer"),
            admin: addr("admin"),
            process,
            _world: world,
            _dir: dir,
        };
        let start = time::Instant::now();
        while setup.send().await.status != 200 {
            assert!(start.elapsed() < TIMEOUT, "the host isn't ready");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        setup
    }

    /// Sends an ordinary request.
    async fn send(&self) -> caller::Answer {
        let key = format!("Authorization: Bearer {}\r\n", world::STUDIO_KEY);
        let bytes = request(&key, "pass 7");
        caller::send(self.api, &bytes, TIMEOUT).await
    }

    /// Has a crowd press on an address of the host. Checks that it holds its limits, lives, and answers afterwards.
    async fn check(
        &mut self,
        addr: net::SocketAddr,
        clients: usize,
        script: &client_crowd::Script,
    ) {
        let meter = client_crowd::Meter::start(self.process.id(), &[addr]);
        client_crowd::press(&[addr], clients, script, crowd_setup::PRESS_TIME).await;
        let peaks = meter.stop();
        println!("{peaks:?}");
        let ended = self.process.try_wait().unwrap();
        assert_eq!(ended, None, "the host ended");
        assert!(peaks.memory <= MEMORY, "memory: {peaks:?}");
        assert!(peaks.files <= FILES, "files: {peaks:?}");
        assert!(peaks.threads <= THREADS, "threads: {peaks:?}");
        tokio::time::sleep(SETTLE_TIME).await;
        let answer = self.send().await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
}

/// Formats a request without an id.
fn request(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/services/status/check HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the head of a request with the caller's key, up to its last headers.
fn head() -> String {
    let key = world::STUDIO_KEY;
    format!("POST /v1/services/status/check HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n")
}

async fn check_api(clients: usize, script: client_crowd::Script) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = Setup::start().await;
    let addr = setup.api;
    setup.check(addr, clients, &script).await;
}

async fn check_admin(clients: usize, script: client_crowd::Script) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = Setup::start().await;
    let addr = setup.admin;
    setup.check(addr, clients, &script).await;
}

async fn check_peer(clients: usize, script: client_crowd::Script) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = Setup::start().await;
    let addr = setup.peer;
    setup.check(addr, clients, &script).await;
}

fn endless_head() -> client_crowd::Script {
    client_crowd::Script::new(&format!("{}X-Own: ", head()), &"x".repeat(4_096))
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end() {
    check_api(crowd_setup::CLIENTS, endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blank_lines() {
    check_api(
        crowd_setup::CLIENTS,
        client_crowd::Script::new("", &"\r\n".repeat(2_048)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies() {
    let first = format!("{}Content-Length: 1048576\r\n\r\n", head());
    let script = client_crowd::Script {
        max_bytes: 1_000_000,
        ..client_crowd::Script::new(&first, &"x".repeat(4_096))
    };
    check_api(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_tiny_parts() {
    let first = format!("{}Transfer-Encoding: chunked\r\n\r\n", head());
    check_api(
        crowd_setup::CLIENTS,
        client_crowd::Script::new(&first, &"1\r\nx\r\n".repeat(700)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_over_http2() {
    let key = format!("Bearer {}", world::STUDIO_KEY);
    let headers = [("authorization", &*key)];
    let path = "/v1/services/status/check";
    let script = client_crowd::Script {
        first: http2_frames::unfinished_bodies(path, &headers, 15, &[b'x'; 60_000]),
        ..client_crowd::Script::new("", "")
    };
    check_api(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead() {
    let request = format!("{}Content-Length: 0\r\n\r\n", head());
    let script = client_crowd::Script {
        reading: client_crowd::Reading::Nothing,
        ..client_crowd::Script::new("", &request.repeat(20))
    };
    check_api(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request() {
    check_api(crowd_setup::MANY_CLIENTS, client_crowd::Script::new("", "")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_kept_after_a_request() {
    let request = format!("{}Content-Length: 0\r\n\r\n", head());
    check_api(
        crowd_setup::MANY_CLIENTS,
        client_crowd::Script::new(&request, ""),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_for_operators() {
    check_admin(crowd_setup::CLIENTS, endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_of_operators() {
    check_admin(crowd_setup::MANY_CLIENTS, client_crowd::Script::new("", "")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_as_other_hosts() {
    check_peer(crowd_setup::MANY_CLIENTS, client_crowd::Script::new("", "")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_calls_of_strangers() {
    let script = client_crowd::Script {
        first: http2_frames::unfinished_calls("/walnuthaven.peer.v1.Peer/Probe"),
        ..client_crowd::Script::new("", "")
    };
    check_peer(crowd_setup::CLIENTS, script).await;
}
