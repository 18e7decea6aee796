//! News between hosts: each host sends its state to the other hosts of its group, in one UDP
//! datagram per message.
//!
//! A host sends its whole state at regular intervals, up to the limits below, and when it changes. As runs and
//! prefills change several times a second, only the changes of these are told in between; the next whole
//! state makes up for a lost message.

use std::io;
use std::sync;
use std::time;

use prost::Message as _;
use walnuthaven_lib::announced_work;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::news_pacing;
use walnuthaven_lib::peers;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::events::event;
use crate::router::links;
use crate::router::plain_room;
use crate::router::server_choice;
use crate::router::server_limits;
use crate::router::server_notices;
use crate::router::stream_record_store;
use crate::router::stream_versions;
use crate::router::workspace_limits;

/// Shortest time between two messages. Changes within that time are sent together.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// Maximum number of runs in a message, and of prefills, so that it fits into one packet.
const MAX_WORK_ITEMS: usize = 32;
/// Maximum number of avoided servers in a message.
const MAX_AVOIDED: usize = 16;
/// If a message lists more than one in this many of all servers as avoided, that list is ignored: the
/// sender has probably lost its own network links.
const MAX_AVOIDED_DIVISOR: usize = 3;
/// One message in this many has the zone, which never changes: messages are many, and bytes between zones cost.
const ZONE_INTERVAL: u64 = 16;
/// Size in bytes of the receive buffer.
const MAX_DATAGRAM: usize = 8_192;

/// Starts the tasks that send and receive news.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) async fn spawn<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
) -> io::Result<()> {
    let socket = tokio::net::UdpSocket::bind(cx.settings().news_addr).await?;
    let socket = sync::Arc::new(socket);
    tokio::spawn(send_loop(cx.clone(), socket.clone()));
    tokio::spawn(stream_versions::query_loop(cx.clone(), socket.clone()));
    tokio::spawn(receive_loop(cx.clone(), socket));
    Ok(())
}

/// The work of this host that its last message told, whether as a state or as changes.
#[derive(Debug, Default)]
struct Announced {
    runs: announced_work::AnnouncedWork,
    prefills: announced_work::AnnouncedWork,
}

