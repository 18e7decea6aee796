//! Getting engines from the steward of a cell, here or at another host.

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

const STEWARD_RETRY: time::Duration = time::Duration::from_millis(100);
const MAX_STEWARD_WAIT: time::Duration = time::Duration::from_secs(5);

/// Engines granted by a steward, with where to report.
#[derive(Clone, Debug)]
pub struct GrantedEngines {
    /// The grant.
    pub grant: grant::Grant,
    /// The cell.
    pub cell: config::CellSpec,
    /// The peer address of the steward, `None` if it is this host.
    pub steward_addr: Option<ids::Name>,
}

/// Chooses the cell for a request: one of two drawn by its content, so that equal prompts meet.
pub fn choose_cell(cells: &[config::CellSpec], key: &str) -> Option<config::CellSpec> {
    let names = cells.iter().map(|cell| &*cell.name);
    let chosen = rendezvous::choose(key, names)?.to_owned();
    cells.iter().find(|cell| *cell.name == *chosen).cloned()
}

/// Waits for engines.
///
/// # Errors
///
/// Returns the steward's refusal, or one of our own when no steward answers in time.
pub async fn acquire(
    cx: &sync::Arc<host::Host>,
    cell: &config::CellSpec,
    mut ask: grant::EngineRequest,
) -> Result<GrantedEngines, refusal::Refusal> {
    let began = cx.now();
    let already_waited = ask.waited;
    loop {
        let waited = cx.clock.now().saturating_sub(began);
        ask.waited = already_waited + waited;
        let steward = locks::lock(&cx.members).steward(&cell.name).clone();
        if steward.id == cx.id {
            let local = cx.steward.cell(cell);
            let grant = local.acquire(cx, ask).await?;
            return Ok(GrantedEngines {
                grant,
                cell: cell.clone(),
                steward_addr: None,
            });
        }
        let call = convert::engine_request_to_wire(&cell.name, &ask);
        tokio::select! {
            reply = cx.peers.acquire(&steward.peer_addr, call) => match reply {
                Ok(reply) => return reply_to_held(reply, cell, &steward.peer_addr),
                Err(status) => {
                    log::debug!("steward {} of {}: {status}", steward.id, cell.name);
                }
            },
            // A steward that is silent must not keep its waiting requests.
            () = steward_changed(cx, &cell.name, &steward.id) => continue,
        }
        if waited > MAX_STEWARD_WAIT.min(ask.first_token_target) {
            let message = format!("the steward of {} does not answer", cell.name);
            let refusal = refusal::Refusal::not_run(refusal::Code::Unavailable, message);
            return Err(refusal.with_retry_after(time::Duration::from_secs(1)));
        }
        tokio::time::sleep(STEWARD_RETRY).await;
    }
}

/// Waits until another host stewards the cell.
async fn steward_changed(cx: &host::Host, cell: &str, steward: &ids::HostId) {
    loop {
        tokio::time::sleep(STEWARD_RETRY).await;
        if locks::lock(&cx.members).steward(cell).id != *steward {
            return;
        }
    }
}

/// Reports to the steward, in the background if it is another host.
pub fn report_event(cx: &sync::Arc<host::Host>, held: &GrantedEngines, event: grant::Event) {
    let wire = match event {
        grant::Event::Prefilled => peer::GrantEvent::Prefilled,
        grant::Event::Released => peer::GrantEvent::Released,
        grant::Event::Completed => peer::GrantEvent::Completed,
    };
    match &held.steward_addr {
        None => {
            if let Some(cell) = cx.steward.find(&held.cell.name) {
                cell.on_grant_event(held.grant.id, event, cx.now());
            }
        }
        Some(addr) => send_report(cx, held, addr, wire, String::new()),
    }
}

/// Reports that a backend server crashed while it worked on a grant. This ends the grant too.
pub fn report_crash(cx: &sync::Arc<host::Host>, held: &GrantedEngines, server: &ids::Name) {
    match &held.steward_addr {
        None => poll::on_reported_crash(cx, &held.cell.name, held.grant.id, server),
        Some(addr) => {
            let event = peer::GrantEvent::Crashed;
            send_report(cx, held, addr, event, server.to_string());
        }
    }
}

fn send_report(
    cx: &sync::Arc<host::Host>,
    held: &GrantedEngines,
    addr: &ids::Name,
    event: peer::GrantEvent,
    server: String,
) {
    let call = peer::ReportRequest {
        cell: held.cell.name.to_string(),
        reports: vec![peer::GrantReport {
            grant: held.grant.id,
            event: event.into(),
            server,
        }],
    };
    let cx = cx.clone();
    let addr = addr.clone();
    tokio::spawn(async move {
        // A lost report is made good by the engines' own reports.
        if let Err(status) = cx.peers.report(&addr, call).await {
            log::debug!("report to {addr}: {status}");
        }
    });
}

fn reply_to_held(
    reply: peer::AcquireReply,
    cell: &config::CellSpec,
    steward: &ids::Name,
) -> Result<GrantedEngines, refusal::Refusal> {
    match reply.outcome {
        Some(peer::acquire_reply::Outcome::Grant(grant)) => Ok(GrantedEngines {
            grant: convert::grant_from_wire(&grant),
            cell: cell.clone(),
            steward_addr: Some(steward.clone()),
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
