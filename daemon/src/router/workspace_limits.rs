//! Keeps the limits of workspaces, together with the other hosts.

use std::fmt::Write as _;
use std::sync;
use std::time;

use serde_json::Value;
use serde_json::json;
use walnuthaven_lib::dialect;
use walnuthaven_lib::routing;
use walnuthaven_lib::shared_limits;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::send;

/// Maximum number of workspaces in a news message.
const MAX_PER_MESSAGE: usize = 32;

/// The limits of a configuration.
#[derive(Debug)]
pub(crate) struct Limits {
    known: shared_limits::SharedLimits,
    /// The version of the configuration that they are from.
    version: u64,
}

impl Limits {
    /// Creates the limits of a host whose process started at this time, in Unix milliseconds.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            known: shared_limits::SharedLimits::new(incarnation),
            version: 0,
        }
    }
}

/// What a request was charged.
#[derive(Debug)]
pub(crate) struct Charge {
    workspace: sync::Arc<str>,
    cost: f64,
}

/// Brings limits up to date with the configuration and the list of hosts, and passes them to `apply`. Returns
/// `None` if no workspace has a limit.
fn with_limits<D: dialect::Dialect, R>(
    cx: &context::Router<D>,
    table: &routing::Table,
    apply: impl FnOnce(&mut shared_limits::SharedLimits, time::Duration) -> R,
) -> Option<R> {
    if table.workspaces.is_empty() && locks::lock(&cx.workspace_limits).known.is_empty() {
        return None;
    }
    let hosts = {
        let peers = locks::lock(&cx.peers);
        match peers.is_listed() {
            true => peers.count() + 1,
            false => 0,
        }
    };
    let mut limits = locks::lock(&cx.workspace_limits);
    let now = cx.now();
    limits.known.set_host_count(hosts);
    let slack = cx.settings().workspace_slack;
    let slack = if slack.is_finite() {
        slack.max(0.0)
    } else {
        0.0
    };
    if limits.version < table.version {
        limits.version = table.version;
        let limited = table.workspaces.all().filter_map(|workspace| {
            let limit = workspace.limit?;
            let allowance = shared_limits::Allowance {
                per_second: limit.per_second,
                burst: limit.burst,
                slack,
            };
            Some((workspace.name.clone(), allowance))
        });
        limits.known.set_allowances(limited, now);
    }
    match limits.known.is_empty() {
        true => None,
        false => Some(apply(&mut limits.known, now)),
    }
}

/// Charges a caller's request to its workspace. Requests that another host passed on were charged there, and
/// streams that are continued when they began.
///
/// # Errors
///
/// Returns when the caller should return if the workspace's limit is exceeded.
pub(crate) fn charge<D: dialect::Dialect>(
    cx: &context::Router<D>,
    table: &routing::Table,
    req: &send::CallerRequest,
) -> Result<Option<Charge>, time::Duration> {
    let Some(workspace) = &req.workspace else {
        return Ok(None);
    };
    let Some(limit) = workspace.limit else {
        return Ok(None);
    };
    if req.forwarded.is_some() || req.head.resume_after.is_some() {
        return Ok(None);
    }
    let cost = limit.cost(req.head.prompt.as_ref());
    let decision = with_limits(cx, table, |limits, now| {
        limits.decide(&workspace.name, cost, rand::random(), now)
    });
    match decision {
        None => Ok(None),
        Some(shared_limits::Decision::Admitted { tell }) => {
            if tell {
                cx.work_changed.notify_one();
            }
            let workspace = workspace.name.clone();
            Ok(Some(Charge { workspace, cost }))
        }
        Some(shared_limits::Decision::Refused { retry_after }) => {
            cx.telemetry.count("workspaces.over_limit");
            event!(Info, "refused", "id" => req.head.request_id, "cause" => "workspace limit",
                "workspace" => workspace.name, "cost" => cost,
                "retry_after_ms" => retry_after.as_millis() as u64);
            Err(retry_after)
        }
    }
}

/// Returns how long a request of a workspace would have to wait for its cost; `None` if it would be within the limit.
pub(crate) fn preview<D: dialect::Dialect>(
    cx: &context::Router<D>,
    workspace: &str,
    cost: f64,
) -> Option<time::Duration> {
    let now = cx.now();
    let limits = &mut locks::lock(&cx.workspace_limits).known;
    limits.preview(workspace, cost, now)
}

/// Gives back what a request was charged that hasn't run.
pub(crate) fn give_back<D: dialect::Dialect>(cx: &context::Router<D>, charge: &Charge) {
    let now = cx.now();
    let limits = &mut locks::lock(&cx.workspace_limits).known;
    limits.give_back(&charge.workspace, charge.cost, now);
}

