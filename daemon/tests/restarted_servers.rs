//! Requests that crash servers which start again at their addresses.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::crash_soak;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;
use walnuthaven_platform_standin::supervisor;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long callers repeat the content: long enough for many waves of crashes.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(12);
/// A supervisor's time to start a process again.
const PROMPT_RESTART: time::Duration = time::Duration::from_millis(5);
/// Time that a machine takes to start a server again.
const SLOW_RESTART: time::Duration = time::Duration::from_millis(3_400);

/// Longer than a host takes to probe a server.
const PROBE_TIME: time::Duration = time::Duration::from_millis(250);

/// A store, two hosts, and supervised servers of the service `gate`.
struct Setup {
    hosts: Vec<hosts::Host>,
    supervisor: sync::Arc<supervisor::Supervisor>,
    store: sync::Arc<store::Store>,
}

impl Setup {
    async fn new(servers: usize, fault: server::Fault, policy: supervisor::RestartPolicy) -> Self {
        let (store, addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let supervisor = supervisor::Supervisor::new(store.clone(), "gate");
        for number in 0..servers {
            let server = server::Server::start(&format!("i-{number}"), None).await;
            server.set_fault(fault);
            supervisor.supervise(server, policy);
        }
        let hosts = ["h1", "h2"].map(|name| hosts::Host::start(BINARY, name, addr));
        for host in &hosts {
            host.wait_ready().await;
        }
        Self {
            hosts: hosts.into(),
            supervisor,
            store,
        }
    }

    /// Like [`Setup::new`], with engines of the service `scribe` that generate tokens, and one that prefills.
    async fn engines(count: usize, policy: supervisor::RestartPolicy) -> Self {
        let (store, addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let prefill = server::Server::start("i-p", Some("prefill")).await;
        prefill.register(&store, "scribe");
        let supervisor = supervisor::Supervisor::new(store.clone(), "scribe");
        for number in 0..count {
            let engine = server::Server::start(&format!("i-{number}"), Some("decode")).await;
            engine.set_fault(server::Fault::CrashOnPoison);
            supervisor.supervise(engine, policy);
        }
        let hosts = ["h1", "h2"].map(|name| hosts::Host::start(BINARY, name, addr));
        for host in &hosts {
            host.wait_ready().await;
        }
        Self {
            hosts: hosts.into(),
            supervisor,
            store,
        }
    }

    async fn send(&self, host: usize, path: &str, id: &str, body: &str) -> caller::Answer {
        let bytes = caller::request("POST", path, id, "", body);
        caller::send(self.hosts[host].callers_addr, &bytes, TIMEOUT).await
    }

    /// Sends the same crashing content to the hosts in turn, until it is refused for good or `REPEAT_TIME` has
    /// passed.
    async fn repeat_poison(&self, path: &str, pause: time::Duration) {
        let start = time::Instant::now();
        let mut number = 0;
        while start.elapsed() < REPEAT_TIME {
            let host = number % self.hosts.len();
            self.send(host, path, &format!("p{number}"), "poison").await;
            number += 1;
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends poison to one path, each time with the query that `query` returns for the number of the request and the
    /// time since the first one, until `REPEAT_TIME` has passed.
    async fn repeat_with_queries(&self, query: impl Fn(usize, time::Duration) -> String) {
        let start = time::Instant::now();
        let mut number = 0;
        while start.elapsed() < REPEAT_TIME {
            let path = format!("/plain/x?{}", query(number, start.elapsed()));
            let host = number % self.hosts.len();
            self.send(host, &path, &format!("p{number}"), "poison")
                .await;
            number += 1;
            tokio::time::sleep(time::Duration::from_millis(60)).await;
        }
    }

    async fn send_from(&self, number: u8, host: usize, id: &str, body: &str) -> caller::Answer {
        let bytes = caller::request("POST", "/plain/x", id, "", body);
        caller::send_from(number, self.hosts[host].callers_addr, &bytes, TIMEOUT).await
    }

    /// Sends poison to one path from ever other addresses, until `REPEAT_TIME` has passed.
    async fn repeat_from_addresses(&self, path: &str, pause: time::Duration) {
        let start = time::Instant::now();
        let mut number = 0;
        while start.elapsed() < REPEAT_TIME {
            let id = format!("p{number}");
            let bytes = caller::request("POST", path, &id, engine_setup::PROMPT, "poison");
            let host = self.hosts[number % self.hosts.len()].callers_addr;
            // An address sends what was refused once more.
            let address = 2 + (number / 2 % 200) as u8;
            caller::send_from(address, host, &bytes, TIMEOUT).await;
            number += 1;
            tokio::time::sleep(pause).await;
        }
    }

    /// Waits until the servers that crashed are back, and asserts that a path with sound queries is served.
    async fn assert_sound_queries_served(&self) {
        tokio::time::sleep(SLOW_RESTART + time::Duration::from_millis(800)).await;
        for number in 0..10 {
            let (path, id) = (format!("/plain/x?q={number}"), format!("s{number}"));
            let answer = self.send(number % 2, &path, &id, "").await;
            assert_eq!(answer.status, 200, "{id}: {answer:?}\n{}", self.log());
        }
    }

    /// Asserts that the content crashed three servers, and that no more than the tolerated number of its runs
    /// came after the hosts had time to notice.
    fn assert_refused_in_time(&self) {
        let runs = self.supervisor.runs("p");
        assert!(runs.len() >= 3, "{} crashes", runs.len());
        let runs: Vec<_> = runs.into_iter().map(|at| (0, at)).collect();
        let late = crash_soak::sends_after_refusal_was_due(&runs, |_, _| true);
        assert_eq!(late, None, "{} crashes\n{}", runs.len(), self.log());
    }

    /// Returns what the hosts logged of crashes.
    fn log(&self) -> String {
        let logs = self.hosts.iter().map(|host| host.log());
        let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        let of_crashes = lines.filter(|line| line.contains("crash"));
        of_crashes.collect::<Vec<_>>().join("\n")
    }
}

// All servers crash, start again under new ids some seconds later, and crash again.
#[tokio::test]
async fn content_that_crashes_a_whole_service_is_refused_when_it_is_back() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let setup = Setup::new(3, server::Fault::CrashOnPoison, policy).await;
    let pause = time::Duration::from_millis(60);
    setup.repeat_poison("/plain/x", pause).await;
    setup.assert_refused_in_time();
}

// A crash must count although another process listens at the address before anyone looks.
#[tokio::test]
async fn crashes_of_servers_that_restart_at_once_under_new_ids_are_counted() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: PROMPT_RESTART,
    };
    let setup = Setup::new(3, server::Fault::CrashOnPoison, policy).await;
    let pause = time::Duration::from_millis(150);
    setup.repeat_poison("/plain/x", pause).await;
    setup.assert_refused_in_time();
}

#[tokio::test]
async fn crashes_of_servers_that_restart_at_once_under_their_ids_are_counted() {
    let policy = supervisor::RestartPolicy {
        keeps_id: true,
        delay: PROMPT_RESTART,
    };
    let setup = Setup::new(2, server::Fault::CrashOnPoison, policy).await;
    let pause = time::Duration::from_millis(150);
    setup.repeat_poison("/once/x", pause).await;
    setup.assert_refused_in_time();
}

// The second crash of a server under its id is that of another process than the first.
#[tokio::test]
async fn each_crash_of_a_server_that_restarts_under_its_id_is_counted() {
    let policy = supervisor::RestartPolicy {
        keeps_id: true,
        delay: time::Duration::from_millis(400),
    };
    let setup = Setup::new(1, server::Fault::CrashOnPoison, policy).await;
    let pause = time::Duration::from_millis(1_000);
    setup.repeat_poison("/once/x", pause).await;
    setup.assert_refused_in_time();
}

// Connections that a crash left open say nothing: the process behind them is gone.
#[tokio::test]
async fn crash_counts_although_other_connections_stay_open() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let fault = server::Fault::CloseOneConnectionOnPoison;
    let setup = Setup::new(3, fault, policy).await;
    let start = time::Instant::now();
    let mut number = 0;
    while start.elapsed() < REPEAT_TIME {
        // Concurrent requests leave idle connections to the servers.
        let harmless: Vec<String> = (0..30).map(|i| format!("n{number}-{i}")).collect();
        let sends = harmless.iter().enumerate();
        let sends = sends.map(|(i, id)| setup.send(i % 2, "/plain/x", id, id));
        futures_util::future::join_all(sends).await;
        let id = format!("p{number}");
        setup.send(number % 2, "/plain/x", &id, "poison").await;
        number += 1;
    }
    setup.assert_refused_in_time();
}

