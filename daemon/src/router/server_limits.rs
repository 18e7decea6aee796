//! Keeps the limits that servers name in their answers, together with the other hosts.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::server_limits;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::context;
use crate::router::events::event;

/// Maximum number of limits in a news message, and of services whose requests it tells.
pub(super) const MAX_PER_MESSAGE: usize = 16;
/// Shortest time between two news that tell of requests while limits hold, for each host: the cost of messages
/// mustn't grow with the square of the hosts.
const NEWS_SPACING_PER_HOST: time::Duration = time::Duration::from_millis(5);
/// Maximum number of unreadable values that are remembered, so that each is logged once.
const MAX_UNREADABLE: usize = 1_000;

/// The limits, and what this host has told of them.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    pub(super) known: server_limits::ServerLimits,
    /// Values that were no rates, by process.
    unreadable: collections::BTreeSet<(backends::Process, String)>,
    /// When other hosts were last told of this host's requests without delay.
    told_at: time::Duration,
}

/// Records what an answer of a server says of its limit.
pub(crate) fn record_answer<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    headers: &http::HeaderMap,
) {
    let process = server.process();
    let named = match cx.dialect.rate_limit(headers) {
        dialect::RateLimit::None => None,
        dialect::RateLimit::PerSecond(rate) => Some(rate),
        dialect::RateLimit::Unreadable(value) => {
            log_unreadable(cx, &process, &value);
            None
        }
    };
    let changed = locks::lock(&cx.server_limits)
        .known
        .record_answer(&process, named, cx.now());
    if changed {
        log_change(cx, &process, named, "answer");
        cx.news_due.notify_one();
    }
}

/// Logs a value that is no rate, once for each process that names it.
fn log_unreadable<D: dialect::Dialect>(
    cx: &context::Router<D>,
    process: &backends::Process,
    value: &str,
) {
    let is_new = {
        let unreadable = &mut locks::lock(&cx.server_limits).unreadable;
        unreadable.len() < MAX_UNREADABLE && unreadable.insert((process.clone(), value.to_owned()))
    };
    if is_new {
        event!(Warn, "server-limit-unreadable", "server" => process.id, "value" => value);
    }
}

fn log_change<D: dialect::Dialect>(
    cx: &context::Router<D>,
    process: &backends::Process,
    per_second: Option<f64>,
    source: &'static str,
) {
    cx.telemetry.count("server_limits.changes");
    event!(Info, "server-limit", "server" => process.id, "born" => process.started_unix_ms,
        "per_second" => per_second, "source" => source);
}

/// Counts a request of a caller, by which the hosts share limits.
pub(crate) fn record_request<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &sync::Arc<str>,
    priority: u8,
) {
    let now = cx.now();
    let spacing = NEWS_SPACING_PER_HOST * cx.host_count() as u32;
    let mut limits = locks::lock(&cx.server_limits);
    limits.known.record_request(service, priority, now);
    if limits.known.any_holds() && now.saturating_sub(limits.told_at) >= spacing {
        limits.told_at = now;
        cx.news_due.notify_one();
    }
}

/// Describes a request to the limits.
fn ask<'a, D: dialect::Dialect>(
    cx: &context::Router<D>,
    servers: &[sync::Arc<backends::Backend>],
    service: &'a str,
    priority: u8,
) -> server_limits::Ask<'a> {
    server_limits::Ask {
        service,
        priority,
        hosts: cx.host_count(),
        servers: servers.len(),
        now: cx.now(),
    }
}

/// Removes the servers that are at their limits for requests of this priority. Returns whether there were any.
pub(crate) fn remove_limited<D: dialect::Dialect>(
    cx: &context::Router<D>,
    servers: &mut Vec<sync::Arc<backends::Backend>>,
    service: &str,
    priority: u8,
) -> bool {
    let ask = ask(cx, servers, service, priority);
    let mut limits = locks::lock(&cx.server_limits);
    if !limits.known.any_holds() {
        return false;
    }
    let count = servers.len();
    servers.retain(|server| {
        let wait = limits.known.wait(&server.process(), ask, rand::random());
        wait.is_zero()
    });
    servers.len() < count
}

/// Counts a request that is about to be sent to a server.
pub(crate) fn record_sent<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    priority: u8,
) {
    let mut limits = locks::lock(&cx.server_limits);
    limits.known.record_sent(&server.process(), priority);
}

