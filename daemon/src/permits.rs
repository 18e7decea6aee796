//! Copies the permits of non-repeatable requests to their backup hosts.
//!
//! The home host, which runs the request, first has a permit for it stored at the backup host that the
//! request id names. If the home host is gone, the permit tells whether the request may have run.

use std::sync;

use walnuthaven_lib::ids;
use walnuthaven_lib::refusal;
use walnuthaven_wire::peer;

use crate::host;
use crate::locks;

/// Copies the permit of a non-repeatable request to its backup host. Does nothing if the id names no
/// backup host.
///
/// # Errors
///
/// Returns a refusal (not run) if the backup host is gone, does not answer or refuses the permit.
pub async fn hold_at_backup(
    cx: &sync::Arc<host::Host>,
    id: &ids::RequestId,
    workspace: &ids::Name,
) -> Result<(), refusal::Refusal> {
    let Some(backup) = &id.backup else {
        return Ok(());
    };
    let member = locks::lock(&cx.members).get(&backup.name).cloned();
    let Some(member) = member.filter(|member| member.id == *backup) else {
        return Err(backup_unavailable(id));
    };
    let call = permit_request(cx, id, workspace, "");
    match cx.peers.hold_permit(&member.peer_addr, call).await {
        Ok(true) => Ok(()),
        Ok(false) => {
            let message = format!("request id {id} was given up; ask for a new one");
            Err(refusal::Refusal::not_run(refusal::Code::IdExpired, message))
        }
        Err(status) => {
            log::debug!("can't copy the permit of {id} to {backup}: {status}");
            Err(backup_unavailable(id))
        }
    }
}

/// Sends the outcome of a request, `answered` or `not_run`, to its backup host, in the background. Does
/// nothing if the backup host is gone.
pub fn record_outcome(cx: &sync::Arc<host::Host>, id: &ids::RequestId, outcome: &'static str) {
    let Some(backup) = &id.backup else {
        return;
    };
    let member = locks::lock(&cx.members).get(&backup.name).cloned();
    let Some(member) = member.filter(|member| member.id == *backup) else {
        return;
    };
    let call = permit_request(cx, id, &"".into(), outcome);
    let cx = cx.clone();
    tokio::spawn(async move {
        if let Err(status) = cx.peers.hold_permit(&member.peer_addr, call).await {
            log::debug!(
                "can't send the outcome of a request to {}: {status}",
                member.id
            );
        }
    });
}

fn permit_request(
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

fn backup_unavailable(id: &ids::RequestId) -> refusal::Refusal {
    let message =
        format!("the host that keeps the permit of {id} is away; ask for a new request id");
    refusal::Refusal::not_run(refusal::Code::Unavailable, message)
}
