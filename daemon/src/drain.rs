//! Graceful shutdown: a leaving host completes its open requests before it ends.
//!
//! The host first announces to the others that it is leaving, so that they no longer send callers
//! to it and take over the cells and services that it stewards. It refuses new requests and names
//! the addresses of other hosts in the refusal. Once its open requests have ended, it closes its
//! connections.

use std::sync;
use std::time;

use walnuthaven_lib::membership;
use walnuthaven_lib::refusal;

use crate::gossip;
use crate::host;
use crate::jobs;
use crate::locks;

/// The phases of a host's shutdown, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not shutting down: the host accepts requests.
    Serving,
    /// The host refuses new requests and completes the open ones.
    Leaving,
    /// No request is open any more, or the time for them is over; connections are being closed.
    Closing,
    /// The shutdown is complete; the process may end.
    Left,
}

const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Longest time to wait for connections to close.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long a leaving host still answers other hosts after its last request has ended.
const LINGER_TIME: time::Duration = time::Duration::from_millis(500);

/// Refuses new requests if the host is leaving.
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

/// Shuts the host down gracefully. Returns when it has reached [`Phase::Left`]: after its open
/// requests have ended, or after the drain timeout of the settings.
pub async fn leave(cx: &sync::Arc<host::Host>) {
    if *cx.phase.borrow() != Phase::Serving {
        return wait_until_left(cx).await;
    }
    log::info!("host {} is leaving", cx.id);
    cx.phase.send_replace(Phase::Leaving);
    locks::lock(&cx.members).start_leaving();
    gossip::announce(cx).await;
    jobs::stop_starting(cx).await;
    let deadline = cx.now() + time::Duration::from_secs(cx.settings.drain_timeout_s);
    while cx.now() < deadline && !is_idle(cx) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    tokio::time::sleep(LINGER_TIME).await;
    cx.phase.send_replace(Phase::Closing);
    let deadline = cx.now() + CLOSE_TIMEOUT;
    while cx.now() < deadline && open_connections(cx) > 0 {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    log::info!("host {} has left", cx.id);
    cx.phase.send_replace(Phase::Left);
}

/// Waits until the host has reached a phase or a later one.
pub async fn wait_for(cx: &host::Host, target: Phase) {
    let mut phase = cx.phase.subscribe();
    // This can't fail, because the sender lives as long as the host.
    let _ = phase.wait_for(|phase| *phase >= target).await;
}

/// Waits until the host has left.
pub async fn wait_until_left(cx: &host::Host) {
    wait_for(cx, Phase::Left).await;
}

/// Returns whether no request or job is running, no answer is being sent, and no request waits in the
/// queues of the cells stewarded here. Queued requests may have their home at other hosts.
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
    calls == 0 && running == 0 && !waiting && !has_readers(cx) && !jobs::are_running(cx)
}

fn open_connections(cx: &host::Host) -> u64 {
    cx.counters
        .connections
        .load(sync::atomic::Ordering::Relaxed)
}

fn has_readers(cx: &host::Host) -> bool {
    let answers = locks::lock(&cx.answers);
    answers.values().any(|answer| answer.has_readers())
}

/// Returns whether callers may be told to connect to a member.
pub fn takes_callers(member: &membership::Member) -> bool {
    member.state == membership::State::Alive
}
