//! Keeps the requests at the servers of plain services within what these do at once, together with the other hosts.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::plain_room;
use walnuthaven_lib::server_capacity;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::events::event;
use crate::router::plain_request;
use crate::router::server_limits;

/// Maximum number of workspaces and servers in a message for each service, so that it fits into one packet.
const MAX_PER_SERVICE: usize = 16;
/// Random part added to retry times, as a share of them, so that callers don't all return at once.
const RETRY_JITTER: f64 = 0.5;

fn is_on<D: dialect::Dialect>(cx: &context::Router<D>) -> bool {
    cx.settings().features.shares_plain_room
}

fn places(servers: &[sync::Arc<backends::Backend>]) -> Vec<plain_room::Place> {
    let places = servers.iter().map(|server| plain_room::Place {
        process: server.process(),
        slots: server.slots,
    });
    places.collect()
}

/// Counts a caller's request, and returns the refusal if its service is short of room and it isn't in its
/// workspace's share. `usable` are the servers of its service.
pub(crate) fn refuse<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &plain_request::PlainRequest<'_, D>,
    usable: &[sync::Arc<backends::Backend>],
) -> Option<answer::Answer> {
    let received = request.received;
    if !is_on(cx) || received.forwarded.is_some() {
        return None;
    }
    let now = cx.now();
    let mut servers = usable.to_vec();
    cx.links.remove_lost(&mut servers);
    {
        let health = locks::lock(&cx.health);
        servers.retain(|server| !health.is_avoided(&server.id, now));
    }
    if servers.is_empty() {
        return None;
    }
    let workspace = received.workspace.as_ref();
    let workspace = workspace.map_or("", |workspace| &workspace.name);
    let hosts = cx.host_count();
    let table = cx.table();
    let ask = plain_room::Ask {
        service: request.service,
        workspace,
        weights: table
            .as_ref()
            .map_or(&[], |table| table.workspaces.weights()),
        priority: received.priority,
        servers: &places(&servers),
        hosts,
        now,
        random: rand::random(),
    };
    let (decision, becomes_short) = {
        let rooms = &mut locks::lock(&cx.plain_room);
        let was_short = rooms.is_short(ask.service, now);
        let decision = rooms.decide(ask);
        (decision, !was_short && rooms.is_short(ask.service, now))
    };
    if becomes_short {
        cx.news_due.notify_one();
    }
    count(cx, workspace, decision);
    let plain_room::Decision::Refuse { share, retry_after } = decision else {
        return None;
    };
    let cause = "servers have no room";
    event!(Info, "refused", "id" => received.head.request_id, "service" => request.service,
        "workspace" => workspace, "cause" => cause, "share" => share);
    let spread = 1.0 + RETRY_JITTER * rand::random::<f64>();
    Some(answer::not_run(cause, retry_after.mul_f64(spread)))
}

/// Counts what a workspace asked for, was owed and got, in thousandths of requests. Only counted while the
/// service is short of room.
fn count<D: dialect::Dialect>(
    cx: &context::Router<D>,
    workspace: &str,
    decision: plain_room::Decision,
) {
    let (share, got) = match decision {
        plain_room::Decision::Send => return,
        plain_room::Decision::SendInShare { share } => (share, 1_000),
        plain_room::Decision::Refuse { share, .. } => (share, 0),
    };
    let workspace = match workspace {
        "" => "none",
        name => name,
    };
    let add = |what: &str, amount| {
        cx.telemetry
            .add(&format!("plain_room.{what}.{workspace}"), amount);
    };
    add("asked", 1_000);
    add("owed", (share * 1_000.0) as u64);
    add("got", got);
    if got == 0 {
        cx.telemetry.count("plain_room.refusals");
    }
}

/// Chooses a server by its room, if the service is short of it. Avoided servers aren't chosen.
pub(crate) fn choose<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
    untried: &[sync::Arc<backends::Backend>],
) -> Option<sync::Arc<backends::Backend>> {
    let now = cx.now();
    if !is_on(cx) || !locks::lock(&cx.plain_room).is_short(service, now) {
        return None;
    }
    let mut servers = untried.to_vec();
    {
        let health = locks::lock(&cx.health);
        servers.retain(|server| !health.is_avoided(&server.id, now));
    }
    let places = places(&servers);
    let chosen = locks::lock(&cx.plain_room).choose(service, &places, rand::random(), now)?;
    Some(servers[chosen].clone())
}