// Until it is known whether servers crashed, the content must not be sent to ever more of them.
#[tokio::test]
async fn content_is_not_sent_on_while_its_crashes_are_checked() {
    let policy = supervisor::RestartPolicy {
        keeps_id: true,
        delay: PROMPT_RESTART,
    };
    let setup = Setup::new(2, server::Fault::CrashOnPoison, policy).await;
    // The entries of the servers tell nothing.
    setup.store.silent.store(true, atomic::Ordering::Relaxed);
    for number in 0..10 {
        setup
            .send(0, "/once/x", &format!("p{number}"), "poison")
            .await;
        tokio::time::sleep(PROBE_TIME).await;
    }
    let answer = setup.send(0, "/once/x", "q", "poison").await;
    let told = (answer.status, answer.header("retry-after"));
    assert_eq!(told, (503, Some("1.000")), "{answer:?}\n{}", setup.log());
    let harmless = setup.send(0, "/once/x", "n", "pass").await;
    assert_eq!(harmless.status, 200, "{harmless:?}");
    let crashes = setup.supervisor.crashes();
    assert_eq!(crashes, 3, "crashes\n{}", setup.log());
}

// A success shows that the content isn't what broke the attempts before.
#[tokio::test]
async fn content_is_sent_on_after_it_was_answered() {
    let policy = supervisor::RestartPolicy {
        keeps_id: true,
        delay: PROMPT_RESTART,
    };
    let setup = Setup::new(1, server::Fault::CloseUnanswered, policy).await;
    let server = setup.supervisor.servers()[0].clone();
    for round in 0..3 {
        server.set_fault(server::Fault::CloseUnanswered);
        for number in 0..2 {
            let id = format!("b{round}-{number}");
            let answer = setup.send(0, "/once/x", &id, "pass").await;
            assert_eq!(answer.status, 502, "{answer:?}");
        }
        server.set_fault(server::Fault::None);
        let answer = setup.send(0, "/once/x", &format!("n{round}"), "pass").await;
        assert_eq!(answer.status, 200, "{answer:?}\n{}", setup.log());
    }
}

