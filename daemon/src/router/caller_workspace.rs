//! Finds out to which workspace a request's caller belongs.

use std::sync;

use walnuthaven_lib::dialect;
use walnuthaven_lib::routing;
use walnuthaven_lib::workspaces;

use crate::router::answer;
use crate::router::context;

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unauthorized {
    /// For the caller and the log; it never has the key.
    pub(crate) cause: &'static str,
}

impl Unauthorized {
    /// Makes the answer to the request.
    pub(crate) fn answer(self) -> answer::Answer {
        answer::from_router(http::StatusCode::UNAUTHORIZED, self.cause)
    }
}

/// Finds the workspace by the caller's key, and replaces the key in `headers` by the workspace's name. A
/// configuration without workspaces leaves the headers as they are.
///
/// # Errors
///
/// Returns an error if the key isn't known and the route needs one.
pub(crate) fn authenticate<D: dialect::Dialect>(
    cx: &context::Router<D>,
    table: &routing::Table,
    route: &routing::Route,
    headers: &mut http::HeaderMap,
) -> Result<Option<sync::Arc<workspaces::Workspace>>, Unauthorized> {
    if table.workspaces.is_empty() {
        return Ok(None);
    }
    let key = cx.dialect.caller_key(headers);
    let workspace = key.and_then(|key| table.workspaces.find_by_key(key));
    if workspace.is_none() && !route.is_open {
        cx.telemetry.count("workspaces.unauthorized");
        let cause = match key {
            None => "the request has no key",
            Some(_) => "the key is not known",
        };
        return Err(Unauthorized { cause });
    }
    let workspace = workspace.cloned();
    let name = workspace.as_ref().map(|workspace| &*workspace.name);
    cx.dialect.set_workspace(name, headers);
    Ok(workspace)
}

/// Returns the workspace that another host found, which passed the request on.
///
/// # Errors
///
/// Returns an error if this host's configuration doesn't have it.
pub(crate) fn of_forwarded<D: dialect::Dialect>(
    cx: &context::Router<D>,
    table: &routing::Table,
    headers: &http::HeaderMap,
) -> Result<Option<sync::Arc<workspaces::Workspace>>, &'static str> {
    if table.workspaces.is_empty() {
        return Ok(None);
    }
    let name = cx.dialect.workspace(headers);
    let find = |name| table.workspaces.find(name).cloned().ok_or("workspace");
    name.map(find).transpose()
}

/// Returns the priority of a request: that of its workspace, if it has one, goes before that of its route.
pub(crate) fn priority(route: &routing::Route, workspace: Option<&workspaces::Workspace>) -> u8 {
    let own = workspace.and_then(|workspace| workspace.priority);
    own.unwrap_or(route.priority)
}
