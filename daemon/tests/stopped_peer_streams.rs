//! Streams around SIGTERM at hosts that reach engines through others, or are taken for such hosts.

use std::sync;
use std::time;

use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::link;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::stream_calls;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Time for hosts to hear of each other.
const NEWS_TIME: time::Duration = time::Duration::from_millis(1_200);
/// Time for a host to notice that its links are cut.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(2);
const RESUMABLE: &str = "/brief/x";
const NOT_RESUMABLE: &str = "/single/x";

fn secs(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Starts two further hosts. Returns the first one, which reaches engines by the links that are returned last.
async fn start_apart(
    setup: &engine_setup::EngineSetup,
) -> (hosts::Host, hosts::Host, Vec<sync::Arc<link::Link>>) {
    let (mut pairs, mut links) = (Vec::new(), Vec::new());
    for engine in setup.decode_engines.iter().chain([&setup.prefill_engine]) {
        let link = link::Link::start(engine.addr).await;
        pairs.push((engine.addr, link.addr));
        links.push(link);
    }
    let view = setup.store.start_view(pairs).await;
    let apart = hosts::Host::start(BINARY, "h0", view);
    let helper = hosts::Host::start(BINARY, "h2", setup.store_addr);
    apart.wait_ready().await;
    helper.wait_ready().await;
    tokio::time::sleep(NEWS_TIME).await;
    (apart, helper, links)
}

/// Changes a host's links to engines, and has it notice.
async fn set_links(host: &hosts::Host, links: &[sync::Arc<link::Link>], state: link::State) {
    links.iter().for_each(|link| link.set(state));
    stream_calls::send(host.callers_addr, NOT_RESUMABLE, "first".to_owned(), 10).await;
}

/// Guards against streams that are lost because another host serves them, and that one or their own leaves.
#[tokio::test]
async fn stream_through_another_host_is_lost() {
    let own = tokio::spawn(async {
        let setup = stream_calls::start(BINARY, &["i-d1", "i-d2"], 35, 100).await;
        let (own, _other, links) = start_apart(&setup).await;
        set_links(&own, &links, link::State::Reset).await;
        tokio::time::sleep(NOTICE_TIME).await;
        let signalled = stream_calls::leave(&own);
        let sends = [0.0, 0.6, 1.2, 1.8, 2.4].map(|at| {
            let (path, id) = (RESUMABLE, format!("r{at}"));
            stream_calls::send_at(signalled + secs(at), own.callers_addr, path, id, 35)
        });
        let mut streams = Vec::new();
        for send in sends {
            streams.push(send.await.unwrap());
        }
        assert!(own.log().contains("\"passed-on\""), "{}", own.log());
        stream_calls::check(&format!("own: {}", own.log()), &setup, signalled, &streams).await;
    });
    let other = tokio::spawn(async {
        let setup = stream_calls::start(BINARY, &["i-d1", "i-d2"], 95, 100).await;
        let (own, other, links) = start_apart(&setup).await;
        set_links(&own, &links, link::State::Reset).await;
        tokio::time::sleep(NOTICE_TIME).await;
        let now = tokio::time::Instant::now();
        let sending = stream_calls::send_at(now, own.callers_addr, RESUMABLE, "r1".to_owned(), 95);
        setup.wait_for_run("r1").await;
        let placed = "\"placed\",\"id\":\"r1\"";
        let mut helpers = [&setup.host, &other].into_iter();
        let helper = helpers.find(|host| host.log().contains(placed)).unwrap();
        let signalled = stream_calls::leave(helper);
        let stream = sending.await.unwrap();
        let log = format!("other: {}", own.log());
        stream_calls::check(&log, &setup, signalled, [&stream]).await;
        assert!(stream.answer.complete, "{}{}", own.log(), helper.log());
    });
    let (own, other) = tokio::join!(own, other);
    own.and(other).unwrap();
}

/// Guards against streams that are cut because hosts that can open connections were asked for them, and refuse.
#[tokio::test]
async fn stream_is_cut_as_its_engine_refuses_connections_for_a_moment() {
    let setup = stream_calls::start(BINARY, &["i-d1"], 60, 80).await;
    let (own, _other, links) = start_apart(&setup).await;
    let now = tokio::time::Instant::now();
    let id = "r1".to_owned();
    let sending = stream_calls::send_at(now, own.callers_addr, RESUMABLE, id, 60);
    setup.wait_for_run("r1").await;
    let signalled = stream_calls::leave(&own);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    // The engine takes no more, as if it were full.
    setup.set_fault(server::Fault::Shed);
    for state in [link::State::RefusesNew, link::State::Whole] {
        set_links(&own, &links, state).await;
    }
    let stream = sending.await.unwrap();
    let log = format!("refused: {}", own.log());
    stream_calls::check(&log, &setup, signalled, [&stream]).await;
    assert!(stream.answer.complete, "{log}");
}