/// Sends the whole state at least every `peers::NEWS_INTERVAL`, and soon after `news_due` is signalled, and
/// changes of work when `work_changed` is.
async fn send_loop<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    socket: sync::Arc<tokio::net::UdpSocket>,
) {
    let mut sequence = 0;
    let mut announced = Announced::default();
    let mut pacing = news_pacing::Pacing::default();
    loop {
        let addresses: Vec<_> = locks::lock(&cx.peers).news_addrs(&cx.id.name).collect();
        let mut due_at = pacing.due_at(addresses.len());
        if plain_room::any_short(&cx) {
            due_at = due_at.min(pacing.hurried_at(addresses.len()));
        }
        let until_state = due_at.saturating_sub(cx.now());
        let is_state = tokio::select! {
            biased;
            () = cx.news_due.notified() => {
                pacing.record_change();
                continue;
            }
            () = tokio::time::sleep(until_state) => true,
            () = cx.work_changed.notified() => false,
        };
        sequence += 1;
        let mut state = build_message(&cx, sequence);
        let mut changes = build_changes(&state, &mut announced);
        if is_state {
            pacing.record_sent(cx.now());
            add_announcements(&cx, &mut state);
        } else if let Some(changes) = &mut changes.work_changes {
            changes.workspace_use = workspace_limits::changes(&cx);
        }
        let changes = changes.encode_to_vec();
        let state = state.encode_to_vec();
        for (addr, applies_changes) in addresses {
            let message = match !is_state && applies_changes {
                true => &changes,
                false => &state,
            };
            // Send errors are ignored: a host that can't be reached counts as gone once its own news
            // stop.
            let _ = socket.try_send_to(message, addr);
            cx.telemetry.add("news.bytes", message.len() as u64);
        }
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

/// Adds what is announced at times of its own, so that it is in some of the states only.
fn add_announcements<D: dialect::Dialect>(cx: &context::Router<D>, state: &mut news::News) {
    state.crash_marks = crash_marks::next_announced(cx);
    state.served_versions = stream_versions::served(cx);
    workspace_limits::add_state(cx, state);
    plain_room::add_announced(cx, &mut state.demand);
    state.server_answers = server_choice::announced(cx);
}

/// Makes the message that tells only how the work in `state` differs from what was announced, and records that it is
/// announced now, also if the state itself is sent.
fn build_changes(state: &news::News, announced: &mut Announced) -> news::News {
    let runs = announced
        .runs
        .announce(state.runs.iter().map(|run| run.number));
    let prefills = announced
        .prefills
        .announce(state.prefills.iter().map(|prefill| prefill.number));
    let new_runs = state
        .runs
        .iter()
        .filter(|run| runs.added.contains(&run.number));
    let new_prefills = state
        .prefills
        .iter()
        .filter(|prefill| prefills.added.contains(&prefill.number));
    let work_changes = news::WorkChanges {
        host: state.host.clone(),
        incarnation: state.incarnation,
        sequence: state.sequence,
        waiting: state.waiting,
        waiting_on_time: state.waiting_on_time,
        runs: new_runs.cloned().collect(),
        prefills: new_prefills.cloned().collect(),
        ended_runs: runs.ended,
        ended_prefills: prefills.ended,
        workspace_use: Vec::new(),
    };
    news::News {
        work_changes: Some(work_changes),
        begun_streams: state.begun_streams.clone(),
        saved_streams: state.saved_streams.clone(),
        ..news::News::default()
    }
}

/// Makes the message that describes this host's state, without what [`add_announcements`] adds.
fn build_message<D: dialect::Dialect>(cx: &context::Router<D>, sequence: u64) -> news::News {
    let now = cx.now();
    let settings = cx.settings();
    let age = |at| clock::millis(now.saturating_sub(at)) as u32;
    let avoided = locks::lock(&cx.health)
        .avoided(now)
        .take(MAX_AVOIDED)
        .map(|(server, remaining)| news::Avoided {
            server: server.to_string(),
            for_ms: clock::millis(remaining) as u32,
        })
        .collect();
    let (waiting, on_time) = {
        let queues = locks::lock(&cx.wait_queues);
        let waiting: usize = queues.values().map(|queue| queue.len()).sum();
        let on_time: usize = queues.values().map(|queue| queue.count_on_time(now)).sum();
        (waiting, on_time)
    };
    let engine_load = locks::lock(&cx.engine_load);
    let runs = engine_load
        .runs_of(&cx.work_owner)
        .map(|(number, run)| news::Run {
            number,
            engine: run.engine.to_string(),
            prompt: run.prompt,
            output: run.output,
            made: run.generated,
            age_ms: age(run.as_of),
        });
    let prefills = engine_load
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
        runs: runs.take(MAX_WORK_ITEMS).collect(),
        prefills: prefills.take(MAX_WORK_ITEMS).collect(),
        avoided,
        crash_marks: Vec::new(),
        begun_streams: stream_versions::next_announced(cx),
        stream_query: None,
        served_versions: Vec::new(),
        server_limits: server_limits::announced(cx),
        demand: server_limits::announced_demand(cx),
        zone: match sequence % ZONE_INTERVAL {
            1 => settings.zone.to_string(),
            _ => String::new(),
        },
        serves_for_others: true,
        unreached_services: links::unreached_services(cx),
        leaving_servers: server_notices::announced(cx),
        work_changes: None,
        applies_work_changes: true,
        keeps_workspace_limits: false,
        workspace_use: Vec::new(),
        saved_streams: stream_record_store::next_announced(cx),
        server_answers: Vec::new(),
        servers_revision: cx.renewals.servers_revision(),
    }
}

/// Receives the news of other hosts.
async fn receive_loop<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    socket: sync::Arc<tokio::net::UdpSocket>,
) {
    let mut buf = [0; MAX_DATAGRAM];
    loop {
        let received = match socket.recv_from(&mut buf).await {
            Ok((length, _)) => news::News::decode(&buf[..length]),
            Err(error) => {
                event!(Warn, "news-failed", "cause" => error.to_string());
                tokio::time::sleep(MIN_INTERVAL).await;
                continue;
            }
        };
        match received {
            Ok(mut message) => {
                // Versions of streams never change, so they are as good in a message that is out of order.
                stream_versions::merge_received(&cx, std::mem::take(&mut message.begun_streams));
                stream_record_store::record_saved(&cx, std::mem::take(&mut message.saved_streams));
                stream_versions::answer_query(&cx, &socket, message.stream_query.take());
                if let Some(changes) = message.work_changes.take() {
                    apply_work_changes(&cx, changes);
                }
                if !message.host.is_empty() {
                    handle_message(&cx, message);
                }
            }
            Err(error) => event!(Warn, "news-unreadable", "cause" => error.to_string()),
        }
    }
}

