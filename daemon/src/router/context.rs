//! What the parts of an entry host share.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::answer_lengths;
use walnuthaven_lib::backends;
use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::ids;
use walnuthaven_lib::peers;
use walnuthaven_lib::quarantine;
use walnuthaven_lib::retry_share;
use walnuthaven_lib::routing;
use walnuthaven_lib::server_health;
use walnuthaven_lib::wait_queue;

use crate::locks;
use crate::router::body_memory;
use crate::router::connection_pool;
use crate::router::crash_marks;
use crate::router::retry_budget;
use crate::router::settings;
use crate::router::telemetry;

/// One in this many of the connections that a server accepts may be idle.
const IDLE_DIVISOR: usize = 2;

/// An entry host.
#[derive(Debug)]
pub(crate) struct Router<D> {
    /// Translates for the platform.
    pub(crate) dialect: D,
    /// This run of the host.
    pub(crate) id: ids::HostId,
    /// The name under which this host's runs and prefills are known.
    pub(crate) work_owner: sync::Arc<str>,
    settings: sync::RwLock<sync::Arc<settings::Settings>>,
    table: sync::RwLock<Option<sync::Arc<routing::Table>>>,
    /// Backend servers.
    pub(crate) servers: sync::Mutex<backends::Registry>,
    /// Whether backend servers have been listed once.
    pub(crate) servers_listed: atomic::AtomicBool,
    /// Other hosts.
    pub(crate) peers: sync::Mutex<peers::Peers>,
    /// What was seen of backend servers.
    pub(crate) health: sync::Mutex<server_health::Health>,
    /// Memory and prompts of model engines.
    pub(crate) engine_load: sync::Mutex<engine_load::EngineLoad>,
    /// Requests that wait for engines, by service.
    pub(crate) wait_queues: sync::Mutex<collections::HashMap<sync::Arc<str>, wait_queue::Queue>>,
    /// Lengths of answers, by service.
    pub(crate) answer_lengths:
        sync::Mutex<collections::HashMap<sync::Arc<str>, answer_lengths::LengthPredictor>>,
    /// Wakes requests that wait for engines.
    pub(crate) engine_load_changed: tokio::sync::Notify,
    /// Wakes the sender of news.
    pub(crate) news_due: tokio::sync::Notify,
    /// Tells that the host's entry was written.
    pub(crate) registered: tokio::sync::Notify,
    /// Asks for the configuration to be read again.
    pub(crate) table_outdated: tokio::sync::Notify,
    /// Content that crashed backend servers.
    pub(crate) crash_marks: sync::Mutex<quarantine::Table>,
    /// Memory for bodies of requests.
    pub(crate) body_memory: sync::Arc<body_memory::BodyMemory>,
    /// Retry budgets.
    pub(crate) retry_budgets: retry_budget::RetryBudgets,
    /// Connections to backend servers.
    pub(crate) connection_pool: connection_pool::Pool,
    /// Counters and histograms.
    pub(crate) telemetry: telemetry::Telemetry,
    leaving_since: sync::RwLock<Option<time::Duration>>,
    /// Whether connections are taken no more.
    accepting_stopped: tokio::sync::watch::Sender<bool>,
    /// Requests that callers wait for.
    pub(crate) in_flight: atomic::AtomicUsize,
    next_number: atomic::AtomicU64,
    clock: clock::BootClock,
}

impl<D: dialect::Dialect> Router<D> {
    pub(crate) fn new(dialect: D, settings: settings::Settings, clock: clock::BootClock) -> Self {
        let id = ids::HostId {
            name: settings.name.clone(),
            incarnation: clock::millis(clock.unix_time()),
        };
        Self {
            dialect,
            work_owner: id.to_string().into(),
            id,
            settings: sync::RwLock::new(sync::Arc::new(settings)),
            table: sync::RwLock::new(None),
            servers: sync::Mutex::default(),
            servers_listed: atomic::AtomicBool::new(false),
            peers: sync::Mutex::default(),
            health: sync::Mutex::default(),
            engine_load: sync::Mutex::default(),
            wait_queues: sync::Mutex::default(),
            answer_lengths: sync::Mutex::default(),
            engine_load_changed: tokio::sync::Notify::new(),
            news_due: tokio::sync::Notify::new(),
            registered: tokio::sync::Notify::new(),
            table_outdated: tokio::sync::Notify::new(),
            crash_marks: sync::Mutex::new(quarantine::Table::with_crash_threshold(
                crash_marks::SERVERS_TO_REFUSE,
            )),
            body_memory: sync::Arc::default(),
            retry_budgets: retry_budget::RetryBudgets::default(),
            connection_pool: connection_pool::Pool::default(),
            telemetry: telemetry::Telemetry::default(),
            leaving_since: sync::RwLock::new(None),
            accepting_stopped: tokio::sync::watch::Sender::new(false),
            in_flight: atomic::AtomicUsize::new(0),
            next_number: atomic::AtomicU64::new(1),
            clock,
        }
    }

