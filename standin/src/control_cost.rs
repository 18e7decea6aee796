//! What control costs one real host whose peers' messages are generated.
//!
//! One server answers for all peers. They probe the host as often as they would in a fleet of that
//! size, with as much news, and push configuration changes at the rate designed for.

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

use crate::experiment;
use crate::fleet;
use crate::net;
use crate::platform;
use crate::world;

/// Configuration changes a day at the size designed for.
const CHANGES_A_DAY: f64 = 6_500.0;
/// Membership changes a day at the size designed for, at 2,000 hosts.
const MEMBER_CHANGES_A_DAY_AND_HOST: f64 = (160.0 + 930.0) / 2_000.0;
const SECONDS_A_DAY: f64 = 86_400.0;
const WARM_UP: time::Duration = time::Duration::from_secs(6);
const ZONES: u32 = 23;

struct Peers {
    hosts: u32,
    addr: String,
}

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

fn unused<T>() -> Result<tonic::Response<T>, tonic::Status> {
    Err(tonic::Status::unimplemented("not part of control"))
}

type Answer<T> = Result<tonic::Response<T>, tonic::Status>;

#[tonic::async_trait]
impl peer_server::Peer for Peers {
    async fn probe(&self, req: tonic::Request<peer::ProbeRequest>) -> Answer<peer::ProbeReply> {
        let from = rand::rng().random_range(0..self.hosts);
        Ok(tonic::Response::new(peer::ProbeReply {
            from: Some(member(from, &self.addr, 1)),
            updates: Vec::new(),
            // Peers have the same documents, so that nothing is fetched.
            config_digest: req.into_inner().config_digest,
            marks: Vec::new(),
        }))
    }

    async fn probe_via(
        &self,
        _: tonic::Request<peer::ProbeViaRequest>,
    ) -> Answer<peer::ProbeViaReply> {
        Ok(tonic::Response::new(peer::ProbeViaReply { reached: true }))
    }

    type RunStream = tokio_stream::Empty<Result<peer::RunEvent, tonic::Status>>;

    async fn run(&self, _: tonic::Request<peer::RunRequest>) -> Answer<Self::RunStream> {
        unused()
    }

    async fn call(&self, _: tonic::Request<peer::CallRequest>) -> Answer<peer::CallReply> {
        unused()
    }

    async fn acquire(&self, _: tonic::Request<peer::AcquireRequest>) -> Answer<peer::AcquireReply> {
        unused()
    }

    async fn report(&self, _: tonic::Request<peer::ReportRequest>) -> Answer<peer::ReportReply> {
        unused()
    }

    async fn hold_permit(
        &self,
        _: tonic::Request<peer::PermitRequest>,
    ) -> Answer<peer::PermitReply> {
        unused()
    }

    async fn confirm(&self, _: tonic::Request<peer::ConfirmRequest>) -> Answer<peer::ConfirmReply> {
        unused()
    }

    async fn lookup(&self, _: tonic::Request<peer::LookupRequest>) -> Answer<peer::LookupReply> {
        unused()
    }

    async fn endpoints(
        &self,
        _: tonic::Request<peer::EndpointsRequest>,
    ) -> Answer<peer::EndpointsReply> {
        unused()
    }

    async fn push_config(&self, _: tonic::Request<peer::ConfigPush>) -> Answer<peer::ConfigAck> {
        Ok(tonic::Response::new(peer::ConfigAck { digest: 0 }))
    }

    async fn fetch_config(&self, _: tonic::Request<peer::ConfigFetch>) -> Answer<peer::ConfigPush> {
        Ok(tonic::Response::new(peer::ConfigPush::default()))
    }
}

/// Measures and prints one JSON object. Returns that nothing was broken.
///
/// # Errors
///
/// Returns an error if the host can't be run.
pub async fn run(hosts: u32, workspaces: u32, seconds: u64) -> anyhow::Result<bool> {
    let platform = platform::Platform::new(time::Duration::from_secs(5));
    let platform_addr = platform.serve(net::bind().await?)?;
    for number in 0..workspaces {
        let stored = stored(number, 1, hosts, workspaces);
        platform.seed("config", &workspace_name(number), stored);
    }
    let listener = net::bind().await?;
    let addr = listener.local_addr()?.to_string();
    let peers = Peers {
        hosts,
        addr: addr.clone(),
    };
    let incoming = transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = transport::Server::builder()
        .add_service(peer_server::PeerServer::new(peers))
        .serve_with_incoming(incoming);
    tokio::spawn(served);
    let mut fleet = fleet::Fleet::new(&format!("http://{platform_addr}"), "current", "control")?;
    fleet.start("host-real", "zone-0")?;
    let real = fleet.hosts[0].peer.clone();
    let key = settings::Secret(world::FLEET_KEY.to_owned());
    let client = sync::Arc::new(peer_client::Peers::new(&key));
    introduce(&client, &real, hosts, &addr).await?;
    tokio::spawn(probe_as_peers(client.clone(), real.clone(), hosts, addr));
    tokio::spawn(push_changes(client, real, hosts, workspaces));
    tokio::time::sleep(WARM_UP).await;
    let before = tokio::task::block_in_place(|| fleet.dump(0))?;
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
    let after = tokio::task::block_in_place(|| fleet.dump(0))?;
    print(hosts, workspaces, seconds, &before, &after)?;
    Ok(true)
}

