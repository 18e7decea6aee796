//! News between hosts: one datagram that holds all that the others need to know of a host.

use std::io;
use std::sync;
use std::time;

use prost::Message as _;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::peers;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::events::event;

/// Shortest time between two messages: what happens within it goes out together.
const GAP: time::Duration = time::Duration::from_millis(2);
/// Most runs in a message, so that it stays within one packet.
const MAX_RUNS: usize = 32;
/// Most avoided servers in a message.
const MAX_AVOIDED: usize = 16;
/// A host that avoids more than this part of all servers has lost its own links.
const TRUSTED_AVOIDED: usize = 3;
const MAX_DATAGRAM: usize = 4_096;

/// Starts to send and take news.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) async fn spawn<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
) -> io::Result<()> {
    let socket = tokio::net::UdpSocket::bind(cx.settings().news_addr).await?;
    let socket = sync::Arc::new(socket);
    tokio::spawn(tell(cx.clone(), socket.clone()));
    tokio::spawn(listen(cx.clone(), socket));
    Ok(())
}

async fn tell<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    socket: sync::Arc<tokio::net::UdpSocket>,
) {
    let mut sequence = 0;
    loop {
        // A time-out means that nothing happened.
        let _ = tokio::time::timeout(peers::NEWS_INTERVAL, cx.news_due.notified()).await;
        sequence += 1;
        let message = own_news(&cx, sequence).encode_to_vec();
        let addresses: Vec<_> = locks::lock(&cx.peers).news_addrs(&cx.id.name).collect();
        for addr in addresses {
            // A host that can't be reached is found by its silence.
            let _ = socket.try_send_to(&message, addr);
        }
        tokio::time::sleep(GAP).await;
    }
}

fn own_news<D: dialect::Dialect>(cx: &context::Router<D>, sequence: u64) -> news::News {
    let now = cx.now();
    let settings = cx.settings();
    let age = |at| clock::millis(now.saturating_sub(at)) as u32;
    let avoided = locks::lock(&cx.health)
        .avoided(now)
        .take(MAX_AVOIDED)
        .map(|(server, left)| news::Avoided {
            server: server.to_string(),
            for_ms: clock::millis(left) as u32,
        })
        .collect();
    let (waiting, on_time) = {
        let queues = locks::lock(&cx.wait_queues);
        let waiting: usize = queues.values().map(|queue| queue.len()).sum();
        let on_time: usize = queues.values().map(|queue| queue.count_on_time(now)).sum();
        (waiting, on_time)
    };
    let room = locks::lock(&cx.engine_load);
    let runs = room.runs_of(&cx.work_owner).map(|(number, run)| news::Run {
        number,
        engine: run.engine.to_string(),
        prompt: run.prompt,
        output: run.output,
        made: run.generated,
        age_ms: age(run.as_of),
    });
    let prefills = room
        .prefills_of(&cx.work_owner)
        .map(|(number, prefill)| news::Prefill {
            number,
            engine: prefill.engine.to_string(),
            tokens: prefill.tokens,
            age_ms: age(prefill.sent_at),
        });
    news::News {
        host: cx.id.name.to_string(),
        incarnation: cx.id.incarnation,
        sequence,
        callers: settings.callers_addr.to_string(),
        news: settings.news_addr.to_string(),
        takes_callers: cx.takes_callers(),
        config_version: cx.table().map_or(0, |table| table.version),
        waiting: waiting as u32,
        waiting_on_time: on_time as u32,
        runs: runs.take(MAX_RUNS).collect(),
        prefills: prefills.take(MAX_RUNS).collect(),
        avoided,
        crash_marks: crash_marks::recent_changes(cx),
    }
}

async fn listen<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    socket: sync::Arc<tokio::net::UdpSocket>,
) {
    let mut buf = [0; MAX_DATAGRAM];
    loop {
        let received = match socket.recv_from(&mut buf).await {
            Ok((length, _)) => news::News::decode(&buf[..length]),
            Err(error) => {
                event!(Warn, "news-failed", "cause" => error.to_string());
                tokio::time::sleep(GAP).await;
                continue;
            }
        };
        match received {
            Ok(message) => take(&cx, message),
            Err(error) => event!(Warn, "news-unreadable", "cause" => error.to_string()),
        }
    }
}

fn take<D: dialect::Dialect>(cx: &context::Router<D>, message: news::News) {
    let (Ok(callers), Ok(addr)) = (message.callers.parse(), message.news.parse()) else {
        event!(Warn, "news-unreadable", "cause" => "address");
        return;
    };
    let now = cx.now();
    let name: sync::Arc<str> = message.host.as_str().into();
    if name == cx.id.name {
        return;
    }
    let listed = peers::PeerEntry {
        name: name.clone(),
        incarnation: message.incarnation,
        caller_addr: callers,
        news_addr: addr,
    };
    let said = peers::PeerStatus {
        sequence: message.sequence,
        takes_callers: message.takes_callers,
        config_version: message.config_version,
        waiting: message.waiting,
        waiting_on_time: message.waiting_on_time,
    };
    let fresh = locks::lock(&cx.peers).record_news(listed, said, now);
    if !fresh {
        return;
    }
    let since = |age: u32| now.saturating_sub(time::Duration::from_millis(age.into()));
    let runs = message.runs.into_iter().map(|run| {
        let known = engine_load::Run {
            engine: run.engine.into(),
            prompt: run.prompt,
            output: run.output,
            generated: run.made,
            as_of: since(run.age_ms),
        };
        (run.number, known)
    });
    let prefills = message.prefills.into_iter().map(|prefill| {
        let known = engine_load::Prefill {
            engine: prefill.engine.into(),
            tokens: prefill.tokens,
            sent_at: since(prefill.age_ms),
        };
        (prefill.number, known)
    });
    locks::lock(&cx.engine_load).replace_host(&name, runs.collect(), prefills.collect(), now);
    take_avoided(cx, &message.avoided, now);
    crash_marks::merge_received(cx, message.crash_marks);
    cx.engine_load_changed.notify_waiters();
    if message.config_version > cx.table().map_or(0, |table| table.version) {
        cx.table_outdated.notify_one();
    }
}

/// Avoids the servers that another host found failing, for at most as long as it does.
fn take_avoided<D: dialect::Dialect>(
    cx: &context::Router<D>,
    avoided: &[news::Avoided],
    now: time::Duration,
) {
    if avoided.len() * TRUSTED_AVOIDED > locks::lock(&cx.servers).count() {
        return;
    }
    let mut health = locks::lock(&cx.health);
    for entry in avoided {
        let until = now + time::Duration::from_millis(entry.for_ms.into());
        health.record_peer_avoidance(&entry.server, until, now);
    }
}

/// Drops hosts that fell silent, with what ran there: engines drop the requests of a host that is
/// gone.
pub(crate) fn expire<D: dialect::Dialect>(cx: &context::Router<D>) {
    let silent = locks::lock(&cx.peers).expire(cx.now());
    for name in silent {
        event!(Warn, "dependency-lost", "dependency" => "host", "host" => name);
        locks::lock(&cx.engine_load).forget_host(&name);
        cx.engine_load_changed.notify_waiters();
    }
}
