//! The operators' API: JSON over HTTP, authenticated by operator tokens.

use std::io::Read as _;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use walnuthaven_lib::clock;
use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::validate;
use walnuthaven_wire::peer;

use crate::admin;
use crate::configure;
use crate::drain;
use crate::dump;
use crate::forward;
use crate::gossip;
use crate::host;
use crate::locks;
use crate::logging;
use crate::platform;
use crate::settings;

/// Largest request body in bytes.
const MAX_BODY_BYTES: u64 = 2_000_000;

/// An authenticated operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The operator's name.
    pub name: ids::Name,
    /// Whether the operator may make changes; otherwise it may only view.
    pub may_change: bool,
}

/// The body of a request to change a workspace's configuration.
#[derive(Debug, Deserialize, Serialize)]
pub struct ConfigPut {
    /// The new document.
    pub document: serde_json::Value,
    /// The generation that the change is based on, zero for a new workspace.
    pub seen: u64,
    /// Identifies the change, so that a repeated request is applied only once.
    pub change: String,
}

/// Answers a request to the operators' API.
pub fn respond(admin: &admin::Admin, req: &rouille::Request) -> rouille::Response {
    let operator = match find_operator(&admin.cx.settings, bearer_token(req)) {
        Some(operator) => operator,
        None => {
            return error_response(
                401,
                "unauthorized",
                "the operator token is missing or wrong",
            );
        }
    };
    let url = req.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').skip(1).collect();
    let is_read = req.method() == "GET";
    if !is_read && !operator.may_change && parts != ["config", "check"] {
        let message = format!("operator {} may only view", operator.name);
        return error_response(403, "forbidden", &message);
    }
    let cx = &admin.cx;
    match (req.method(), parts.as_slice()) {
        ("GET", ["dump"]) => rouille::Response::json(&dump::collect(cx)),
        ("GET", ["hosts"]) => rouille::Response::json(&locks::lock(&cx.members).all_members()),
        ("GET", ["pools"]) => rouille::Response::json(&list_pools(cx)),
        ("GET", ["config"]) => rouille::Response::json(&dump::collect(cx).config),
        ("POST", ["config", "check"]) => check_document(req),
        ("GET", ["config", workspace]) => show_config(cx, workspace),
        ("PUT", ["config", workspace]) => put_config(cx, &operator, workspace, req),
        ("GET", ["config", workspace, "history"]) => show_history(cx, workspace),
        ("GET", ["config", workspace, "history", generation]) => {
            show_generation(cx, workspace, generation)
        }
        ("GET", ["quarantine"]) => list_quarantine(cx),
        ("POST", ["quarantine", digest, "lift"]) => lift_quarantine(admin, &operator, digest),
        ("GET", ["requests", id]) => show_request(admin, id),
        ("POST", ["drain"]) => drain_host(admin, &operator),
        ("POST", ["log", level]) => set_log_level(&operator, level),
        _ => error_response(
            404,
            "not_found",
            &format!("{} {url} does not exist", req.method()),
        ),
    }
}

/// Finds the operator that a token belongs to.
pub fn find_operator(settings: &settings::Settings, token: Option<&str>) -> Option<Operator> {
    let token = token?;
    let known = settings
        .operators
        .iter()
        .find(|op| op.token.matches(token))?;
    Some(Operator {
        name: known.token.name.clone(),
        may_change: known.may_change,
    })
}

fn bearer_token(req: &rouille::Request) -> Option<&str> {
    req.header("authorization")?.strip_prefix("Bearer ")
}

/// Creates a response with an error. `code` is the error's name in the JSON body.
pub fn error_response(status: u16, code: &str, message: &str) -> rouille::Response {
    let body = json!({ "error": { "code": code, "message": message } });
    rouille::Response::json(&body).with_status_code(status)
}

/// Reads a request's body, up to `MAX_BODY_BYTES`.
fn read_body(req: &rouille::Request) -> Result<String, rouille::Response> {
    let mut text = String::new();
    let data = req.data();
    let data = data.ok_or_else(|| error_response(400, "bad_request", "the body is missing"))?;
    let read = data.take(MAX_BODY_BYTES + 1).read_to_string(&mut text);
    match read {
        Ok(_) if text.len() as u64 > MAX_BODY_BYTES => {
            let message = format!("the body exceeds {MAX_BODY_BYTES} bytes");
            Err(error_response(413, "too_large", &message))
        }
        Ok(_) => Ok(text),
        Err(why) => Err(error_response(400, "bad_request", &format!("body: {why}"))),
    }
}