    /// Returns the time since boot.
    pub(crate) fn now(&self) -> time::Duration {
        self.clock.now()
    }

    /// Returns the Unix time.
    pub(crate) fn unix(&self) -> time::Duration {
        self.clock.unix_time()
    }

    pub(crate) fn settings(&self) -> sync::Arc<settings::Settings> {
        locks::read(&self.settings).clone()
    }

    pub(crate) fn set_settings(&self, settings: settings::Settings) {
        *locks::write(&self.settings) = sync::Arc::new(settings);
    }

    /// Returns the configuration in force.
    pub(crate) fn table(&self) -> Option<sync::Arc<routing::Table>> {
        locks::read(&self.table).clone()
    }

    /// Puts a configuration in force unless it is older than the one that is. Returns whether it was.
    pub(crate) fn install_table(&self, table: routing::Table) -> bool {
        let mut held = locks::write(&self.table);
        if held
            .as_ref()
            .is_some_and(|old| old.version >= table.version)
        {
            return false;
        }
        *held = Some(sync::Arc::new(table));
        true
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, atomic::Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        locks::read(&self.leaving_since).is_some()
    }

    /// Notes that the host leaves.
    pub(crate) fn leave(&self) {
        let now = self.now();
        *locks::write(&self.leaving_since) = Some(now);
    }

    /// Takes no more connections of callers.
    pub(crate) fn stop_accepting(&self) {
        self.accepting_stopped.send_replace(true);
    }

    /// Waits until no more connections are taken.
    pub(crate) async fn accepting_stopped(&self) {
        // The sender lives as long as this.
        let _ = self
            .accepting_stopped
            .subscribe()
            .wait_for(|stopped| *stopped)
            .await;
    }

    /// Returns how long the host has been leaving.
    pub(crate) fn leaving_for(&self) -> time::Duration {
        let leaving_since = *locks::read(&self.leaving_since);
        leaving_since.map_or(time::Duration::ZERO, |at| self.now().saturating_sub(at))
    }

    /// Returns whether callers may be sent here.
    pub(crate) fn takes_callers(&self) -> bool {
        let listed = self.servers_listed.load(atomic::Ordering::Relaxed);
        listed && !self.is_leaving() && locks::read(&self.table).is_some()
    }

    /// Returns how many idle connections this host keeps to a server of a service: its part of what the
    /// server accepts from all hosts, so that new ones of any host are still accepted.
    pub(crate) fn max_idle_connections(&self, service: &str) -> usize {
        let table = self.table();
        let most = table
            .as_ref()
            .and_then(|table| table.service(service))
            .map_or(u32::MAX, |service| service.max_connections);
        let own = most as usize / self.host_count() / IDLE_DIVISOR;
        own.clamp(1, connection_pool::MAX_IDLE)
    }

    /// Returns the engines of a service on which this host's group places: its own, or all if no engine
    /// falls to it.
    pub(crate) fn group_engines(&self, service: &str) -> Vec<sync::Arc<backends::Backend>> {
        let usable = locks::lock(&self.servers).usable(service, self.now());
        let groups = locks::lock(&self.peers).groups();
        let group = groups.group(&self.id.name);
        let own: Vec<_> = usable
            .iter()
            .filter(|engine| groups.group(&engine.id) == group)
            .cloned()
            .collect();
        match own.is_empty() {
            true => usable.to_vec(),
            false => own,
        }
    }

    /// Returns whether the retry budget of a service has room for a repeat by this host.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let terms = self.settings().retry_budget;
        self.retry_budgets
            .allows_retry(service, self.now(), &terms, self.host_count())
    }

    /// Counts a send against the retry budget of its service.
    pub(crate) fn count_send(&self, service: &sync::Arc<str>, kind: retry_share::SendKind) {
        let terms = self.settings().retry_budget;
        self.retry_budgets
            .record_send(service, kind, self.now(), &terms);
        if kind == retry_share::SendKind::Repeat {
            self.telemetry.count("repeats");
        }
    }

    /// Returns the number of hosts that share budgets, counting this one.
    pub(crate) fn host_count(&self) -> usize {
        locks::lock(&self.peers).count() + 1
    }
}

/// Counts a request that a caller waits for, until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard<D>(sync::Arc<Router<D>>);

impl<D> InFlightGuard<D> {
    pub(crate) fn new(cx: &sync::Arc<Router<D>>) -> Self {
        cx.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Self(cx.clone())
    }
}

impl<D> Drop for InFlightGuard<D> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
