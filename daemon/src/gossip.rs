//! Probes between hosts. They detect failed hosts, and each probe and reply also carries membership
//! updates, the digest of the active configuration and recent crash marks.

use std::sync;
use std::time;

use walnuthaven_lib::membership;
use walnuthaven_lib::rendezvous;
use walnuthaven_wire::peer;

use crate::configure;
use crate::convert;
use crate::host;
use crate::locks;
use crate::retention;

/// Number of other hosts that are asked to probe a host that does not answer.
const INDIRECT_PROBERS: usize = 2;
/// Largest number of changed crash marks in a probe or reply.
const MAX_MARKS: usize = 64;
/// How long to wait between attempts to find another host.
const JOIN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Starts to join the fleet and to probe other hosts regularly.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx_join = cx.clone();
    tokio::spawn(async move { join(&cx_join).await });
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(membership::PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            probe_round(&cx);
        }
    });
}

/// Probes all live hosts now, for updates that must not wait for the next round.
pub async fn announce(cx: &sync::Arc<host::Host>) {
    let targets = locks::lock(&cx.members).live_members();
    let others = targets.into_iter().filter(|member| member.id != cx.id);
    let probes = others.map(|member| async move {
        let call = probe_request(cx);
        if let Ok(reply) = cx.peers.probe(&member.peer_addr, call).await {
            handle_reply(cx, &member.peer_addr, &reply);
        }
    });
    futures_util::future::join_all(probes).await;
}

