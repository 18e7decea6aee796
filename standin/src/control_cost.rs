//! Measures the CPU time, traffic and memory that the control protocol costs one real host whose
//! peers are simulated.
//!
//! One server answers for all peers. The peers probe the host as often as in a real fleet of that
//! size, with as many membership changes, and push configuration changes at the rate that the system
//! is designed for.

use std::sync;
use std::time;

use rand::RngExt as _;
use serde_json::json;
use tonic::transport;
use walnuthaven_daemon::peer_client;
use walnuthaven_daemon::settings;
use walnuthaven_lib::membership;
use walnuthaven_wire::peer;
use walnuthaven_wire::peer::peer_server;

use crate::daemon_fleet;
use crate::experiment;
use crate::http_server;
use crate::platform;
use crate::world;

/// Configuration changes per day at the fleet size that the system is designed for.
const CHANGES_PER_DAY: f64 = 6_500.0;
/// Membership changes per day and host: 160 and 930 changes per day at 2,000 hosts, the fleet size
/// that the system is designed for.
const MEMBER_CHANGES_PER_DAY_AND_HOST: f64 = (160.0 + 930.0) / 2_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Wait before the measurement.
const WARM_UP: time::Duration = time::Duration::from_secs(6);
/// Number of availability zones over which hosts and servers are spread.
const ZONES: u32 = 23;

/// Answers the calls that the real host makes to any of its peers.
struct SimulatedPeers {
    hosts: u32,
    /// Address at which all peers are reachable.
    addr: String,
}

/// Returns the membership entry of a simulated peer.
fn member(number: u32, addr: &str, incarnation: u64) -> peer::Member {
    peer::Member {
        name: format!("peer-{number}"),
        zone: format!("zone-{}", number % ZONES),
        incarnation,
        peer_addr: addr.to_owned(),
        api_addr: addr.to_owned(),
        admin_addr: addr.to_owned(),
        state: peer::MemberState::Alive.into(),
        refutation: 0,
    }
}

/// Refuses a call that is not part of the control protocol.
fn unimplemented<T>() -> Result<tonic::Response<T>, tonic::Status> {
    Err(tonic::Status::unimplemented("not part of control"))
}

type RpcResult<T> = Result<tonic::Response<T>, tonic::Status>;

#[tonic::async_trait]
impl peer_server::Peer for SimulatedPeers {
    async fn probe(&self, req: tonic::Request<peer::ProbeRequest>) -> RpcResult<peer::ProbeReply> {
        let from = rand::rng().random_range(0..self.hosts);
        Ok(tonic::Response::new(peer::ProbeReply {
            from: Some(member(from, &self.addr, 1)),
            updates: Vec::new(),
            // With equal digests the host assumes equal documents and fetches none.
            config_digest: req.into_inner().config_digest,
            marks: Vec::new(),
        }))
    }

    async fn probe_via(
        &self,
        _: tonic::Request<peer::ProbeViaRequest>,
    ) -> RpcResult<peer::ProbeViaReply> {
        Ok(tonic::Response::new(peer::ProbeViaReply { reached: true }))
    }

    type RunStream = tokio_stream::Empty<Result<peer::RunEvent, tonic::Status>>;

    async fn run(&self, _: tonic::Request<peer::RunRequest>) -> RpcResult<Self::RunStream> {
        unimplemented()
    }

    async fn call(&self, _: tonic::Request<peer::CallRequest>) -> RpcResult<peer::CallReply> {
        unimplemented()
    }

    async fn acquire(
        &self,
        _: tonic::Request<peer::AcquireRequest>,
    ) -> RpcResult<peer::AcquireReply> {
        unimplemented()
    }

    async fn report(&self, _: tonic::Request<peer::ReportRequest>) -> RpcResult<peer::ReportReply> {
        unimplemented()
    }

    async fn hold_permit(
        &self,
        _: tonic::Request<peer::PermitRequest>,
    ) -> RpcResult<peer::PermitReply> {
        unimplemented()
    }

    async fn confirm(
        &self,
        _: tonic::Request<peer::ConfirmRequest>,
    ) -> RpcResult<peer::ConfirmReply> {
        unimplemented()
    }

    async fn lookup(&self, _: tonic::Request<peer::LookupRequest>) -> RpcResult<peer::LookupReply> {
        unimplemented()
    }

    async fn endpoints(
        &self,
        _: tonic::Request<peer::EndpointsRequest>,
    ) -> RpcResult<peer::EndpointsReply> {
        unimplemented()
    }

    async fn push_config(&self, _: tonic::Request<peer::ConfigPush>) -> RpcResult<peer::ConfigAck> {
        Ok(tonic::Response::new(peer::ConfigAck { digest: 0 }))
    }

    async fn fetch_config(
        &self,
        _: tonic::Request<peer::ConfigFetch>,
    ) -> RpcResult<peer::ConfigPush> {
        Ok(tonic::Response::new(peer::ConfigPush::default()))
    }
}