// A server that ends takes all of its requests with it, which is one crash.
#[tokio::test]
async fn concurrent_attempts_at_a_server_count_as_one_crash() {
    let policy = supervisor::RestartPolicy {
        keeps_id: true,
        delay: PROMPT_RESTART,
    };
    let setup = Setup::new(1, server::Fault::CloseUnanswered, policy).await;
    setup.supervisor.servers()[0]
        .delay_ms
        .store(100, atomic::Ordering::Relaxed);
    let ids: Vec<String> = (0..5).map(|number| format!("b{number}")).collect();
    let sends = ids.iter().map(|id| setup.send(0, "/once/x", id, "pass"));
    for answer in futures_util::future::join_all(sends).await {
        assert_eq!(answer.status, 502, "{answer:?}");
    }
    let answer = setup.send(0, "/once/x", "again", "pass").await;
    assert_eq!(answer.status, 502, "{answer:?}\n{}", setup.log());
}

// The entry of an ended process lapses seconds after another one listens at its address.
#[tokio::test]
async fn requests_go_to_the_processes_that_took_the_place_of_ended_ones() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: time::Duration::from_secs(1),
    };
    let setup = Setup::new(3, server::Fault::None, policy).await;
    for server in setup.supervisor.servers() {
        server.crash();
    }
    let crashed_at = time::Instant::now();
    // The servers are back, and the hosts have seen their entries.
    tokio::time::sleep(policy.delay + time::Duration::from_millis(700)).await;
    let before_lapse = supervisor::LAPSE_TIME - time::Duration::from_millis(300);
    let mut number = 0;
    while crashed_at.elapsed() < before_lapse {
        let (host, id) = (number % setup.hosts.len(), format!("n{number}"));
        let answer = setup.send(host, "/once/x", &id, &id).await;
        assert_eq!(
            answer.status,
            200,
            "{id}: {answer:?}\n{}",
            setup.hosts[host].log()
        );
        number += 1;
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let misdirected = setup
        .supervisor
        .servers()
        .iter()
        .flat_map(|s| s.received())
        .filter(|r| !r.ran)
        .count();
    assert_eq!(
        misdirected, 0,
        "of {number} requests went to ended processes"
    );
}

