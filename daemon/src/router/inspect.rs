//! The operators' API of a running host, used by `walnuthaven state dump` and `walnuthaven explain`.

use std::sync::atomic;

use serde_json::Value;
use serde_json::json;
use walnuthaven_lib::dialect;

use crate::locks;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::events;
use crate::router::workspace_limits;

/// Version of the dump's JSON layout.
const DUMP_VERSION: u32 = 1;
/// Maximum number of entries of one list in a dump.
const MAX_LISTED: usize = 2_000;

/// Returns the answer to a path of the operators' API, or `None` if the path is unknown.
pub(crate) fn answer<D: dialect::Dialect>(cx: &context::Router<D>, path: &str) -> Option<Value> {
    match path.strip_prefix("/admin/")? {
        "dump" => Some(dump(cx)),
        path => path.strip_prefix("requests/").map(explain),
    }
}

/// Returns the recent log lines about a request.
fn explain(id: &str) -> Value {
    let steps = events::recent_lines(id).into_iter().map(|line| {
        let fields: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
        json!({"unix_ms": fields["unix_ms"], "what": line})
    });
    json!({"id": id, "steps": steps.collect::<Vec<_>>()})
}

/// Returns the host's state: its view of servers and other hosts, and its queued and running requests.
fn dump<D: dialect::Dialect>(cx: &context::Router<D>) -> Value {
    let now = cx.now();
    let table = cx.table();
    let avoided: Vec<_> = locks::lock(&cx.health)
        .avoided(now)
        .map(|(id, remaining)| json!({"server": id, "for_ms": remaining.as_millis() as u64}))
        .collect();
    let servers: Vec<_> = locks::lock(&cx.servers)
        .all()
        .take(MAX_LISTED)
        .map(|(server, vanished)| {
            json!({
                "id": server.id, "service": server.service, "addr": server.addr,
                "zone": server.zone, "draining": server.draining, "vanished": vanished,
                "stage": server.stage.map(|stage| format!("{stage:?}")), "born": server.started_unix_ms,
            })
        })
        .collect();
    let hosts: Vec<_> = locks::lock(&cx.peers)
        .all(now)
        .take(MAX_LISTED)
        .map(|(peer, age)| {
            json!({
                "name": peer.name, "incarnation": peer.incarnation, "callers": peer.caller_addr,
                "news_age_ms": age.map(|age| age.as_millis() as u64),
            })
        })
        .collect();
    let waiting: serde_json::Map<_, _> = locks::lock(&cx.wait_queues)
        .iter()
        .map(|((service, version), queue)| {
            let name = match version {
                Some(version) => format!("{service} {version}"),
                None => service.to_string(),
            };
            (name, queue.len().into())
        })
        .collect();
    let crash_marks: Vec<_> = locks::lock(&cx.crash_marks)
        .marks()
        .take(MAX_LISTED)
        .map(|mark| {
            json!({
                "digest": crash_marks::hex(mark.digest), "servers": mark.servers(),
                "lifted": mark.is_lifted(), "part": mark.part,
            })
        })
        .collect();
    let served_versions: Vec<_> = locks::lock(&cx.served_versions)
        .all(now)
        .take(MAX_LISTED)
        .map(|(of, servers)| {
            json!({"service": of.service, "version": of.version, "servers": servers})
        })
        .collect();
    let server_limits: Vec<_> = locks::lock(&cx.server_limits)
        .known
        .statements()
        .take(MAX_LISTED)
        .map(|(process, statement)| {
            let age = |at: Option<std::time::Duration>| {
                at.map(|at| now.saturating_sub(at).as_millis() as u64)
            };
            json!({
                "server": process.to_string(), "per_second": statement.per_second,
                "holds": statement.holds(), "named_ms_ago": age(statement.named_at),
                "omitted_ms_ago": age(statement.omitted_at),
            })
        })
        .collect();
    let workspaces: Vec<_> = table
        .iter()
        .flat_map(|table| table.workspaces.all())
        .take(MAX_LISTED)
        .map(|workspace| {
            let limit = workspace.limit;
            json!({
                "name": workspace.name, "priority": workspace.priority,
                "per_second": limit.map(|limit| limit.per_second),
                "burst": limit.map(|limit| limit.burst),
                "usage": workspace_limits::usage(cx, &workspace.name),
            })
        })
        .collect();
    let engine_load = locks::lock(&cx.engine_load);
    let runs: Vec<_> = engine_load
        .runs_of(&cx.work_owner)
        .map(|(number, run)| {
            json!({
                "number": number, "engine": run.engine, "prompt": run.prompt,
                "output": run.output, "made": run.generated,
            })
        })
        .collect();
    json!({
        "version": DUMP_VERSION,
        "host": {"name": &*cx.id.name, "incarnation": cx.id.incarnation},
        "takes_callers": cx.takes_callers(),
        "leaving_ms": cx.leaving_for().as_millis() as u64,
        "configuration": table.map(|table| table.version),
        "in_flight": cx.in_flight.load(atomic::Ordering::Relaxed),
        "hosts": hosts,
        "servers": servers,
        "avoided": avoided,
        "workspaces": workspaces,
        "waiting": waiting,
        "runs": runs,
        "crash_marks": crash_marks,
        "served_versions": served_versions,
        "server_limits": server_limits,
        "served_versions_read": locks::lock(&cx.served_versions).is_read(),
        "stream_versions": locks::lock(&cx.stream_versions).count(),
        "streams_unsaved": locks::lock(&cx.stream_records).count_unsaved(),
        "log_dropped": events::dropped_lines(),
    })
}
