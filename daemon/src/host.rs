//! The shared state of a host, and its start.

use std::collections;
use std::fs;
use std::io;
use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use anyhow::Context as _;
use tokio::runtime;
use tokio::sync::watch;
use walnuthaven_lib::announced_marks;
use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::grant;
use walnuthaven_lib::history;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;
use walnuthaven_lib::permit;
use walnuthaven_lib::quarantine;
use walnuthaven_lib::request_table;
use walnuthaven_lib::retry;

use crate::admin;
use crate::answer;
use crate::api_server;
use crate::callers;
use crate::cancel;
use crate::configure;
use crate::drain;
use crate::endpoints;
use crate::engine;
use crate::gossip;
use crate::jobs;
use crate::locks;
use crate::metrics;
use crate::orders;
use crate::peer_client;
use crate::peer_server;
use crate::plain;
use crate::platform;
use crate::poll;
use crate::retention;
use crate::router::clients;
use crate::settings;
use crate::sockets;
use crate::steward;
use crate::stewardship;
use crate::trace;

/// The state of a host, shared by all its tasks and threads.
#[derive(Debug)]
pub struct Host {
    /// The settings.
    pub settings: settings::Settings,
    /// The host's name and incarnation.
    pub id: ids::HostId,
    /// The clock.
    pub clock: clock::BootClock,
    /// The hosts known here, including this one.
    pub members: sync::Mutex<membership::Table>,
    /// The requests whose ids this host issued.
    pub request_table: sync::Mutex<request_table::Table>,
    /// The permits that this host keeps as the backup of other hosts.
    pub permits: sync::Mutex<permit::Table>,
    /// Marks of content that crashed backend servers.
    pub quarantine: sync::Mutex<quarantine::Table>,
    /// Which marks of `quarantine` were announced to other hosts.
    pub announced_marks: sync::Mutex<announced_marks::Announcements>,
    /// The active configuration documents.
    pub config: sync::RwLock<config_versions::ActiveDocuments>,
    /// Retry budgets by workspace.
    pub retry_budgets: sync::Mutex<collections::HashMap<ids::Name, retry::Budget>>,
    /// Answers of requests whose home is here, by request number.
    pub answers: sync::Mutex<collections::HashMap<u64, sync::Arc<answer::Answer>>>,
    /// The cells stewarded here.
    pub steward: steward::Steward,
    /// Caches which cells and services this host stewards.
    pub assignments: stewardship::Cache,
    /// Answers that other hosts relay to the callers.
    pub relayed: retention::RelayedAnswers,
    /// Client for engines.
    pub engines: engine::Client,
    /// Client for other hosts.
    pub peers: peer_client::Peers,
    /// Client for the platform.
    pub platform: platform::Client,
    /// Proxy to the backend servers of plain services.
    pub plain: plain::Proxy,
    /// Jobs that this host accepted or took over.
    pub jobs: jobs::Jobs,
    /// Metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// The connections of clients, and the memory of their messages.
    pub(crate) clients: sync::Arc<clients::Clients>,
    /// Traces of recent requests.
    pub traces: trace::Traces,
    /// Cache of callers' keys that were verified.
    pub verified_keys: callers::KeyCache,
    /// The phase of the host's shutdown.
    pub phase: watch::Sender<drain::Phase>,
    /// Counters for the state dump.
    pub counters: Counters,
    /// Number of configuration fetches that are running.
    pub config_fetches: atomic::AtomicU32,
    /// The runtime that handles requests, so that threads outside of it can start tasks.
    pub runtime: runtime::Handle,
    /// The file for the events that the history checker reads.
    events_file: Option<sync::Mutex<fs::File>>,
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests from callers.
    pub requests: atomic::AtomicU64,
    /// Refused requests.
    pub refused: atomic::AtomicU64,
    /// Tokens sent to callers.
    pub tokens: atomic::AtomicU64,
    /// Attempts to run requests on engines.
    pub attempts: atomic::AtomicU64,
    /// Calls to other hosts.
    pub peer_calls: atomic::AtomicU64,
    /// Bytes of the probes and probe replies received from other hosts.
    pub control_bytes: atomic::AtomicU64,
    /// Callers' connections that are open now.
    pub connections: atomic::AtomicU64,
    /// Callers' calls that are open now and whose response has not begun.
    pub unanswered_calls: atomic::AtomicU64,
}

impl Counters {
    /// Adds to a counter.
    pub fn add(counter: &atomic::AtomicU64, amount: u64) {
        counter.fetch_add(amount, atomic::Ordering::Relaxed);
    }
}

/// A host that was started, and the addresses on which it listens.
#[derive(Debug)]
pub struct RunningHost {
    /// The host's state.
    pub host: sync::Arc<Host>,
    /// The address for callers.
    pub api_addr: net::SocketAddr,
    /// The address for other hosts.
    pub peer_addr: net::SocketAddr,
    /// The address for operators.
    pub admin_addr: net::SocketAddr,
}

impl Host {
    /// Cancels a request at an engine in the background, which frees what it holds there.
    pub fn cancel(&self, order: grant::Cancel) {
        cancel::spawn(self.engines.clone(), self.metrics.clone(), order);
    }

    /// Returns the cells and services that this host stewards now.
    pub fn current_assignments(&self) -> sync::Arc<stewardship::Assignments> {
        let config = locks::read(&self.config);
        let members = locks::lock(&self.members);
        self.assignments.get(&self.id, &config, &members)
    }

