//! Asks other hosts whether they reach a server that this one doesn't.
//!
//! A host whose own links are cut sees what a crash looks like. So that a server can't be reached counts only if
//! another host, which reaches other servers, doesn't reach it either.

use std::collections;
use std::sync;
use std::time;

use futures_util::future;
use rand::seq::IndexedRandom as _;
use walnuthaven_lib::backends;
use walnuthaven_lib::departures;
use walnuthaven_lib::dialect;
use walnuthaven_wire::forward;

use crate::locks;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::events::event;
use crate::router::via_peer;

/// Maximum number of other hosts that are asked about a server.
const MAX_WITNESSES: usize = 3;
/// Longest time to wait for their answers: for a connection to a host and from there to two servers.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// How long an answer holds. All requests in flight at a server that ends ask at about the same time.
const ANSWER_VALID_FOR: time::Duration = time::Duration::from_secs(2);
/// Longest time for a connection attempt to a server.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// What this host has asked about server processes, and when, as time since boot.
#[derive(Debug, Default)]
pub(crate) struct Witnesses {
    asked: sync::Mutex<collections::BTreeMap<backends::Process, (time::Duration, Answer)>>,
}

type Answer = sync::Arc<tokio::sync::OnceCell<departures::OtherHosts>>;

/// Returns whether other hosts reach a server that this one just didn't.
pub(crate) async fn ask<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &sync::Arc<backends::Backend>,
) -> departures::OtherHosts {
    let answer = {
        let now = cx.now();
        let mut asked = locks::lock(&cx.witnesses.asked);
        asked.retain(|_, (at, _)| now.saturating_sub(*at) < ANSWER_VALID_FOR);
        let (_, answer) = asked
            .entry(server.process())
            .or_insert_with(|| (now, Answer::default()));
        answer.clone()
    };
    *answer.get_or_init(|| ask_witnesses(cx, server)).await
}

async fn ask_witnesses<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &sync::Arc<backends::Backend>,
) -> departures::OtherHosts {
    let witnesses = choose(cx, &server.service);
    if witnesses.is_empty() {
        return departures::OtherHosts::None;
    }
    let asking = witnesses.iter().map(|witness| ask_one(cx, server, witness));
    let states = tokio::time::timeout(ANSWER_TIMEOUT, future::join_all(asking));
    let states = states.await.unwrap_or_default();
    let found = |state| states.contains(&state);
    let answer = if found(forward::ServerState::Reached) {
        departures::OtherHosts::Reach
    } else if found(forward::ServerState::Unreachable) {
        departures::OtherHosts::DontReach
    } else {
        departures::OtherHosts::Unknown
    };
    event!(Info, "witnesses-asked", "server" => server.id, "hosts" => witnesses.len(),
        "answers" => format!("{states:?}"));
    answer
}

/// Chooses hosts to ask, first those that reach servers of the service by their own news.
fn choose<D: dialect::Dialect>(cx: &context::Router<D>, service: &str) -> Vec<via_peer::Helper> {
    let peers = locks::lock(&cx.peers);
    let helper = |entry: &walnuthaven_lib::peers::PeerEntry| via_peer::Helper {
        name: entry.name.clone(),
        incarnation: entry.incarnation,
        addr: entry.news_addr,
    };
    let reaching: Vec<_> = peers.helpers(service, 0, cx.now()).collect();
    let all: Vec<_> = peers.helpers("", 0, cx.now()).collect();
    let pool = if reaching.is_empty() { all } else { reaching };
    let chosen = pool.sample(&mut rand::rng(), MAX_WITNESSES);
    chosen.map(|(entry, _)| helper(entry)).collect()
}

async fn ask_one<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &backends::Backend,
    witness: &via_peer::Helper,
) -> forward::ServerState {
    let call = forward::CheckServerRequest {
        server: server.id.to_string(),
        started_unix_ms: server.started_unix_ms,
    };
    let asked = async {
        let mut client = via_peer::connect(cx, witness).await?;
        let mut call = tonic::Request::new(call);
        call.set_timeout(ANSWER_TIMEOUT);
        client.check_server(call).await
    };
    match asked.await {
        Ok(reply) => reply.into_inner().state(),
        Err(status) => {
            event!(Info, "witness-failed", "host" => witness.name, "cause" => status.message());
            via_peer::disconnect(cx, &witness.name);
            forward::ServerState::Unspecified
        }
    }
}

/// Finds out for another host whether this one reaches a server.
pub(crate) async fn check<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    call: &forward::CheckServerRequest,
) -> forward::ServerState {
    let server = locks::lock(&cx.servers).find(&call.server);
    let known = server.filter(|server| {
        let times = server.started_unix_ms.zip(call.started_unix_ms);
        times.is_none_or(|(own, asked)| own == asked)
    });
    let Some(server) = known else {
        return forward::ServerState::Unspecified;
    };
    if accepts(cx, &server).await {
        return forward::ServerState::Reached;
    }
    match reaches_another(cx, &server).await {
        true => forward::ServerState::Unreachable,
        false => forward::ServerState::Unspecified,
    }
}

/// Returns whether this host reaches another server than this one, so that its own links aren't cut.
pub(crate) async fn reaches_another<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
) -> bool {
    let others: Vec<_> = {
        let servers = locks::lock(&cx.servers);
        let listed = servers.all().filter(|(_, vanished)| !vanished);
        let others = listed.filter(|(other, _)| other.id != server.id);
        others.map(|(other, _)| other.clone()).collect()
    };
    let chosen: Vec<_> = others.sample(&mut rand::rng(), MAX_WITNESSES).collect();
    let accepted = future::join_all(chosen.into_iter().map(|other| accepts(cx, other))).await;
    accepted.contains(&true)
}

async fn accepts<D: dialect::Dialect>(cx: &context::Router<D>, server: &backends::Backend) -> bool {
    cx.telemetry.count("server.connections");
    let opened = connection_pool::connect(server.addr, CONNECT_TIMEOUT).await;
    opened.is_ok()
}
