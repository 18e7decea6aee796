//! A running host: its state, and its start and end.

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
use crate::api;
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
use crate::settings;
use crate::steward;
use crate::stewardship;
use crate::trace;

/// The state of a host, shared by everything that runs in it.
#[derive(Debug)]
pub struct Host {
    /// The settings.
    pub settings: settings::Settings,
    /// Name and incarnation.
    pub id: ids::HostId,
    /// The clock.
    pub clock: clock::BootClock,
    /// The other hosts.
    pub members: sync::Mutex<membership::Table>,
    /// The request ids minted here.
    pub request_table: sync::Mutex<request_table::Table>,
    /// The permits kept for other homes.
    pub permits: sync::Mutex<permit::Table>,
    /// Content that crashes servers.
    pub quarantine: sync::Mutex<quarantine::Table>,
    /// The configuration in force.
    pub config: sync::RwLock<config_versions::ActiveDocuments>,
    /// Retry budgets by workspace.
    pub retry_budgets: sync::Mutex<collections::HashMap<ids::Name, retry::Budget>>,
    /// Answers of requests whose home is here, by request number.
    pub answers: sync::Mutex<collections::HashMap<u64, sync::Arc<answer::Answer>>>,
    /// The cells stewarded here.
    pub steward: steward::Steward,
    /// What is to be stewarded here.
    pub assignments: stewardship::Cache,
    /// Answers that go out through other hosts.
    pub relayed: retention::RelayedAnswers,
    /// Calls to engines.
    pub engines: engine::Client,
    /// Calls to other hosts.
    pub peers: peer_client::Peers,
    /// Calls to the platform.
    pub platform: platform::Client,
    /// Plain services.
    pub plain: plain::Proxy,
    /// Work accepted for later.
    pub jobs: jobs::Jobs,
    /// Metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// What happened to each request.
    pub traces: trace::Traces,
    /// Keys that were verified.
    pub verified_keys: callers::KeyCache,
    /// Whether the host leaves, and has left.
    pub phase: watch::Sender<drain::Phase>,
    /// Counters for the state dump.
    pub counters: Counters,
    /// Configuration fetches that run.
    pub config_fetches: atomic::AtomicU32,
    /// The runtime that carries requests, for threads outside of it.
    pub runtime: runtime::Handle,
    events: Option<sync::Mutex<fs::File>>,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests from callers.
    pub requests: atomic::AtomicU64,
    /// Requests refused.
    pub refused: atomic::AtomicU64,
    /// Tokens sent to callers.
    pub tokens: atomic::AtomicU64,
    /// Attempts on engines.
    pub attempts: atomic::AtomicU64,
    /// Calls made to other hosts.
    pub peer_calls: atomic::AtomicU64,
    /// Bytes of control messages sent to other hosts.
    pub control_bytes: atomic::AtomicU64,
    /// Open connections of callers.
    pub connections: atomic::AtomicU64,
    /// Calls of callers whose response has not begun.
    pub unanswered_calls: atomic::AtomicU64,
}

impl Counters {
    /// Adds to a counter.
    pub fn add(counter: &atomic::AtomicU64, amount: u64) {
        counter.fetch_add(amount, atomic::Ordering::Relaxed);
    }
}

/// A running host, for the process that started it.
#[derive(Debug)]
pub struct RunningHost {
    /// The host's state.
    pub host: sync::Arc<Host>,
    /// Where callers connect.
    pub api_addr: net::SocketAddr,
    /// Where other hosts connect.
    pub peer_addr: net::SocketAddr,
    /// Where operators connect.
    pub admin_addr: net::SocketAddr,
}

impl Host {
    /// Frees what a request holds at an engine, in the background.
    pub fn cancel(&self, order: grant::Cancel) {
        cancel::spawn(self.engines.clone(), self.metrics.clone(), order);
    }

    /// Returns what this host stewards now.
    pub fn stewarded(&self) -> sync::Arc<stewardship::Assignments> {
        let config = locks::read(&self.config);
        let members = locks::lock(&self.members);
        self.assignments.get(&self.id, &config, &members)
    }

    /// Starts a host inside the current runtime. It listens when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error that names the settings key whose address can't be used.
    pub async fn start(settings: settings::Settings) -> anyhow::Result<RunningHost> {
        let api = listen("api", settings.api_addr).await?;
        let peer = listen("peer", settings.peer_addr).await?;
        let admin = admin::listen(settings.admin_addr)?;
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
        tokio::spawn(api::serve(host.clone(), api));
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
        let events = match &settings.events_file {
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
            config: sync::RwLock::default(),
            retry_budgets: sync::Mutex::default(),
            answers: sync::Mutex::default(),
            steward,
            assignments: stewardship::Cache::default(),
            relayed: retention::RelayedAnswers::default(),
            engines: engine::Client::new()?,
            peers: peer_client::Peers::new(&settings.fleet_key),
            platform: platform::Client::new(&settings.platform_url),
            plain: plain::Proxy::new()?,
            jobs: jobs::Jobs::new(&id),
            metrics: sync::Arc::new(metrics::Metrics::new(settings.statsd_addr, &settings.name)?),
            traces: trace::Traces::default(),
            verified_keys: callers::KeyCache::default(),
            phase: watch::Sender::new(drain::Phase::Serving),
            counters: Counters::default(),
            config_fetches: atomic::AtomicU32::new(0),
            runtime: runtime::Handle::current(),
            events,
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

    /// Adds a step to a request's trace.
    pub fn add_trace_step(&self, request: &str, what: impl Into<String>) {
        self.traces.add(request, self.unix_time(), what);
    }

    /// Writes an event for the history checker.
    pub fn record_event(&self, event: history::Event) {
        let Some(events) = &self.events else {
            return;
        };
        let record = history::Record {
            at_ms: clock::millis(self.unix_time()),
            event,
        };
        if let Err(error) = write_event(&mut locks::lock(events), &record) {
            log::warn!("events file: {error}");
        }
    }
}

struct Addresses {
    api: net::SocketAddr,
    peer: net::SocketAddr,
    admin: net::SocketAddr,
}

async fn listen(key: &str, addr: net::SocketAddr) -> anyhow::Result<tokio::net::TcpListener> {
    let bound = tokio::net::TcpListener::bind(addr).await;
    bound.with_context(|| format!("section [listen], key {key:?}: can't listen on {addr}"))
}

fn write_event(file: &mut fs::File, record: &history::Record) -> io::Result<()> {
    let mut line = serde_json::to_vec(record)?;
    line.push(b'\n');
    file.write_all(&line)
}