/// Applies a message of another host, unless a newer one of that host was received before.
fn handle_message<D: dialect::Dialect>(cx: &context::Router<D>, message: news::News) {
    let (Ok(caller_addr), Ok(news_addr)) = (message.callers.parse(), message.news.parse()) else {
        event!(Warn, "news-unreadable", "cause" => "address");
        return;
    };
    let now = cx.now();
    let name: sync::Arc<str> = message.host.as_str().into();
    if name == cx.id.name {
        return;
    }
    let entry = peers::PeerEntry {
        name: name.clone(),
        incarnation: message.incarnation,
        caller_addr,
        news_addr,
    };
    let status = peers::PeerStatus {
        sequence: message.sequence,
        takes_callers: message.takes_callers,
        config_version: message.config_version,
        waiting: message.waiting,
        waiting_on_time: message.waiting_on_time,
        zone: message.zone.as_str().into(),
        serves_for_others: message.serves_for_others,
        unreached_services: message
            .unreached_services
            .iter()
            .map(|service| service.as_str().into())
            .collect(),
        applies_work_changes: message.applies_work_changes,
        servers_revision: message.servers_revision,
    };
    let is_newer = locks::lock(&cx.peers).record_news(entry, status, now);
    if !is_newer {
        return;
    }
    let runs = message.runs.into_iter().map(|run| read_run(run, now));
    let prefills = message.prefills.into_iter().map(|p| read_prefill(p, now));
    locks::lock(&cx.engine_load).replace_host(&name, runs.collect(), prefills.collect(), now);
    apply_avoided(cx, &name, &message.avoided, now);
    crash_marks::merge_received(cx, message.crash_marks);
    server_notices::merge_received(cx, message.leaving_servers);
    plain_room::merge_received(cx, &name, &message.demand);
    server_limits::merge_received(cx, &name, message.server_limits, message.demand);
    server_choice::merge_received(cx, &name, message.server_answers);
    stream_versions::record_served(cx, message.served_versions);
    if message.keeps_workspace_limits {
        workspace_limits::merge_state(cx, &name, message.incarnation, message.workspace_use);
    }
    cx.engine_load_changed.notify_waiters();
    cx.renewals.record_told(message.servers_revision);
    if message.config_version > cx.table().map_or(0, |table| table.version) {
        cx.table_outdated.notify_one();
    }
}

/// Returns a run with its host's number for it.
fn read_run(run: news::Run, now: time::Duration) -> (u64, engine_load::Run) {
    let read = engine_load::Run {
        engine: run.engine.into(),
        prompt: run.prompt,
        output: run.output,
        generated: run.made,
        as_of: time_of_age(run.age_ms, now),
    };
    (run.number, read)
}

/// Returns a prefill with its host's number for it.
fn read_prefill(prefill: news::Prefill, now: time::Duration) -> (u64, engine_load::Prefill) {
    let read = engine_load::Prefill {
        engine: prefill.engine.into(),
        tokens: prefill.tokens,
        sent_at: time_of_age(prefill.age_ms, now),
    };
    (prefill.number, read)
}

fn time_of_age(age_ms: u32, now: time::Duration) -> time::Duration {
    now.saturating_sub(time::Duration::from_millis(age_ms.into()))
}

/// Applies the changes of another host's work, unless newer news of that host were received before.
fn apply_work_changes<D: dialect::Dialect>(cx: &context::Router<D>, changes: news::WorkChanges) {
    let now = cx.now();
    if *changes.host == *cx.id.name {
        return;
    }
    let update = peers::PeerUpdate {
        incarnation: changes.incarnation,
        sequence: changes.sequence,
        waiting: changes.waiting,
        waiting_on_time: changes.waiting_on_time,
    };
    if !locks::lock(&cx.peers).record_update(&changes.host, update, now) {
        return;
    }
    workspace_limits::merge_changes(
        cx,
        &changes.host,
        changes.incarnation,
        changes.workspace_use,
    );
    let runs = changes.runs.into_iter().map(|run| read_run(run, now));
    let prefills = changes.prefills.into_iter().map(|p| read_prefill(p, now));
    let host_changes = engine_load::HostChanges {
        runs: runs.collect(),
        prefills: prefills.collect(),
        ended_runs: changes.ended_runs,
        ended_prefills: changes.ended_prefills,
    };
    locks::lock(&cx.engine_load).change_host(&changes.host, host_changes, now);
    cx.engine_load_changed.notify_waiters();
}

/// Avoids the servers that another host avoids, for at most as long as that host does and reports it.
fn apply_avoided<D: dialect::Dialect>(
    cx: &context::Router<D>,
    host: &str,
    avoided: &[news::Avoided],
    now: time::Duration,
) {
    if avoided.len() * MAX_AVOIDED_DIVISOR > locks::lock(&cx.servers).count() {
        return;
    }
    let avoided: Vec<_> = avoided
        .iter()
        .map(|entry| {
            let until = now + time::Duration::from_millis(entry.for_ms.into());
            (entry.server.as_str().into(), until)
        })
        .collect();
    locks::lock(&cx.health).replace_peer_avoidances(host, &avoided, now);
}

/// Forgets hosts whose news have stopped, with their runs and prefills: engines cancel the requests
/// of a host that is gone.
pub(crate) fn expire_silent_hosts<D: dialect::Dialect>(cx: &context::Router<D>) {
    let silent = locks::lock(&cx.peers).expire(cx.now());
    for name in silent {
        event!(Warn, "dependency-lost", "dependency" => "host", "host" => name);
        locks::lock(&cx.engine_load).forget_host(&name);
        locks::lock(&cx.server_limits).known.forget_host(&name);
        locks::lock(&cx.plain_room).forget_host(&name);
        locks::lock(&cx.health).replace_peer_avoidances(&name, &[], cx.now());
        cx.engine_load_changed.notify_waiters();
    }
}
