//! Requests pairs of engines from the steward of a cell, on this host or another one, and reports to
//! it how the granted engines were used.

use std::sync;
use std::time;

use walnuthaven_lib::clock::Clock as _;
use walnuthaven_lib::config;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::refusal;
use walnuthaven_lib::rendezvous;
use walnuthaven_wire::peer;

use crate::convert;
use crate::host;
use crate::locks;
use crate::poll;

/// Pause between calls to a steward that doesn't answer, and between checks for a new steward.
const STEWARD_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// How long calls to a steward that doesn't answer are retried.
const MAX_STEWARD_WAIT: time::Duration = time::Duration::from_secs(5);

/// Engines granted by a steward, with the address for reports on their use.
#[derive(Clone, Debug)]
pub struct GrantedEngines {
    /// The granted prefill and decode engines.
    pub grant: grant::Grant,
    /// The cell that the engines belong to.
    pub cell: config::CellSpec,
    /// The peer address of the steward; `None` if it is this host.
    pub steward_addr: Option<ids::Name>,
}

/// Chooses the cell for a request by rendezvous hashing of `key`, which stands for its content, so that
/// requests with equal prompts go to the same cell.
pub fn choose_cell(cells: &[config::CellSpec], key: &str) -> Option<config::CellSpec> {
    let names = cells.iter().map(|cell| &*cell.name);
    let chosen = rendezvous::choose(key, names)?.to_owned();
    cells.iter().find(|cell| *cell.name == *chosen).cloned()
}

/// Asks the steward of a cell for engines and waits until it grants them.
///
/// # Errors
///
/// Returns the steward's refusal, or a refusal made here if no steward answers in time.
pub async fn acquire(
    cx: &sync::Arc<host::Host>,
    cell: &config::CellSpec,
    mut request: grant::EngineRequest,
) -> Result<GrantedEngines, refusal::Refusal> {
    let started = cx.now();
    let already_waited = request.waited;
    loop {
        let waited = cx.clock.now().saturating_sub(started);
        request.waited = already_waited + waited;
        let steward = locks::lock(&cx.members).steward(&cell.name).clone();
        if steward.id == cx.id {
            let local = cx.steward.cell(cell);
            let grant = local.acquire(cx, request).await?;
            return Ok(GrantedEngines {
                grant,
                cell: cell.clone(),
                steward_addr: None,
            });
        }
        let call = convert::engine_request_to_wire(&cell.name, &request);
        tokio::select! {
            reply = cx.peers.acquire(&steward.peer_addr, call) => match reply {
                Ok(reply) => return granted_engines(reply, cell, &steward.peer_addr),
                Err(status) => {
                    log::debug!(
                        "can't request engines of {} from steward {}: {status}",
                        cell.name,
                        steward.id
                    );
                }
            },
            // A steward that no longer answers must not hold up the requests that wait for it.
            () = wait_steward_changed(cx, &cell.name, &steward.id) => continue,
        }
        if waited > MAX_STEWARD_WAIT.min(request.first_token_target) {
            let message = format!("the steward of {} does not answer", cell.name);
            let refusal = refusal::Refusal::not_run(refusal::Code::Unavailable, message);
            return Err(refusal.with_retry_after(time::Duration::from_secs(1)));
        }
        tokio::time::sleep(STEWARD_RETRY_DELAY).await;
    }
}

/// Waits until the cell has another steward.
async fn wait_steward_changed(cx: &host::Host, cell: &str, steward: &ids::HostId) {
    loop {
        tokio::time::sleep(STEWARD_RETRY_DELAY).await;
        if locks::lock(&cx.members).steward(cell).id != *steward {
            return;
        }
    }
}

/// Reports an event of a grant to the steward, in the background if it is another host.
pub fn report_event(cx: &sync::Arc<host::Host>, engines: &GrantedEngines, event: grant::Event) {
    let wire = match event {
        grant::Event::Prefilled => peer::GrantEvent::Prefilled,
        grant::Event::Released => peer::GrantEvent::Released,
        grant::Event::Completed => peer::GrantEvent::Completed,
    };
    match &engines.steward_addr {
        None => {
            if let Some(cell) = cx.steward.find(&engines.cell.name) {
                cell.on_grant_event(engines.grant.id, event, cx.now());
            }
        }
        Some(addr) => send_report(cx, engines, addr, wire, String::new()),
    }
}

/// Reports that a backend server crashed while it worked on a grant. This also ends the grant.
pub fn report_crash(cx: &sync::Arc<host::Host>, engines: &GrantedEngines, server: &ids::Name) {
    match &engines.steward_addr {
        None => poll::on_reported_crash(cx, &engines.cell.name, engines.grant.id, server),
        Some(addr) => {
            let event = peer::GrantEvent::Crashed;
            send_report(cx, engines, addr, event, server.to_string());
        }
    }
}

fn send_report(
    cx: &sync::Arc<host::Host>,
    engines: &GrantedEngines,
    addr: &ids::Name,
    event: peer::GrantEvent,
    server: String,
) {
    let call = peer::ReportRequest {
        cell: engines.cell.name.to_string(),
        reports: vec![peer::GrantReport {
            grant: engines.grant.id,
            event: event.into(),
            server,
        }],
    };
    let cx = cx.clone();
    let addr = addr.clone();
    tokio::spawn(async move {
        // The steward learns the same from the engines' load reports, so a lost report is not resent.
        if let Err(status) = cx.peers.report(&addr, call).await {
            log::debug!("can't report a grant's event to steward {addr}: {status}");
        }
    });
}

fn granted_engines(
    reply: peer::AcquireReply,
    cell: &config::CellSpec,
    steward_addr: &ids::Name,
) -> Result<GrantedEngines, refusal::Refusal> {
    match reply.outcome {
        Some(peer::acquire_reply::Outcome::Grant(grant)) => Ok(GrantedEngines {
            grant: convert::grant_from_wire(&grant),
            cell: cell.clone(),
            steward_addr: Some(steward_addr.clone()),
        }),
        Some(peer::acquire_reply::Outcome::Refusal(refusal)) => {
            Err(convert::refusal_from_wire(&refusal))
        }
        None => {
            let message = "the steward sent an empty reply";
            Err(refusal::Refusal::not_run(
                refusal::Code::Unavailable,
                message,
            ))
        }
    }
}
