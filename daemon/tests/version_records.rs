//! What hosts know of the software versions that began streams: what they tell each other, and the records in
//! the store.

use std::net;
use std::time;

use prost::Message as _;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::store;
use walnuthaven_wire::news;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for a change.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Returns the UDP address to which a host's news are sent.
fn news_addr(host: &hosts::Host) -> net::SocketAddr {
    let settings = std::fs::read_to_string(host.settings_path()).unwrap();
    let addr = settings
        .lines()
        .find_map(|line| line.strip_prefix("news = "));
    addr.unwrap().parse().unwrap()
}

/// Receives the next message.
async fn receive(socket: &tokio::net::UdpSocket) -> news::News {
    let mut buf = [0; 8_192];
    let received = tokio::time::timeout(TIMEOUT, socket.recv_from(&mut buf)).await;
    let (length, _) = received.expect("no message").unwrap();
    news::News::decode(&buf[..length]).unwrap()
}

// A host that never heard of a stream asks the others. Its question must not count as its news: it carries no runs,
// so that all engines would seem to be free.
#[tokio::test]
async fn host_answers_for_streams_that_it_heard_of_and_no_others() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let reply_to = socket.local_addr().unwrap().to_string();
    let told = news::News {
        begun_streams: vec![news::BegunStreams {
            version: "v1".to_owned(),
            streams: vec![7, 9],
            for_ms: vec![9_000, 1],
        }],
        ..news::News::default()
    };
    let query = news::News {
        stream_query: Some(news::StreamQuery {
            reply_to,
            streams: vec![8, 9, 7],
        }),
        ..news::News::default()
    };
    let host_addr = news_addr(&host);
    socket
        .send_to(&told.encode_to_vec(), host_addr)
        .await
        .unwrap();
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    socket
        .send_to(&query.encode_to_vec(), host_addr)
        .await
        .unwrap();
    let answer = receive(&socket).await;
    assert_eq!(answer.begun_streams.len(), 1, "{answer:?}");
    let begun = &answer.begun_streams[0];
    assert_eq!((&*begun.version, &*begun.streams), ("v1", &[7][..]));
    assert!((1..9_000).contains(&begun.for_ms[0]), "{begun:?}");
    assert!(answer.host.is_empty() && answer.runs.is_empty());
    assert!(!host.log().contains("news-unreadable"), "{}", host.log());
}