/// Measures an idle fleet of real hosts, each with its part of the engines of both users, and prints
/// one JSON object with the means of a host. Returns that nothing was broken.
///
/// # Errors
///
/// Returns an error if the fleet can't be run.
pub async fn run_real(hosts: u32, seconds: u64) -> anyhow::Result<bool> {
    let world = world::World::start(&[world::User::Coop, world::User::Studio]).await?;
    let mut fleet = fleet::Fleet::new(&world.platform_url, "current", "control")?;
    let zones = world.zones();
    let count = usize::try_from(hosts)?;
    for at in 0..count {
        fleet.start(&format!("host-{at}"), zones[at % zones.len()])?;
    }
    experiment::wait_until_ready(&fleet, count).await?;
    tokio::time::sleep(WARM_UP).await;
    let before = sums(&fleet)?;
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
    let after = sums(&fleet)?;
    let mean =
        |of: fn(&Sums) -> f64| (of(&after) - of(&before)) / seconds as f64 / f64::from(hosts);
    let body = json!({
        "real_hosts": hosts,
        "core_share": mean(|sums| sums.cpu_ms) / 1_000.0,
        "control_bytes_per_s": mean(|sums| sums.bytes),
        "peak_memory_mb": after.peak_kb / 1_024.0,
    });
    println!("{body}");
    Ok(true)
}

#[derive(Default)]
struct Sums {
    cpu_ms: f64,
    bytes: f64,
    peak_kb: f64,
}

fn sums(fleet: &fleet::Fleet) -> anyhow::Result<Sums> {
    let mut sums = Sums::default();
    for at in 0..fleet.hosts.len() {
        let dump = tokio::task::block_in_place(|| fleet.dump(at))?;
        let number = |at: &str| dump.pointer(at).and_then(serde_json::Value::as_f64);
        sums.cpu_ms += number("/cpu_ms").unwrap_or(0.0);
        sums.bytes += number("/counters/control_bytes").unwrap_or(0.0);
        sums.peak_kb = sums.peak_kb.max(number("/memory_kb").unwrap_or(0.0));
    }
    Ok(sums)
}

fn print(
    hosts: u32,
    workspaces: u32,
    seconds: u64,
    before: &serde_json::Value,
    after: &serde_json::Value,
) -> anyhow::Result<()> {
    let number = |dump: &serde_json::Value, at: &str| {
        dump.pointer(at)
            .and_then(serde_json::Value::as_f64)
            .unwrap_or(0.0)
    };
    let per_second = |at: &str| (number(after, at) - number(before, at)) / seconds as f64;
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

/// Makes the host know the whole fleet.
async fn introduce(
    client: &peer_client::Peers,
    real: &str,
    hosts: u32,
    addr: &str,
) -> anyhow::Result<()> {
    let numbers: Vec<u32> = (0..hosts).collect();
    for some in numbers.chunks(membership::MAX_UPDATES) {
        let call = peer::ProbeRequest {
            from: Some(member(some[0], addr, 1)),
            updates: some.iter().map(|number| member(*number, addr, 1)).collect(),
            ..peer::ProbeRequest::default()
        };
        client.probe(real, call).await?;
    }
    Ok(())
}

/// Probes the host as often as its peers would, and brings news at the rate of a fleet of this size.
async fn probe_as_peers(
    client: sync::Arc<peer_client::Peers>,
    real: String,
    hosts: u32,
    addr: String,
) {
    let probes_per_round = membership::PROBED_NEIGHBOURS + 1;
    let every = membership::PROBE_INTERVAL / u32::try_from(probes_per_round).unwrap_or(1);
    let changes_s = MEMBER_CHANGES_A_DAY_AND_HOST * f64::from(hosts) / SECONDS_A_DAY;
    let mut incarnation = 1;
    let mut digest = 0;
    let mut ticks = tokio::time::interval(every);
    loop {
        ticks.tick().await;
        let mut updates = Vec::new();
        let (from, changed) = {
            let mut rng = rand::rng();
            let changes = rng.random_bool((changes_s * every.as_secs_f64()).min(1.0));
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
        // A probe that fails is one message less.
        if let Ok(reply) = client.probe(&real, call).await {
            digest = reply.config_digest;
        }
    }
}

async fn push_changes(
    client: sync::Arc<peer_client::Peers>,
    real: String,
    hosts: u32,
    workspaces: u32,
) {
    let every = time::Duration::from_secs_f64(SECONDS_A_DAY / CHANGES_A_DAY);
    let mut generation = 1;
    let mut ticks = tokio::time::interval(every);
    loop {
        ticks.tick().await;
        generation += 1;
        let number = rand::rng().random_range(0..workspaces);
        let call = peer::ConfigPush {
            documents: vec![peer::ConfigDocument {
                workspace: workspace_name(number),
                generation,
                json: stored(number, generation, hosts, workspaces).to_string(),
            }],
        };
        let _ = client.push_config(&real, call).await;
    }
}

fn workspace_name(number: u32) -> String {
    format!("workspace-{number}")
}

/// A document with its part of the servers: five for each host of the fleet.
fn stored(number: u32, generation: u64, hosts: u32, workspaces: u32) -> serde_json::Value {
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