    /// Starts a host in the current runtime. When this returns, the host listens on its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address, the events file or a client can't be set up. The error names
    /// the settings key of an address that can't be used.
    pub async fn start(settings: settings::Settings) -> anyhow::Result<RunningHost> {
        let limits = settings.limits.resource_limits();
        let buffers = sockets::Buffers::both(limits.client_socket_buffer);
        let api = listen("api", settings.api_addr, buffers)?;
        let peer = listen("peer", settings.peer_addr, buffers)?;
        let admin = listen("admin", settings.admin_addr, buffers)?;
        let addresses = Addresses {
            api: api.local_addr()?,
            peer: peer.local_addr()?,
            admin: admin.local_addr()?,
        };
        let host = sync::Arc::new(Self::new(settings, &addresses)?);
        log::info!("host {} listens for callers on {}", host.id, addresses.api);
        tokio::spawn(peer_server::serve(host.clone(), peer));
        admin::serve(host.clone(), admin);
        gossip::spawn(&host);
        configure::spawn(&host);
        poll::spawn(&host);
        endpoints::spawn(&host);
        jobs::spawn(&host);
        orders::spawn(&host);
        retention::spawn(&host);
        tokio::spawn(api_server::serve(host.clone(), api));
        Ok(RunningHost {
            host,
            api_addr: addresses.api,
            peer_addr: addresses.peer,
            admin_addr: addresses.admin,
        })
    }

    fn new(settings: settings::Settings, addresses: &Addresses) -> anyhow::Result<Self> {
        let clock = clock::BootClock;
        let id = ids::HostId {
            name: settings.name.clone(),
            incarnation: clock::millis(clock.unix_time()),
        };
        let own = membership::Member {
            id: id.clone(),
            zone: settings.zone.clone(),
            peer_addr: addresses.peer.to_string().into(),
            api_addr: addresses.api.to_string().into(),
            admin_addr: addresses.admin.to_string().into(),
            state: membership::State::Alive,
            refutation: 0,
        };
        let events_file = match &settings.events_file {
            None => None,
            Some(path) => {
                let mut options = fs::OpenOptions::new();
                let opened = options.create(true).append(true).open(path);
                let file = opened.with_context(|| format!("events file {}", path.display()))?;
                Some(sync::Mutex::new(file))
            }
        };
        let steward = steward::Steward::new(settings.scheduler, id.incarnation);
        Ok(Self {
            clock,
            members: sync::Mutex::new(membership::Table::new(own)),
            request_table: sync::Mutex::new(request_table::Table::new(id.clone())),
            permits: sync::Mutex::new(permit::Table::new(clock.now())),
            quarantine: sync::Mutex::default(),
            announced_marks: sync::Mutex::default(),
            config: sync::RwLock::default(),
            retry_budgets: sync::Mutex::default(),
            answers: sync::Mutex::default(),
            steward,
            assignments: stewardship::Cache::default(),
            relayed: retention::RelayedAnswers::default(),
            engines: engine::Client::new()?,
            peers: peer_client::Peers::new(&settings.fleet_key),
            platform: platform::Client::new(&settings.platform_url),
            plain: plain::Proxy::new(settings.limits.resource_limits().server_connections)?,
            jobs: jobs::Jobs::new(&id),
            metrics: sync::Arc::new(metrics::Metrics::new(settings.statsd_addr, &settings.name)?),
            clients: sync::Arc::new(clients::Clients::new(settings.limits.resource_limits())),
            traces: trace::Traces::default(),
            verified_keys: callers::KeyCache::default(),
            phase: watch::Sender::new(drain::Phase::Serving),
            counters: Counters::default(),
            config_fetches: atomic::AtomicU32::new(0),
            runtime: runtime::Handle::current(),
            events_file,
            settings,
            id,
        })
    }

    /// Returns the time since boot.
    pub fn now(&self) -> time::Duration {
        self.clock.now()
    }

    /// Returns the wall-clock time.
    pub fn unix_time(&self) -> time::Duration {
        self.clock.unix_time()
    }

    /// Adds a step, which says what was done and why, to a request's trace.
    pub fn add_trace_step(&self, request: &str, what: impl Into<String>) {
        self.traces.add(request, self.unix_time(), what);
    }

    /// Writes an event to the events file, if there is one, for the history checker.
    pub fn record_event(&self, event: history::Event) {
        let Some(file) = &self.events_file else {
            return;
        };
        let record = history::Record {
            at_ms: clock::millis(self.unix_time()),
            event,
        };
        if let Err(error) = write_event(&mut locks::lock(file), &record) {
            log::warn!("events file: {error}");
        }
    }
}

/// The addresses on which a host listens.
struct Addresses {
    api: net::SocketAddr,
    peer: net::SocketAddr,
    admin: net::SocketAddr,
}

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address. `key` is the settings key that errors mention.
fn listen(
    key: &str,
    addr: net::SocketAddr,
    buffers: sockets::Buffers,
) -> anyhow::Result<tokio::net::TcpListener> {
    let listener = sockets::listen(addr, buffers, BACKLOG);
    listener.with_context(|| format!("section [listen], key {key:?}: can't listen on {addr}"))
}

fn write_event(file: &mut fs::File, record: &history::Record) -> io::Result<()> {
    let mut line = serde_json::to_vec(record)?;
    line.push(b'\n');
    file.write_all(&line)
}