/// Records that a request is refused because these servers are at their limits. Returns when its caller should
/// return.
pub(crate) fn record_refusal<D: dialect::Dialect>(
    cx: &context::Router<D>,
    servers: &[sync::Arc<backends::Backend>],
    service: &str,
    priority: u8,
) -> time::Duration {
    cx.telemetry.count("server_limits.refusals");
    let ask = ask(cx, servers, service, priority);
    let processes: Vec<_> = servers.iter().map(|server| server.process()).collect();
    let mut limits = locks::lock(&cx.server_limits);
    limits.known.record_refusal(&processes, ask)
}

/// Forgets the limits of servers that aren't listed any more.
pub(crate) fn expire<D: dialect::Dialect>(cx: &context::Router<D>) {
    {
        let limits = locks::lock(&cx.server_limits);
        if limits.known.statements().next().is_none() && limits.unreadable.is_empty() {
            return;
        }
    }
    let listed: collections::BTreeSet<_> = {
        let servers = locks::lock(&cx.servers);
        servers.all().map(|(server, _)| server.process()).collect()
    };
    let mut limits = locks::lock(&cx.server_limits);
    limits
        .known
        .expire(|process| listed.contains(process), cx.now());
    limits
        .unreadable
        .retain(|(process, _)| listed.contains(process));
}

/// Returns the limits for a news message.
pub(crate) fn announced<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::ServerLimit> {
    let now = cx.now();
    let age =
        |at: Option<time::Duration>| at.map(|at| clock::millis(now.saturating_sub(at)) as u32);
    let limits = locks::lock(&cx.server_limits);
    let statements = limits.known.statements().take(MAX_PER_MESSAGE);
    let announced = statements.map(|(process, statement)| news::ServerLimit {
        server: process.id.to_string(),
        started_unix_ms: process.started_unix_ms,
        per_second: statement.per_second,
        named_age_ms: age(statement.named_at),
        omitted_age_ms: age(statement.omitted_at),
    });
    announced.collect()
}

/// Returns this host's requests for a news message; none while no limit holds.
pub(crate) fn announced_demand<D: dialect::Dialect>(
    cx: &context::Router<D>,
) -> Vec<news::ServiceDemand> {
    let limits = locks::lock(&cx.server_limits);
    if !limits.known.any_holds() {
        return Vec::new();
    }
    let demand = limits.known.own_demand(cx.now()).take(MAX_PER_MESSAGE);
    let announced = demand.map(|(service, per_second)| news::ServiceDemand {
        service: service.to_string(),
        per_second,
        ..news::ServiceDemand::default()
    });
    announced.collect()
}

/// Merges what another host's news say of limits and of its requests.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    host: &sync::Arc<str>,
    limits: Vec<news::ServerLimit>,
    demand: Vec<news::ServiceDemand>,
) {
    let now = cx.now();
    let time_of_age = |age: Option<u32>| {
        age.map(|age| now.saturating_sub(time::Duration::from_millis(age.into())))
    };
    for limit in limits {
        let process = locks::lock(&cx.servers).process(&limit.server);
        let is_named =
            |process: &backends::Process| process.started_unix_ms == limit.started_unix_ms;
        // The other host, or this one, may not know of a restart yet.
        let Some(process) = process.filter(is_named) else {
            continue;
        };
        if !limit.per_second.is_finite() || limit.per_second < 0.0 {
            event!(Warn, "news-unreadable", "cause" => "limit", "host" => host);
            continue;
        }
        let statement = server_limits::Statement {
            per_second: limit.per_second,
            named_at: time_of_age(limit.named_age_ms),
            omitted_at: time_of_age(limit.omitted_age_ms),
        };
        let changed = locks::lock(&cx.server_limits)
            .known
            .merge(&process, &statement);
        if changed {
            let in_force = statement.holds().then_some(statement.per_second);
            log_change(cx, &process, in_force, "news");
        }
    }
    let is_rate =
        |demand: &news::ServiceDemand| demand.per_second.is_finite() && demand.per_second >= 0.0;
    let demand = demand.into_iter().filter(is_rate);
    let demand = demand.map(|demand| (demand.service.into(), demand.per_second));
    locks::lock(&cx.server_limits)
        .known
        .replace_demand(host, demand.collect());
}
