//! What servers say of themselves in their answers: that they leave, or want no requests for some time.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::departures;
use walnuthaven_lib::dialect;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::server_limits;
use crate::router::store_sync;

/// Maximum number of leaving servers in a news message.
const MAX_PER_MESSAGE: usize = 16;
/// How long a leaving server is sent runs that it has stopped. It goes on serving for two seconds.
const TAKES_BACK_FOR: time::Duration = time::Duration::from_millis(1_500);

/// Records what an answer of a server says of it.
pub(crate) fn record_answer<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    status: http::StatusCode,
    headers: &http::HeaderMap,
) {
    // Another server at the address speaks for itself.
    if status == http::StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    server_limits::record_answer(cx, server, headers);
    let notice = cx.dialect.server_notice(status, headers);
    if notice.is_leaving {
        record_leaving(cx, &server.process(), "answer");
    }
    match notice.pause {
        dialect::Pause::None => {}
        dialect::Pause::For(wait) => {
            cx.telemetry.count("servers.pauses");
            event!(Info, "server-pauses", "server" => server.id, "service" => server.service,
                "for_ms" => wait.as_millis() as u64);
            locks::lock(&cx.server_pauses).record(server.process(), wait, cx.now());
        }
        dialect::Pause::Unreadable(value) => {
            event!(Info, "server-pause-unreadable", "server" => server.id, "value" => value);
        }
    }
}

fn record_leaving<D: dialect::Dialect>(
    cx: &context::Router<D>,
    process: &backends::Process,
    source: &'static str,
) {
    let change = locks::lock(&cx.servers).record_leaving(process, cx.now());
    if let Some(change) = change {
        event!(Info, "server-leaves", "server" => process.id, "source" => source);
        store_sync::on_server_change(cx, change);
        cx.news_due.notify_one();
    }
}

/// Returns the leaving servers for a news message. A host passes on answers that other hosts got for it, and mustn't
/// send their servers anything either.
pub(crate) fn announced<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::LeavingServer> {
    let servers = locks::lock(&cx.servers);
    let leaving = servers.leaving().map(|process| news::LeavingServer {
        server: process.id.to_string(),
        started_unix_ms: process.started_unix_ms,
    });
    leaving.take(MAX_PER_MESSAGE).collect()
}

/// Records the leaving servers of another host's news message.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    received: Vec<news::LeavingServer>,
) {
    for leaving in received {
        let process = locks::lock(&cx.servers).process(&leaving.server);
        let process = process.filter(|known| known.started_unix_ms == leaving.started_unix_ms);
        if let Some(process) = process {
            record_leaving(cx, &process, "news");
        }
    }
}

/// Removes the servers that want no requests for now.
pub(crate) fn remove_paused<D: dialect::Dialect>(
    cx: &context::Router<D>,
    servers: &mut Vec<sync::Arc<backends::Backend>>,
) {
    let pauses = locks::lock(&cx.server_pauses);
    if !pauses.is_empty() {
        let now = cx.now();
        servers.retain(|server| pauses.time_left(&server.process(), now).is_none());
    }
}

/// Returns in what time the first of some servers wants requests again, if there are servers and none does now.
pub(crate) fn time_until_wanted<'a, D: dialect::Dialect>(
    cx: &context::Router<D>,
    servers: impl Iterator<Item = &'a sync::Arc<backends::Backend>>,
) -> Option<time::Duration> {
    let now = cx.now();
    let pauses = locks::lock(&cx.server_pauses);
    let left = servers.map(|server| pauses.time_left(&server.process(), now));
    let left: Option<Vec<_>> = left.collect();
    left?.into_iter().min()
}

/// Logs that a request is sent to a server that has left this host's view: the last resort of its service.
pub(crate) fn log_departed<D: dialect::Dialect>(
    cx: &context::Router<D>,
    id: Option<&str>,
    server: &backends::Backend,
) {
    let departure = locks::lock(&cx.departures).get(&server.process());
    if let Some(departure) = departure {
        let known_for = cx.now().saturating_sub(departure.at);
        cx.telemetry.count("servers.sent_after_departure");
        event!(Warn, "sent-after-departure", "id" => id, "server" => server.id,
            "way" => format!("{:?}", departure.way), "known_ms" => known_for.as_millis() as u64);
    }
}

/// Returns whether a server that was chosen for a request mustn't get it any more: it leaves, has left this host's view,
/// or asked for a pause.
pub(crate) fn wants_none<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
) -> bool {
    let may_get_work = locks::lock(&cx.servers).may_get_work(&server.process(), cx.now());
    !may_get_work || is_paused(cx, server)
}

/// Returns whether a server takes back a run that it has stopped, at the time `at`: also one that leaves, for a while.
pub(crate) fn takes_back<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    at: time::Duration,
) -> bool {
    let departure = locks::lock(&cx.departures).get(&server.process());
    departure.is_none_or(|departure| {
        departure.way == departures::Way::Drained
            && at.saturating_sub(departure.at) < TAKES_BACK_FOR
    })
}

/// Returns whether a server asked for a pause that isn't over.
pub(crate) fn is_paused<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
) -> bool {
    let pauses = locks::lock(&cx.server_pauses);
    pauses.time_left(&server.process(), cx.now()).is_some()
}