/// Measures one real host in a fleet of `hosts` simulated peers for `seconds` seconds and prints the
/// result as one JSON object. Always returns `true`.
///
/// # Errors
///
/// Returns an error if the host can't be run.
pub async fn run(hosts: u32, workspaces: u32, seconds: u64) -> anyhow::Result<bool> {
    let platform = platform::Platform::new(time::Duration::from_secs(5));
    let platform_addr = platform.serve(http_server::bind().await?)?;
    for number in 0..workspaces {
        let stored_config = stored_config(number, 1, hosts, workspaces);
        platform.put_unconditionally("config", &workspace_name(number), stored_config);
    }
    let listener = http_server::bind().await?;
    let addr = listener.local_addr()?.to_string();
    let peers = SimulatedPeers {
        hosts,
        addr: addr.clone(),
    };
    let incoming = transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = transport::Server::builder()
        .add_service(peer_server::PeerServer::new(peers))
        .serve_with_incoming(incoming);
    tokio::spawn(served);
    let mut fleet =
        daemon_fleet::Fleet::new(&format!("http://{platform_addr}"), "current", "control")?;
    fleet.start("host-real", "zone-0")?;
    let real_addr = fleet.hosts[0].peer_addr.clone();
    let key = settings::Secret(world::FLEET_KEY.to_owned());
    let client = sync::Arc::new(peer_client::Peers::new(&key));
    announce_peers(&client, &real_addr, hosts, &addr).await?;
    tokio::spawn(probe_as_peers(
        client.clone(),
        real_addr.clone(),
        hosts,
        addr,
    ));
    tokio::spawn(push_changes(client, real_addr, hosts, workspaces));
    tokio::time::sleep(WARM_UP).await;
    let before = tokio::task::block_in_place(|| fleet.dump(0))?;
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
    let after = tokio::task::block_in_place(|| fleet.dump(0))?;
    print_report(hosts, workspaces, seconds, &before, &after)?;
    Ok(true)
}

/// Measures an idle fleet of `hosts` real hosts that share the engines of both users, for `seconds`
/// seconds. Prints the mean CPU time and control traffic per host and second and the largest memory of a host
/// as one JSON object. Always
/// returns `true`.
///
/// # Errors
///
/// Returns an error if the fleet can't be run.
pub async fn run_real(hosts: u32, seconds: u64) -> anyhow::Result<bool> {
    let world = world::World::start(&[world::User::Coop, world::User::Studio]).await?;
    let mut fleet = daemon_fleet::Fleet::new(&world.platform_url, "current", "control")?;
    let zones = world.zones();
    let count = usize::try_from(hosts)?;
    for at in 0..count {
        fleet.start(&format!("host-{at}"), zones[at % zones.len()])?;
    }
    experiment::wait_until_ready(&fleet, count).await?;
    tokio::time::sleep(WARM_UP).await;
    let before = read_totals(&fleet)?;
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
    let after = read_totals(&fleet)?;
    let mean_rate = |total: fn(&UsageTotals) -> f64| {
        (total(&after) - total(&before)) / seconds as f64 / f64::from(hosts)
    };
    let body = json!({
        "real_hosts": hosts,
        "core_share": mean_rate(|totals| totals.cpu_ms) / 1_000.0,
        "control_bytes_per_s": mean_rate(|totals| totals.bytes),
        "peak_memory_mb": after.peak_kb / 1_024.0,
    });
    println!("{body}");
    Ok(true)
}

/// Resources used by all hosts since their start.
#[derive(Default)]
struct UsageTotals {
    cpu_ms: f64,
    /// Bytes of control messages.
    bytes: f64,
    /// The largest memory of a single host in kilobytes.
    peak_kb: f64,
}

/// Sums up the resources that the dumps of all hosts report.
fn read_totals(fleet: &daemon_fleet::Fleet) -> anyhow::Result<UsageTotals> {
    let mut totals = UsageTotals::default();
    for index in 0..fleet.hosts.len() {
        let dump = tokio::task::block_in_place(|| fleet.dump(index))?;
        let number = |path: &str| dump.pointer(path).and_then(serde_json::Value::as_f64);
        totals.cpu_ms += number("/cpu_ms").unwrap_or(0.0);
        totals.bytes += number("/counters/control_bytes").unwrap_or(0.0);
        totals.peak_kb = totals.peak_kb.max(number("/memory_kb").unwrap_or(0.0));
    }
    Ok(totals)
}

