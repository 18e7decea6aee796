//! Copies of permits at the buddies that request ids name.

use std::sync;

use walnuthaven_lib::ids;
use walnuthaven_lib::refusal;
use walnuthaven_wire::peer;

use crate::host;
use crate::locks;

/// Copies the permit of a non-repeatable request to the buddy that its id names.
///
/// # Errors
///
/// Refuses the request, not run, if the buddy does not hold the permit.
pub async fn hold_at_backup(
    cx: &sync::Arc<host::Host>,
    id: &ids::RequestId,
    workspace: &ids::Name,
) -> Result<(), refusal::Refusal> {
    let Some(buddy) = &id.backup else {
        return Ok(());
    };
    let member = locks::lock(&cx.members).get(&buddy.name).cloned();
    let Some(member) = member.filter(|member| member.id == *buddy) else {
        return Err(no_buddy(id));
    };
    let call = permit_call(cx, id, workspace, "");
    match cx.peers.hold_permit(&member.peer_addr, call).await {
        Ok(true) => Ok(()),
        Ok(false) => {
            let message = format!("request id {id} was given up; ask for a new one");
            Err(refusal::Refusal::not_run(refusal::Code::IdExpired, message))
        }
        Err(status) => {
            log::debug!("permit of {id} at {buddy}: {status}");
            Err(no_buddy(id))
        }
    }
}

/// Tells the buddy the outcome of a request, in the background.
pub fn record_outcome(cx: &sync::Arc<host::Host>, id: &ids::RequestId, outcome: &'static str) {
    let Some(buddy) = &id.backup else {
        return;
    };
    let member = locks::lock(&cx.members).get(&buddy.name).cloned();
    let Some(member) = member.filter(|member| member.id == *buddy) else {
        return;
    };
    let call = permit_call(cx, id, &"".into(), outcome);
    let cx = cx.clone();
    tokio::spawn(async move {
        if let Err(status) = cx.peers.hold_permit(&member.peer_addr, call).await {
            log::debug!("outcome to {}: {status}", member.id);
        }
    });
}

fn permit_call(
    cx: &host::Host,
    id: &ids::RequestId,
    workspace: &ids::Name,
    outcome: &str,
) -> peer::PermitRequest {
    peer::PermitRequest {
        request: id.to_string(),
        home: cx.id.name.to_string(),
        home_incarnation: cx.id.incarnation,
        workspace: workspace.to_string(),
        outcome: outcome.to_owned(),
    }
}

fn no_buddy(id: &ids::RequestId) -> refusal::Refusal {
    let message =
        format!("the host that keeps the permit of {id} is away; ask for a new request id");
    refusal::Refusal::not_run(refusal::Code::Unavailable, message)
}
