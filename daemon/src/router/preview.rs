//! Shows where a request would go now, and why, without sending it. Asks the functions that decide on requests, and
//! leaves their state as it is.

use std::sync;
use std::time;

use serde_json::Value;
use serde_json::json;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::engine_placement;
use walnuthaven_lib::routing;
use walnuthaven_lib::wait_queue;
use walnuthaven_lib::workspaces;

use crate::locks;
use crate::router::caller_workspace;
use crate::router::context;
use crate::router::engine_need;
use crate::router::engine_reservation;
use crate::router::server_choice;
use crate::router::server_limits;
use crate::router::server_notices;
use crate::router::workspace_limits;

/// The path of the call.
pub(crate) const PATH: &str = "/admin/preview";
/// Maximum length of an answer in tokens that is assumed if none is given.
const DEFAULT_MAX_OUTPUT: u32 = 512;
/// Time until the answer is due that is assumed if the route has no time limit.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Why there is no preview.
#[derive(Debug)]
pub(crate) enum Fault {
    /// A parameter is missing or invalid. Names it and its value.
    Parameter(String),
    /// The configuration has no such route, service or workspace.
    Unknown(String),
}

/// A request as an operator describes it.
#[derive(Debug, Default)]
struct Description {
    route: String,
    workspace: Option<String>,
    prompt: Option<dialect::Prompt>,
    zone: Option<String>,
}

/// Reads the parameters of a call.
fn read(query: &str) -> Result<Description, Fault> {
    let mut description = Description::default();
    let (mut tokens, mut max_output, mut output_hint) = (None, None, None);
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        let number = || {
            let fault = || Fault::Parameter(format!("{name}: {value:?} is no number of tokens"));
            value.parse::<u32>().map_err(|_| fault())
        };
        match &*name {
            "route" => description.route = value.into_owned(),
            "workspace" => description.workspace = Some(value.into_owned()),
            "zone" => description.zone = Some(value.into_owned()),
            "prompt" => tokens = Some(number()?),
            "max_output" => max_output = Some(number()?),
            "length_hint" => output_hint = Some(number()?),
            _ => {
                return Err(Fault::Parameter(format!(
                    "{name}: {value:?}: unknown parameter"
                )));
            }
        }
    }
    if description.route.is_empty() {
        return Err(Fault::Parameter("route: \"\" is missing".to_owned()));
    }
    description.prompt = tokens.map(|tokens| dialect::Prompt {
        tokens,
        max_output: max_output.unwrap_or(DEFAULT_MAX_OUTPUT),
        output_hint,
    });
    Ok(description)
}

/// Describes where a request would go now.
///
/// # Errors
///
/// Returns which parameter is invalid, or names nothing that is configured.
pub(crate) fn preview<D: dialect::Dialect>(
    cx: &context::Router<D>,
    query: &str,
) -> Result<Value, Fault> {
    let description = read(query)?;
    let table = cx.table();
    let unknown = |what: &str, name: &str| Fault::Unknown(format!("{what} {name:?} is unknown"));
    let table = table.ok_or_else(|| unknown("route", &description.route))?;
    let route = table
        .routes()
        .find(|route| *route.name == *description.route);
    let route = route.ok_or_else(|| unknown("route", &description.route))?;
    let workspace = description.workspace.as_deref().map(|name| {
        let found = table.workspaces.find(name);
        found.ok_or_else(|| unknown("workspace", name))
    });
    let workspace = workspace.transpose()?;
    let share = route.shares.iter().max_by_key(|share| share.weight);
    let service = share.and_then(|share| table.service(&share.service));
    let service = service.ok_or_else(|| unknown("service of route", &route.name))?;
    let request = Request {
        cx,
        route,
        service,
        workspace: workspace.map(|workspace| &**workspace),
        prompt: description.prompt.as_ref(),
        zone: description
            .zone
            .unwrap_or_else(|| cx.settings().zone.to_string()),
        now: cx.now(),
    };
    let mut value = match (&service.engines, route.kind) {
        (Some(engines), routing::Kind::Stream { .. }) => request.on_engines(engines),
        _ => request.on_plain_servers(),
    };
    let limit = request.limit();
    if let Some(retry_after) = limit["retry_after_ms"].as_u64() {
        value["outcome"] = "refused".into();
        value["cause"] = "workspace limit".into();
        value["retry_after_ms"] = retry_after.into();
    }
    value["limit"] = limit;
    value["host"] = json!(&*cx.id.name);
    value["configuration"] = table.version.into();
    value["route"] = json!(route.name);
    value["service"] = json!(service.name);
    value["kind"] = kind_name(route.kind).into();
    value["priority"] = caller_workspace::priority(route, request.workspace).into();
    value["target_ms"] = (route.target_latency.as_millis() as u64).into();
    value["workspace"] = json!(request.workspace.map(|workspace| &workspace.name));
    let news_age = locks::lock(&cx.peers).oldest_news_age(request.now);
    value["news_age_ms"] = (news_age.as_millis() as u64).into();
    Ok(value)
}