/// Counts a request that is sent to a server.
pub(crate) fn record_sent<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
    server: &backends::Backend,
) {
    if is_on(cx) {
        let mut rooms = locks::lock(&cx.plain_room);
        rooms.record_sent(service, &server.process(), cx.now());
    }
}

/// Records the end of a request at a server, and how long it took if the server answered it.
pub(crate) fn record_ended<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
    server: &backends::Backend,
    took: Option<time::Duration>,
) {
    if is_on(cx) {
        let mut rooms = locks::lock(&cx.plain_room);
        rooms.record_ended(service, &server.process(), took, cx.now());
    }
}

/// Adds to the rows of a news message what this host tells of plain services.
pub(crate) fn add_announced<D: dialect::Dialect>(
    cx: &context::Router<D>,
    demand: &mut Vec<news::ServiceDemand>,
) {
    if !is_on(cx) {
        return;
    }
    let mut rooms = locks::lock(&cx.plain_room);
    let reports = rooms.reports(cx.now());
    for (service, report) in reports.take(server_limits::MAX_PER_MESSAGE) {
        let row = demand.iter().position(|row| *row.service == **service);
        let row = row.unwrap_or_else(|| {
            demand.push(news::ServiceDemand {
                service: service.to_string(),
                per_second: report.per_second,
                ..news::ServiceDemand::default()
            });
            demand.len() - 1
        });
        let workspaces = report.workspaces.into_iter().take(MAX_PER_SERVICE);
        let workspaces = workspaces.map(|(workspace, per_second)| news::WorkspaceDemand {
            workspace: workspace.to_string(),
            per_second: per_second as f32,
        });
        demand[row].workspaces = workspaces.collect();
        let servers = report.servers.into_iter().take(MAX_PER_SERVICE);
        let servers = servers.map(|(process, work)| news::ServerWork {
            server: process.id.to_string(),
            started_unix_ms: process.started_unix_ms,
            answers: work.answers as f32,
            outstanding: work.outstanding as f32,
        });
        demand[row].servers = servers.collect();
    }
}

/// Returns whether other hosts are to be told soon what shares are made from.
pub(crate) fn any_short<D: dialect::Dialect>(cx: &context::Router<D>) -> bool {
    is_on(cx) && locks::lock(&cx.plain_room).any_short(cx.now())
}

/// Takes over what another host's news say of plain services.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    host: &sync::Arc<str>,
    demand: &[news::ServiceDemand],
) {
    if !is_on(cx) {
        return;
    }
    let reports = demand
        .iter()
        .filter(|row| is_amount(row.per_second))
        .map(|row| (row.service.as_str().into(), read_report(cx, row)))
        .collect();
    let mut rooms = locks::lock(&cx.plain_room);
    rooms.replace_reports(host, reports, cx.now());
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Reads a row of news. Servers that this host doesn't know, or knows as other processes, are left out.
fn read_report<D: dialect::Dialect>(
    cx: &context::Router<D>,
    row: &news::ServiceDemand,
) -> plain_room::Report {
    let workspaces = row
        .workspaces
        .iter()
        .map(|told| (told.workspace.as_str().into(), told.per_second.into()))
        .filter(|(_, per_second)| is_amount(*per_second));
    let servers = locks::lock(&cx.servers);
    let works = row.servers.iter().filter_map(|told| {
        let process = servers.process(&told.server)?;
        let work = server_capacity::Work {
            answers: told.answers.into(),
            outstanding: told.outstanding.into(),
        };
        let is_sound = is_amount(work.answers) && is_amount(work.outstanding);
        let is_same = process.started_unix_ms == told.started_unix_ms;
        (is_sound && is_same).then_some((process, work))
    });
    plain_room::Report {
        per_second: row.per_second,
        workspaces: workspaces.collect(),
        servers: works.collect(),
    }
}

/// Forgets servers that aren't listed any more.
pub(crate) fn expire<D: dialect::Dialect>(cx: &context::Router<D>) {
    if !is_on(cx) {
        return;
    }
    let listed: collections::BTreeSet<_> = {
        let servers = locks::lock(&cx.servers);
        servers.all().map(|(server, _)| server.process()).collect()
    };
    let mut rooms = locks::lock(&cx.plain_room);
    rooms.expire(|process| listed.contains(process), cx.now());
}