/// Probes the seeds and the hosts of the platform's host list until another host is known.
async fn join(cx: &sync::Arc<host::Host>) {
    loop {
        let mut addrs: Vec<String> = cx.settings.seeds.iter().map(|s| s.to_string()).collect();
        let platform = cx.platform.clone();
        let listed = tokio::task::spawn_blocking(move || platform.hosts()).await;
        if let Ok(Ok(listed)) = listed {
            let hosts = listed
                .into_iter()
                .filter(|h| h.kind == "entry" && !h.leaving);
            addrs.extend(hosts.map(|host| host.addr));
        }
        let own = locks::lock(&cx.members).own().peer_addr.to_string();
        addrs.retain(|addr| *addr != own);
        addrs.sort();
        addrs.dedup();
        for addr in addrs {
            if let Ok(reply) = cx.peers.probe(&addr, probe_request(cx)).await {
                handle_reply(cx, &addr, &reply);
            }
        }
        if locks::lock(&cx.members).live_members().len() > 1 {
            return;
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Advances the membership table and starts a probe of each target of this round.
fn probe_round(cx: &sync::Arc<host::Host>) {
    let (events, targets) = {
        let mut members = locks::lock(&cx.members);
        let events = members.tick(cx.now());
        let mut targets = members.probe_targets();
        if let Some(random) = members.random_target(rand::random())
            && !targets.iter().any(|target| target.id == random.id)
        {
            targets.push(random);
        }
        (events, targets)
    };
    for event in events {
        on_membership_event(cx, event);
    }
    for target in targets {
        let cx = cx.clone();
        tokio::spawn(async move { probe(&cx, target).await });
    }
}

/// Probes a host, through other hosts if it does not answer directly, and records the result.
async fn probe(cx: &sync::Arc<host::Host>, target: membership::Member) {
    let direct = cx.peers.probe(&target.peer_addr, probe_request(cx)).await;
    if let Ok(reply) = direct {
        handle_reply(cx, &target.peer_addr, &reply);
        return;
    }
    for prober in indirect_probers(cx, &target) {
        let reached = cx.peers.probe_via(&prober.peer_addr, &target.id.name).await;
        if reached.unwrap_or(false) {
            locks::lock(&cx.members).record_contact(&target, cx.now());
            return;
        }
    }
    locks::lock(&cx.members).record_failed_probe(&target.id.name, cx.now());
}

/// Chooses hosts that are asked to probe `target`.
fn indirect_probers(cx: &host::Host, target: &membership::Member) -> Vec<membership::Member> {
    let members = locks::lock(&cx.members);
    let others = members
        .eligible()
        .filter(|member| member.id != cx.id && member.id != target.id);
    let names = others.map(|member| &*member.id.name);
    let chosen = rendezvous::ranked(&target.id.name, names, INDIRECT_PROBERS);
    let found = chosen.into_iter().filter_map(|name| members.get(name));
    found.cloned().collect()
}

/// Creates a probe that carries this host's updates.
pub fn probe_request(cx: &host::Host) -> peer::ProbeRequest {
    let (own, updates) = membership_updates(cx);
    peer::ProbeRequest {
        from: Some(own),
        updates,
        config_digest: locks::read(&cx.config).digest(),
        marks: next_marks(cx),
    }
}

/// Creates the reply to a probe, which carries this host's updates.
pub fn probe_reply(cx: &host::Host) -> peer::ProbeReply {
    let (own, updates) = membership_updates(cx);
    peer::ProbeReply {
        from: Some(own),
        updates,
        config_digest: locks::read(&cx.config).digest(),
        marks: next_marks(cx),
    }
}

/// Applies the updates that another host's probe carries.
pub fn handle_probe(cx: &sync::Arc<host::Host>, call: &peer::ProbeRequest) {
    merge_updates(cx, call.from.as_ref(), &call.updates, &call.marks);
    if let Some(from) = &call.from {
        fetch_config_if_different(cx, &from.peer_addr, call.config_digest);
    }
}

/// Applies the updates that a reply carries.
fn handle_reply(cx: &sync::Arc<host::Host>, addr: &str, reply: &peer::ProbeReply) {
    let bytes = prost::Message::encoded_len(reply) as u64;
    host::Counters::add(&cx.counters.control_bytes, bytes);
    merge_updates(cx, reply.from.as_ref(), &reply.updates, &reply.marks);
    fetch_config_if_different(cx, addr, reply.config_digest);
}

/// Returns this host and the membership updates to send with the next probe or reply.
fn membership_updates(cx: &host::Host) -> (peer::Member, Vec<peer::Member>) {
    let mut members = locks::lock(&cx.members);
    let updates = members.next_updates();
    let updates = updates.iter().map(convert::member_to_wire).collect();
    (convert::member_to_wire(members.own()), updates)
}

fn next_marks(cx: &host::Host) -> Vec<peer::CrashMark> {
    let quarantine = locks::lock(&cx.quarantine);
    let marks = locks::lock(&cx.announced_marks).next(
        &quarantine,
        MAX_MARKS,
        time::Duration::ZERO,
        cx.now(),
    );
    marks.iter().map(convert::crash_mark_to_wire).collect()
}

fn merge_updates(
    cx: &sync::Arc<host::Host>,
    from: Option<&peer::Member>,
    updates: &[peer::Member],
    marks: &[peer::CrashMark],
) {
    let now = cx.now();
    {
        let mut members = locks::lock(&cx.members);
        if let Some(member) = from.and_then(convert::member_from_wire) {
            members.record_contact(&member, now);
        }
        for member in updates.iter().filter_map(convert::member_from_wire) {
            members.merge(&member, now);
        }
    }
    let unix_time = cx.unix_time();
    let mut quarantine = locks::lock(&cx.quarantine);
    for mark in marks {
        quarantine.merge(&convert::crash_mark_from_wire(mark), unix_time);
    }
}

/// Fetches configuration from the host at `addr` if its digest differs from the one here.
fn fetch_config_if_different(cx: &sync::Arc<host::Host>, addr: &str, digest: u64) {
    if locks::read(&cx.config).digest() != digest {
        configure::fetch_from(cx, addr);
    }
}

fn on_membership_event(cx: &sync::Arc<host::Host>, event: membership::Event) {
    match event {
        membership::Event::Joined(id) => log::info!("host {id} joined"),
        membership::Event::Gone(id) => {
            log::warn!("host {id} is gone");
            cx.metrics.count("membership.gone");
            retention::reopen_sent_through(cx, &id.name);
            for cell in cx.steward.cells() {
                cell.on_host_gone(cx, &id);
            }
        }
    }
    let members = locks::lock(&cx.members).live_members().len() as u64;
    cx.metrics.gauge("membership.members", members);
    for (name, value) in cx.clients.metrics() {
        cx.metrics.gauge(name, value);
    }
}
