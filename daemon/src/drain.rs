//! Leaving without cutting a request.
//!
//! A leaving host first announces it, so that callers are no longer sent here and stewardship moves.
//! New requests are refused with the addresses of others. What runs is finished; then the host ends.

use std::sync;
use std::time;

use walnuthaven_lib::membership;
use walnuthaven_lib::refusal;

use crate::gossip;
use crate::host;
use crate::jobs;
use crate::locks;

/// How far a host is on its way out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It finishes what runs.
    Leaving,
    /// Nothing runs any more; connections are closed.
    Closing,
    /// Nothing is left.
    Left,
}

const CHECK_EVERY: time::Duration = time::Duration::from_millis(50);
/// Time for connections to close.
const CLOSE_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Time for which a leaving host still answers others after its last request ended.
const LINGER: time::Duration = time::Duration::from_millis(500);

/// Refuses new work on a leaving host.
///
/// # Errors
///
/// Returns a refusal that names the addresses of other hosts.
pub fn refuse_if_leaving(cx: &host::Host) -> Result<(), refusal::Refusal> {
    if *cx.phase.borrow() == Phase::Serving {
        return Ok(());
    }
    let others = other_addresses(cx);
    let message = format!("this host is leaving; others are {}", others.join(", "));
    Err(refusal::Refusal::not_run(refusal::Code::Leaving, message))
}

fn other_addresses(cx: &host::Host) -> Vec<String> {
    let members = locks::lock(&cx.members);
    let others = members.eligible().filter(|member| member.id != cx.id);
    others.map(|member| member.api_addr.to_string()).collect()
}

/// Leaves: returns once nothing is left to do, or when the time for it is over.
pub async fn leave(cx: &sync::Arc<host::Host>) {
    if *cx.phase.borrow() != Phase::Serving {
        return wait_until_left(cx).await;
    }
    log::info!("host {} leaves", cx.id);
    cx.phase.send_replace(Phase::Leaving);
    locks::lock(&cx.members).start_leaving();
    gossip::announce(cx).await;
    jobs::stop_starting(cx).await;
    let until = cx.now() + time::Duration::from_secs(cx.settings.drain_timeout_s);
    while cx.now() < until && !is_idle(cx) {
        tokio::time::sleep(CHECK_EVERY).await;
    }
    tokio::time::sleep(LINGER).await;
    cx.phase.send_replace(Phase::Closing);
    let until = cx.now() + CLOSE_LIMIT;
    while cx.now() < until && connections(cx) > 0 {
        tokio::time::sleep(CHECK_EVERY).await;
    }
    log::info!("host {} has left", cx.id);
    cx.phase.send_replace(Phase::Left);
}

/// Waits until the host has come to a phase.
pub async fn wait_for(cx: &host::Host, wanted: Phase) {
    let mut phase = cx.phase.subscribe();
    // The sender lives as long as the host.
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

/// Waits until the host has left.
pub async fn wait_until_left(cx: &host::Host) {
    wait_for(cx, Phase::Left).await;
}

/// Returns whether no request runs, no answer is being sent and no other home waits for a cell here.
fn is_idle(cx: &host::Host) -> bool {
    let calls = cx
        .counters
        .unanswered_calls
        .load(sync::atomic::Ordering::Relaxed);
    let running = locks::lock(&cx.request_table).running();
    let waiting = cx.steward.cells().iter().any(|cell| {
        let counts = cell.with(|cell| cell.counts());
        counts.urgent + counts.normal + counts.patient > 0
    });
    calls == 0 && running == 0 && !waiting && !has_readers(cx)
}

fn connections(cx: &host::Host) -> u64 {
    cx.counters
        .connections
        .load(sync::atomic::Ordering::Relaxed)
}

fn has_readers(cx: &host::Host) -> bool {
    let answers = locks::lock(&cx.answers);
    answers.values().any(|answer| answer.has_readers())
}

/// Returns whether a member may be handed out to callers.
pub fn takes_callers(member: &membership::Member) -> bool {
    member.state == membership::State::Alive
}