// What crashes servers is recognised by caller, path and body. Another query mustn't make it new content.
#[tokio::test]
async fn content_that_comes_each_time_with_another_query_is_refused() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let setup = Setup::new(3, server::Fault::CrashOnPoison, policy).await;
    setup
        .repeat_with_queries(|number, _| format!("page={number}"))
        .await;
    setup.assert_refused_in_time();
}

// The callers repeat a request with its query, and come back with another one when the servers are back.
#[tokio::test]
async fn content_that_comes_with_another_query_when_the_servers_are_back_is_refused() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let setup = Setup::new(3, server::Fault::CrashOnPoison, policy).await;
    setup
        .repeat_with_queries(|_, elapsed| format!("page={}", elapsed.as_millis() / 2_000))
        .await;
    setup.assert_refused_in_time();
}

// One query that crashes servers says nothing of the others.
#[tokio::test]
async fn other_queries_are_served_while_one_is_refused() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let setup = Setup::new(6, server::Fault::CrashOnPoison, policy).await;
    for number in 0..12 {
        let id = format!("p{number}");
        setup.send(number % 2, "/plain/x?q=poison", &id, "").await;
        tokio::time::sleep(PROBE_TIME).await;
    }
    setup.assert_refused_in_time();
    setup.assert_sound_queries_served().await;
}

// Answers to other queries don't show that one is harmless.
#[tokio::test]
async fn query_that_crashes_servers_is_refused_between_answered_ones() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let setup = Setup::new(6, server::Fault::CrashOnPoison, policy).await;
    for number in 0..40 {
        let (host, id) = (number % 2, format!("s{number}"));
        let path = format!("/plain/x?q={number}");
        setup.send(host, &path, &id, "").await;
        let id = format!("p{number}");
        setup.send(host, "/plain/x?q=poison", &id, "").await;
        tokio::time::sleep(PROBE_TIME).await;
    }
    setup.assert_refused_in_time();
    setup.assert_sound_queries_served().await;
}

// What crashes servers does so whoever sends it, and callers may come from several addresses.
#[tokio::test]
async fn content_that_comes_from_other_addresses_is_refused() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let setup = Setup::new(3, server::Fault::CrashOnPoison, policy).await;
    let pause = time::Duration::from_millis(60);
    setup.repeat_from_addresses("/plain/x", pause).await;
    setup.assert_refused_in_time();
}

// The same for streams, of which engines crash as they begin.
#[tokio::test]
async fn prompts_that_come_from_other_addresses_are_refused() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    for path in ["/brief/x", "/single/x"] {
        let setup = Setup::engines(5, policy).await;
        let pause = time::Duration::from_millis(100);
        setup.repeat_from_addresses(path, pause).await;
        setup.assert_refused_in_time();
    }
}

// Content that many callers ask for is in flight wherever a server ends, and isn't what ended it.
#[tokio::test]
async fn content_of_many_callers_is_served_when_servers_are_back_that_ended_otherwise() {
    let policy = supervisor::RestartPolicy {
        keeps_id: false,
        delay: SLOW_RESTART,
    };
    let setup = Setup::new(3, server::Fault::None, policy).await;
    for server in setup.supervisor.servers() {
        server.delay_ms.store(60, atomic::Ordering::Relaxed);
    }
    let ids: Vec<String> = (0..24).map(|number| format!("m{number}")).collect();
    let send_all = || {
        let sends = ids.iter().enumerate();
        let sends = sends.map(|(n, id)| setup.send_from(2 + n as u8, n % 2, id, "status"));
        futures_util::future::join_all(sends)
    };
    let crash_all = async {
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        setup.supervisor.servers().iter().for_each(|s| s.crash());
    };
    for answer in send_all().await {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    tokio::join!(send_all(), crash_all);
    tokio::time::sleep(SLOW_RESTART + time::Duration::from_secs(1)).await;
    let served = send_all().await.into_iter().filter(|a| a.status == 200);
    let served = served.count();
    assert!(
        served * 3 >= ids.len() * 2,
        "{served} of 24 served\n{}",
        setup.log()
    );
    for answer in send_all().await {
        assert_eq!(answer.status, 200, "{answer:?}\n{}", setup.log());
    }
}