fn kind_name(kind: routing::Kind) -> &'static str {
    match kind {
        routing::Kind::Repeatable => "repeatable",
        routing::Kind::Once => "once",
        routing::Kind::Stream {
            resumable: true, ..
        } => "resumable stream",
        routing::Kind::Stream { .. } => "stream",
    }
}

/// What became of the attempt to place a request on engines.
struct Placing {
    /// The engines that were considered.
    usable: Vec<sync::Arc<backends::Backend>>,
    /// Ids of those of them that have room for the run.
    with_room: Vec<sync::Arc<str>>,
    placed: Result<engine_placement::Placement, engine_placement::Full>,
}

/// A request that is described, with what the configuration says of it.
struct Request<'a, D> {
    cx: &'a context::Router<D>,
    route: &'a sync::Arc<routing::Route>,
    service: &'a sync::Arc<routing::Service>,
    workspace: Option<&'a workspaces::Workspace>,
    prompt: Option<&'a dialect::Prompt>,
    zone: String,
    now: time::Duration,
}

impl<D: dialect::Dialect> Request<'_, D> {
    /// Describes the limit of the workspace; null if it has none.
    fn limit(&self) -> Value {
        let Some(workspace) = self.workspace else {
            return Value::Null;
        };
        let Some(limit) = workspace.limit else {
            return Value::Null;
        };
        let cost = limit.cost(self.prompt);
        let usage = workspace_limits::usage(self.cx, &workspace.name);
        let wait = workspace_limits::preview(self.cx, &workspace.name, cost);
        json!({
            "per_second": limit.per_second, "level": usage["level"], "cost": cost,
            "retry_after_ms": wait.map(|wait| wait.as_millis() as u64),
        })
    }

    /// Returns why a server of the service isn't considered at all; `None` if it is.
    fn reason_to_skip(&self, server: &sync::Arc<backends::Backend>) -> Option<&'static str> {
        let priority = caller_workspace::priority(self.route, self.workspace);
        let usable = locks::lock(&self.cx.servers)
            .usable(&self.service.name, self.now)
            .contains(server);
        if !usable {
            return Some(match server.draining {
                true => "leaves",
                false => "not listed any more",
            });
        }
        let service = &self.service.name;
        if server.stage.is_some() && !self.cx.group_engines(service, None).contains(server) {
            return Some("belongs to another group of hosts");
        }
        if !remains(server, |servers| self.cx.links.remove_lost(servers)) {
            return Some("out of reach");
        }
        if !remains(server, |servers| {
            server_notices::remove_paused(self.cx, servers)
        }) {
            return Some("wants no requests for now");
        }
        if !remains(server, |servers| {
            server_limits::remove_limited(self.cx, servers, service, priority);
        }) {
            return Some("at its limit");
        }
        let health = locks::lock(&self.cx.health);
        let avoided =
            health.is_unusable(&server.id, self.now) || health.is_avoided(&server.id, self.now);
        avoided.then_some("avoided after failures")
    }

    fn listed_servers(&self) -> Vec<sync::Arc<backends::Backend>> {
        let servers = locks::lock(&self.cx.servers);
        let all = servers.all().map(|(server, _)| server);
        all.filter(|server| server.service == self.service.name)
            .cloned()
            .collect()
    }

    fn candidate(
        &self,
        server: &backends::Backend,
        work: usize,
        expected: Value,
        result: &str,
    ) -> Value {
        json!({
            "server": server.id, "zone": server.zone, "version": server.version,
            "stage": server.stage.map(|stage| format!("{stage:?}")),
            "work": work, "expected_ms": expected, "result": result,
        })
    }

    /// Describes a request to a plain service.
    fn on_plain_servers(&self) -> Value {
        let servers = self.listed_servers();
        let (skipped, considered): (Vec<_>, Vec<_>) = servers
            .into_iter()
            .partition(|server| self.reason_to_skip(server).is_some());
        let mut usable = considered.clone();
        if usable.is_empty() {
            usable = locks::lock(&self.cx.servers)
                .usable(&self.service.name, self.now)
                .to_vec();
        }
        let chosen = server_choice::choose(self.cx, &usable, &[]);
        let mut candidates = Vec::new();
        for server in skipped.iter().chain(&considered) {
            let is_chosen = chosen.as_ref().is_some_and(|chosen| chosen.id == server.id);
            let result = match (is_chosen, self.reason_to_skip(server)) {
                (true, _) => "would get it",
                (false, Some(reason)) => reason,
                (false, None) => "passed over: another one is expected to end sooner",
            };
            let outstanding = locks::lock(&self.cx.health).outstanding(&server.id) as usize;
            let expected = server_choice::expected(self.cx, server);
            let expected = expected.map(|time| time.as_millis() as u64);
            candidates.push(self.candidate(server, outstanding, json!(expected), result));
        }
        json!({
            "outcome": if chosen.is_some() { "sent" } else { "refused" },
            "cause": chosen.is_none().then_some("no server is usable"),
            "wait_ms": null, "retry_after_ms": null, "queue": null, "read_by": null,
            "answered_by": chosen.map(|chosen| chosen.id.clone()), "candidates": candidates,
        })
    }

    /// Describes a request to model engines.
    fn on_engines(&self, engines: &routing::EnginePool) -> Value {
        let cx = self.cx;
        let timeout = self.route.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let max_pause = match self.route.kind {
            routing::Kind::Stream { max_pause, .. } => Some(max_pause),
            _ => None,
        };
        let request = engine_reservation::ReservationRequest {
            id: "preview",
            service: self.service,
            engines,
            priority: caller_workspace::priority(self.route, self.workspace),
            need: engine_need::need_of(cx, &self.service.name, self.prompt, 0),
            generated: 0,
            prefilled: false,
            run_kind: engine_memory::RunKind::New {
                hosts: cx.host_count(),
            },
            has_begun: false,
            first_event_by: self.now + self.route.target_latency,
            deadline: self.now + timeout,
            leaves_at: self.now + wait_queue::patience(self.route.target_latency, max_pause),
            tried: &[],
            left: &[],
            on_trial: false,
            version: None,
        };
        let placing = self.place(&request);
        let key = (self.service.name.clone(), None);
        let ahead = locks::lock(&cx.wait_queues)
            .get(&key)
            .map_or(0, |queue| queue.count_ahead(false, self.now));
        let elsewhere = locks::lock(&cx.peers).waiting();
        let max_wait = wait_queue::max_wait(timeout);
        let (outcome, cause, wait) = match &placing.placed {
            Ok(_) if ahead == 0 => ("sent", None, None),
            Ok(_) => ("waits", Some("other requests go first"), None),
            Err(engine_placement::Full::NoEngine) => ("refused", Some("no engine is usable"), None),
            Err(full) => {
                let (cause, wait) = match full {
                    engine_placement::Full::Prompts(wait) => ("prompts wait to be read", *wait),
                    engine_placement::Full::Memory(wait) => ("engine memory is full", *wait),
                    engine_placement::Full::NoEngine => unreachable!("matched before"),
                };
                let ahead = ahead + elsewhere;
                let wait = engine_reservation::predicted_wait(cx, &request, wait, ahead);
                let outcome = if wait <= max_wait { "waits" } else { "refused" };
                (outcome, Some(cause), Some(wait))
            }
        };
        let placed = placing.placed.as_ref().ok();
        let candidates: Vec<_> = self
            .listed_servers()
            .iter()
            .map(|engine| self.engine_candidate(engine, &placing))
            .collect();
        json!({
            "outcome": outcome, "cause": cause,
            "wait_ms": wait.map(|wait| wait.as_millis() as u64),
            "retry_after_ms": wait
                .filter(|_| outcome == "refused")
                .map(|wait| wait_queue::retry_after(wait, 0.0).as_millis() as u64),
            "queue": {"ahead": ahead, "elsewhere": elsewhere},
            "read_by": placed.and_then(|placed| placed.prefill.as_ref()).map(|engine| &engine.id),
            "answered_by": placed.map(|placed| &placed.decode.id),
            "candidates": candidates,
        })
    }

    /// Places the request without adding it to the load.
    fn place(&self, request: &engine_reservation::ReservationRequest<'_>) -> Placing {
        let (cx, now) = (self.cx, self.now);
        let usable = engine_reservation::usable_engines(cx, request, now);
        let running_out = locks::lock(&cx.servers).versions_running_out(&self.service.name, now);
        let limits = engine_reservation::limits(cx, request, &running_out, now);
        let load = locks::lock(&cx.engine_load);
        let placed = load.place(&usable, request.need, limits, &self.zone, request.id, now);
        let has_room = |engine: &&sync::Arc<backends::Backend>| {
            load.has_room(engine, request.need, limits, now)
        };
        let with_room = usable.iter().filter(has_room);
        Placing {
            with_room: with_room.map(|engine| engine.id.clone()).collect(),
            placed,
            usable,
        }
    }

    fn engine_candidate(&self, engine: &sync::Arc<backends::Backend>, placing: &Placing) -> Value {
        let is_prefill = engine.stage == Some(backends::Stage::Prefill);
        let placed = placing.placed.as_ref().ok();
        let reads = placed.and_then(|placed| placed.prefill.as_ref());
        let result = if reads.is_some_and(|chosen| chosen.id == engine.id) {
            "would read the prompt"
        } else if placed.is_some_and(|placed| placed.decode.id == engine.id) {
            "would generate the answer"
        } else if let Some(reason) = self.reason_to_skip(engine) {
            reason
        } else if !placing.usable.contains(engine) {
            "avoided after failures"
        } else if is_prefill {
            "passed over: another one reads the prompt sooner"
        } else if !placing.with_room.contains(&engine.id) {
            "has no room"
        } else {
            "passed over: another one is less loaded, nearer or faster"
        };
        let load = locks::lock(&self.cx.engine_load);
        let expected = is_prefill.then(|| {
            let tokens = self.prompt.map_or(0, |prompt| prompt.tokens);
            let backlog = load.prefill_backlog(&engine.id, self.now);
            (backlog + load.prefill_time_on(&engine.id, tokens)).as_millis() as u64
        });
        self.candidate(engine, load.runs_on(&engine.id), json!(expected), result)
    }
}

/// Returns whether a server is left among candidates after `remove`.
fn remains(
    server: &sync::Arc<backends::Backend>,
    remove: impl FnOnce(&mut Vec<sync::Arc<backends::Backend>>),
) -> bool {
    let mut servers = vec![server.clone()];
    remove(&mut servers);
    !servers.is_empty()
}