/// Prints the result for one real host from its dumps at the start and the end of the measurement.
fn print_report(
    hosts: u32,
    workspaces: u32,
    seconds: u64,
    before: &serde_json::Value,
    after: &serde_json::Value,
) -> anyhow::Result<()> {
    let number = |dump: &serde_json::Value, path: &str| {
        dump.pointer(path)
            .and_then(serde_json::Value::as_f64)
            .unwrap_or(0.0)
    };
    let per_second = |path: &str| (number(after, path) - number(before, path)) / seconds as f64;
    let members = after["members"].as_array().map_or(0, Vec::len);
    let report = json!({
        "hosts": hosts,
        "workspaces": workspaces,
        "members_known": members,
        "documents": after["config"].as_array().map_or(0, Vec::len),
        "core_share": per_second("/cpu_ms") / 1_000.0,
        "control_bytes_per_s": per_second("/counters/control_bytes"),
        "peak_memory_mb": number(after, "/memory_kb") / 1_024.0,
    });
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

/// Announces all simulated peers to the real host.
async fn announce_peers(
    client: &peer_client::Peers,
    real_addr: &str,
    hosts: u32,
    addr: &str,
) -> anyhow::Result<()> {
    let numbers: Vec<u32> = (0..hosts).collect();
    for chunk in numbers.chunks(membership::MAX_UPDATES) {
        let call = peer::ProbeRequest {
            from: Some(member(chunk[0], addr, 1)),
            updates: chunk
                .iter()
                .map(|number| member(*number, addr, 1))
                .collect(),
            ..peer::ProbeRequest::default()
        };
        client.probe(real_addr, call).await?;
    }
    Ok(())
}

/// Probes the host as often as the peers of a real fleet would, with membership changes at the rate
/// of a fleet of this size.
async fn probe_as_peers(
    client: sync::Arc<peer_client::Peers>,
    real_addr: String,
    hosts: u32,
    addr: String,
) {
    let probes_per_round = membership::PROBED_NEIGHBOURS + 1;
    let interval = membership::PROBE_INTERVAL / u32::try_from(probes_per_round).unwrap_or(1);
    let changes_per_s = MEMBER_CHANGES_PER_DAY_AND_HOST * f64::from(hosts) / SECONDS_PER_DAY;
    let mut incarnation = 1;
    let mut digest = 0;
    let mut ticks = tokio::time::interval(interval);
    loop {
        ticks.tick().await;
        let mut updates = Vec::new();
        let (from, changed) = {
            let mut rng = rand::rng();
            let changes = rng.random_bool((changes_per_s * interval.as_secs_f64()).min(1.0));
            let changed = changes.then(|| rng.random_range(0..hosts));
            (rng.random_range(0..hosts), changed)
        };
        if let Some(changed) = changed {
            incarnation += 1;
            updates.push(member(changed, &addr, incarnation));
        }
        let call = peer::ProbeRequest {
            from: Some(member(from, &addr, 1)),
            updates,
            config_digest: digest,
            ..peer::ProbeRequest::default()
        };
        // A failed probe only means one message less in the measurement.
        if let Ok(reply) = client.probe(&real_addr, call).await {
            digest = reply.config_digest;
        }
    }
}

/// Pushes configuration changes of random workspaces to the host at the rate that the system is
/// designed for.
async fn push_changes(
    client: sync::Arc<peer_client::Peers>,
    real_addr: String,
    hosts: u32,
    workspaces: u32,
) {
    let interval = time::Duration::from_secs_f64(SECONDS_PER_DAY / CHANGES_PER_DAY);
    let mut generation = 1;
    let mut ticks = tokio::time::interval(interval);
    loop {
        ticks.tick().await;
        generation += 1;
        let number = rand::rng().random_range(0..workspaces);
        let call = peer::ConfigPush {
            documents: vec![peer::ConfigDocument {
                workspace: workspace_name(number),
                generation,
                json: stored_config(number, generation, hosts, workspaces).to_string(),
            }],
        };
        let _ = client.push_config(&real_addr, call).await;
    }
}

fn workspace_name(number: u32) -> String {
    format!("workspace-{number}")
}

/// Returns the stored configuration of a workspace. Its document lists an equal part of all backend
/// servers, five for each host of the fleet.
fn stored_config(number: u32, generation: u64, hosts: u32, workspaces: u32) -> serde_json::Value {
    let servers = (hosts * 5).div_ceil(workspaces.max(1));
    let backends: Vec<serde_json::Value> = (0..servers)
        .map(|server| {
            json!({
                "name": format!("server-{number}-{server}"),
                "addr": format!("127.0.{}.{}:{}", number % 250, server % 250, 9_000 + server / 250),
                "zone": format!("zone-{}", server % ZONES),
                "pool": "main",
                "role": if server % 2 == 0 { "prefill" } else { "decode" },
            })
        })
        .collect();
    let change = json!({
        "generation": generation, "change": format!("c-{generation}"), "author": "a", "unix_ms": 0,
    });
    json!({
        "generation": generation,
        "change": format!("c-{generation}"),
        "author": "a",
        "unix_ms": 0,
        "recent": [change],
        "document": {
            "workspace": workspace_name(number),
            "pools": [{ "name": "main", "model": "m" }],
            "backends": backends,
        },
    })
}