/// Validates a document without applying it.
fn check_document(req: &rouille::Request) -> rouille::Response {
    let text = match read_body(req) {
        Ok(text) => text,
        Err(response) => return response,
    };
    match validate::parse(&text) {
        Ok((_, warnings)) => rouille::Response::json(&validate::Report {
            faults: Vec::new(),
            warnings,
        }),
        Err(report) => rouille::Response::json(&report).with_status_code(422),
    }
}

fn show_config(cx: &host::Host, workspace: &str) -> rouille::Response {
    match locks::read(&cx.config).get(workspace) {
        Some(stored) => rouille::Response::json(&**stored),
        None => workspace_not_found(workspace),
    }
}

fn workspace_not_found(workspace: &str) -> rouille::Response {
    let message = format!("workspace {workspace:?} does not exist");
    error_response(404, "not_found", &message)
}

fn put_config(
    cx: &sync::Arc<host::Host>,
    operator: &Operator,
    workspace: &str,
    req: &rouille::Request,
) -> rouille::Response {
    let text = match read_body(req) {
        Ok(text) => text,
        Err(response) => return response,
    };
    let put: ConfigPut = match serde_json::from_str(&text) {
        Ok(put) => put,
        Err(why) => return error_response(400, "bad_request", &format!("body: {why}")),
    };
    if !ids::is_name(&put.change) {
        let message = format!("change: {:?} is not a name", put.change);
        return error_response(400, "bad_request", &message);
    }
    let (document, warnings) = match validate::parse(&put.document.to_string()) {
        Ok(parsed) => parsed,
        Err(report) => return rouille::Response::json(&report).with_status_code(422),
    };
    if *document.workspace != *workspace {
        let message = format!("workspace: {:?} is not {workspace:?}", document.workspace);
        return error_response(400, "bad_request", &message);
    }
    let change = configure::Change {
        document,
        seen_generation: put.seen,
        id: put.change,
        author: operator.name.to_string(),
    };
    apply_change(cx, operator, &change, &warnings)
}

/// Applies a validated change and reports the outcome.
fn apply_change(
    cx: &sync::Arc<host::Host>,
    operator: &Operator,
    change: &configure::Change,
    warnings: &[validate::Finding],
) -> rouille::Response {
    let workspace = &change.document.workspace;
    match configure::apply(cx, change) {
        configure::ApplyOutcome::Accepted(generation) => {
            audit(
                operator,
                &format!("config {workspace} generation {generation}"),
            );
            push_in_background(cx, workspace);
            let body = json!({ "generation": generation, "warnings": warnings });
            rouille::Response::json(&body)
        }
        configure::ApplyOutcome::Conflict(stored) => {
            let difference = document_diff(&stored.document, &change.document);
            let message = format!(
                "{} changed {workspace} to generation {}",
                stored.author, stored.generation
            );
            let body = json!({
                "error": { "code": "conflict", "message": message },
                "in_force": stored,
                "difference": difference,
            });
            rouille::Response::json(&body).with_status_code(409)
        }
        configure::ApplyOutcome::Refused(why) => error_response(503, "platform_unavailable", &why),
        configure::ApplyOutcome::Unknown(why) => error_response(504, "outcome_unknown", &why),
    }
}

/// Pushes a workspace's active document to other hosts, in the background.
pub fn push_in_background(cx: &sync::Arc<host::Host>, workspace: &str) {
    let Some(stored) = locks::read(&cx.config).get(workspace).cloned() else {
        return;
    };
    let cx = cx.clone();
    // The operators' threads have no runtime of their own, so this uses the host's. Until the push
    // arrives, hosts also learn of the document from probes.
    cx.runtime.clone().spawn(async move {
        configure::push(&cx, &[(*stored).clone()]).await;
    });
}

/// Returns the difference between two documents as a unified diff of their JSON.
pub fn document_diff(before: &config::Workspace, after: &config::Workspace) -> String {
    let text = |document| serde_json::to_string_pretty(document).unwrap_or_default();
    config_versions::unified_diff(&text(before), &text(after))
}

fn show_history(cx: &host::Host, workspace: &str) -> rouille::Response {
    match locks::read(&cx.config).get(workspace) {
        Some(stored) => rouille::Response::json(&stored.recent),
        None => workspace_not_found(workspace),
    }
}

/// Shows the document of an earlier generation, which can be applied again as a new one.
fn show_generation(cx: &host::Host, workspace: &str, generation: &str) -> rouille::Response {
    let Some(stored) = locks::read(&cx.config).get(workspace).cloned() else {
        return workspace_not_found(workspace);
    };
    let found = stored
        .recent
        .iter()
        .find(|c| c.generation.to_string() == generation);
    let Some(change) = found else {
        let message = format!("generation {generation} is not in the history of {workspace}");
        return error_response(404, "not_found", &message);
    };
    let name = configure::history_name(workspace, change.generation, &change.change);
    match cx.platform.get(configure::HISTORY_KIND, &name) {
        Ok(object) => rouille::Response::json(&object.value),
        Err(platform::Failure::NotFound) => {
            error_response(404, "not_found", &format!("{name} is no longer kept"))
        }
        Err(failure) => error_response(503, "platform_unavailable", &format!("{failure:?}")),
    }
}