/// Adds what this host's callers have used to its whole state.
pub(crate) fn add_state<D: dialect::Dialect>(cx: &context::Router<D>, state: &mut news::News) {
    let Some(table) = cx.table() else {
        return;
    };
    let told = with_limits(cx, &table, |limits, now| limits.state(MAX_PER_MESSAGE, now));
    state.keeps_workspace_limits = told.is_some();
    state.workspace_use = told.unwrap_or_default().into_iter().map(write).collect();
}

/// Returns what this host's callers have used and other hosts don't know.
pub(crate) fn changes<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::WorkspaceUse> {
    let told = locks::lock(&cx.workspace_limits)
        .known
        .changes(MAX_PER_MESSAGE);
    told.into_iter().map(write).collect()
}

fn write(told: shared_limits::Statement) -> news::WorkspaceUse {
    news::WorkspaceUse {
        workspace: told.workspace.to_string(),
        used: told.used,
        refused: told.refused,
        level: told.level,
    }
}

/// Records what another host's whole state says.
pub(crate) fn merge_state<D: dialect::Dialect>(
    cx: &context::Router<D>,
    host: &sync::Arc<str>,
    incarnation: u64,
    told: Vec<news::WorkspaceUse>,
) {
    let Some(table) = cx.table() else {
        return;
    };
    let statements = read(host, told);
    with_limits(cx, &table, |limits, now| {
        limits.record_news(host, incarnation, &statements, now);
    });
}

/// Records what another host tells with changes of its work.
pub(crate) fn merge_changes<D: dialect::Dialect>(
    cx: &context::Router<D>,
    host: &str,
    incarnation: u64,
    told: Vec<news::WorkspaceUse>,
) {
    let Some(table) = cx.table() else {
        return;
    };
    with_limits(cx, &table, |limits, now| {
        if limits.knows_host(host, incarnation, now) {
            let host = host.into();
            limits.record_news(&host, incarnation, &read(&host, told), now);
        }
    });
}

/// Reads statements of another host, and leaves out what is no amount.
fn read(host: &sync::Arc<str>, told: Vec<news::WorkspaceUse>) -> Vec<shared_limits::Statement> {
    let statements = told.into_iter().filter_map(|told| {
        let amounts = [told.used, told.refused, told.level.unwrap_or_default()];
        if amounts.iter().any(|amount| !amount.is_finite()) {
            event!(Warn, "news-unreadable", "cause" => "workspace use", "host" => host);
            return None;
        }
        Some(shared_limits::Statement {
            workspace: told.workspace.into(),
            used: told.used,
            refused: told.refused,
            level: told.level,
        })
    });
    statements.collect()
}

/// Forgets hosts that are neither listed nor heard any more.
pub(crate) fn expire<D: dialect::Dialect>(cx: &context::Router<D>) {
    if locks::lock(&cx.workspace_limits).known.is_empty() {
        return;
    }
    let listed: std::collections::HashSet<_> = {
        let peers = locks::lock(&cx.peers);
        let all = peers.all(cx.now());
        all.map(|(entry, _)| entry.name.clone()).collect()
    };
    let limits = &mut locks::lock(&cx.workspace_limits).known;
    limits.retain_hosts(|name| listed.contains(name));
}

/// Describes how the limit of a workspace is used, for operators; null if it has none.
pub(crate) fn usage<D: dialect::Dialect>(cx: &context::Router<D>, workspace: &str) -> Value {
    let limits = locks::lock(&cx.workspace_limits);
    let usage = limits
        .known
        .all()
        .find(|usage| usage.workspace == workspace);
    usage.map_or(
        Value::Null,
        |usage| json!({"used": usage.used, "refused": usage.refused, "level": usage.level}),
    )
}

/// Returns the limits and how this host's callers used them, as lines of metrics.
pub(crate) fn metrics<D: dialect::Dialect>(cx: &context::Router<D>) -> String {
    let mut text = String::new();
    for usage in locks::lock(&cx.workspace_limits).known.all() {
        let values = [
            ("limit_per_second", usage.allowance.per_second),
            ("limit_burst", usage.allowance.burst),
            ("used", usage.used),
            ("refused", usage.refused),
            ("level", usage.level),
        ];
        let workspace = usage.workspace;
        for (name, value) in values {
            // Writing to a string never fails.
            let _ = writeln!(
                text,
                "walnuthaven_workspace_{name}{{workspace={workspace:?}}} {value}"
            );
        }
    }
    text
}