/// Lists the cells of all pools with their stewards, and the state of the cells stewarded here.
fn list_pools(cx: &host::Host) -> serde_json::Value {
    let config = locks::read(&cx.config);
    let members = locks::lock(&cx.members);
    let mut pools = Vec::new();
    for stored in config.iter() {
        for pool in &stored.document.pools {
            for cell in stored.document.cells(&pool.name) {
                let steward = members.steward(&cell.name);
                pools.push(json!({
                    "cell": cell.name,
                    "model": pool.model,
                    "engines": cell.engines.len(),
                    "steward": steward.id.name,
                    "steward_admin": steward.admin_addr,
                }));
            }
        }
    }
    drop(members);
    json!({ "pools": pools, "cells_here": dump::cells(cx) })
}

fn list_quarantine(cx: &host::Host) -> rouille::Response {
    let quarantine = locks::lock(&cx.quarantine);
    let marks: Vec<serde_json::Value> = quarantine
        .marks()
        .map(|mark| {
            json!({
                "digest": format!("{:016x}", mark.digest),
                "servers": mark.servers(),
                "quarantined": mark.is_quarantined(),
                "lifted": mark.is_lifted(),
                "expires_unix_ms": clock::millis(mark.expires),
            })
        })
        .collect();
    rouille::Response::json(&marks)
}

fn lift_quarantine(admin: &admin::Admin, operator: &Operator, digest: &str) -> rouille::Response {
    let Ok(number) = u64::from_str_radix(digest, 16) else {
        let message = format!("digest: {digest:?} is not 16 hexadecimal digits");
        return error_response(400, "bad_request", &message);
    };
    let cx = &admin.cx;
    let lifted = locks::lock(&cx.quarantine).lift(number);
    if lifted.is_none() {
        let message = format!("content {digest} is not marked");
        return error_response(404, "not_found", &message);
    }
    audit(operator, &format!("lifted quarantine of {digest}"));
    let shared = cx.clone();
    admin
        .runtime
        .spawn(async move { gossip::announce(&shared).await });
    rouille::Response::json(&json!({ "lifted": digest }))
}

/// Shows the state and trace of a request, asking its home host if that is another one.
fn show_request(admin: &admin::Admin, id: &str) -> rouille::Response {
    let cx = &admin.cx;
    let parsed: ids::RequestId = match id.parse() {
        Ok(parsed) => parsed,
        Err(why) => return error_response(400, "bad_request", &why.to_string()),
    };
    if parsed.home == cx.id {
        let state = locks::lock(&cx.request_table).state(parsed.number).cloned();
        let state = state.map(|state| format!("{state:?}"));
        let steps = cx.traces.get(id);
        return rouille::Response::json(&json!({ "id": id, "state": state, "steps": steps }));
    }
    let Some(home) = forward::find_home(cx, &parsed) else {
        let message = format!("the home of {id} is gone");
        return error_response(404, "not_found", &message);
    };
    let call = peer::LookupRequest {
        request: id.to_owned(),
        fence: false,
    };
    let looked_up = admin
        .runtime
        .block_on(cx.peers.lookup(&home.peer_addr, call));
    match looked_up {
        Ok(reply) => {
            let body = json!({ "id": id, "state": reply.state, "steps": reply.trace });
            rouille::Response::json(&body)
        }
        Err(status) => error_response(503, "unavailable", &status.to_string()),
    }
}

fn drain_host(admin: &admin::Admin, operator: &Operator) -> rouille::Response {
    audit(operator, "drain of this host");
    let cx = admin.cx.clone();
    admin.runtime.spawn(async move { drain::leave(&cx).await });
    rouille::Response::json(&json!({ "phase": "leaving" })).with_status_code(202)
}

fn set_log_level(operator: &Operator, level: &str) -> rouille::Response {
    match level.parse() {
        Ok(parsed) => {
            logging::set_level(parsed);
            audit(operator, &format!("log level {level}"));
            rouille::Response::json(&json!({ "level": level }))
        }
        Err(_) => {
            let message = format!("{level:?} is not off, error, warn, info, debug or trace");
            error_response(400, "bad_request", &message)
        }
    }
}

/// Logs which operator did what, under a log target of its own.
pub fn audit(operator: &Operator, what: &str) {
    log::info!(target: "walnuthaven_daemon::audit", "operator {}: {what}", operator.name);
}
