//! The shared state of an entry host.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::answer_lengths;
use walnuthaven_lib::answered_parts;
use walnuthaven_lib::backends;
use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;
use walnuthaven_lib::departures;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::ids;
use walnuthaven_lib::peers;
use walnuthaven_lib::plain_room;
use walnuthaven_lib::retry_share;
use walnuthaven_lib::routing;
use walnuthaven_lib::served_versions;
use walnuthaven_lib::server_health;
use walnuthaven_lib::server_pauses;
use walnuthaven_lib::stalls;
use walnuthaven_lib::stream_records;
use walnuthaven_lib::stream_versions;
use walnuthaven_lib::wait_queue;

use crate::locks;
use crate::router::clients;
use crate::router::connection_pool;
use crate::router::crash_checks;
use crate::router::crash_marks;
use crate::router::crash_witness;
use crate::router::links;
use crate::router::retry_budget;
use crate::router::run;
use crate::router::server_choice;
use crate::router::server_limits;
use crate::router::settings;
use crate::router::shutdown;
use crate::router::telemetry;
use crate::router::trials;
use crate::router::via_peer;
use crate::router::view_renewal;
use crate::router::workspace_limits;

/// Up to one in this many of the connections that a server accepts may be idle.
const IDLE_DIVISOR: usize = 2;

/// Names a queue of requests that wait for capacity: the service, and the only software version
/// whose engines can take them, if there is one.
pub(crate) type QueueKey = (sync::Arc<str>, Option<sync::Arc<str>>);

/// The state of one entry host, shared by all its tasks.
#[derive(Debug)]
pub(crate) struct Router<D> {
    /// Translates between the router's types and the platform's messages.
    pub(crate) dialect: D,
    /// The host's name and the start time of this process.
    pub(crate) id: ids::HostId,
    /// `id` as text: the owner under which `engine_load` records this host's runs and prefills.
    pub(crate) work_owner: sync::Arc<str>,
    settings: sync::RwLock<sync::Arc<settings::Settings>>,
    /// When the first configuration was put in force, as time since boot.
    configured_at: sync::OnceLock<time::Duration>,
    /// The configuration in force; `None` until one has been read.
    table: sync::RwLock<Option<sync::Arc<routing::Table>>>,
    /// Backend servers, as the store lists them.
    pub(crate) servers: sync::Mutex<backends::Registry>,
    /// Whether backend servers have been listed from the store at least once.
    pub(crate) servers_listed: atomic::AtomicBool,
    /// Wakes the tasks that follow the store.
    pub(crate) renewals: view_renewal::Renewals,
    /// The other entry hosts.
    pub(crate) peers: sync::Mutex<peers::Peers>,
    /// The limits that backend servers named.
    pub(crate) server_limits: sync::Mutex<server_limits::Limits>,
    /// The room at the servers of plain services.
    pub(crate) plain_room: sync::Mutex<plain_room::PlainRoom>,
    /// What all hosts know of the speed of backend servers, and which ones start or recover.
    pub(crate) server_choice: sync::Mutex<server_choice::Learned>,
    /// Servers that asked to get nothing for some time.
    pub(crate) server_pauses: sync::Mutex<server_pauses::Pauses>,
    /// What workspaces may use and have used.
    pub(crate) workspace_limits: sync::Mutex<workspace_limits::Limits>,
    /// Which servers this host reaches.
    pub(crate) links: sync::Arc<links::Links>,
    /// Connections to the hosts that serve requests in place of this one.
    pub(crate) via_peer: via_peer::Peers,
    /// Latency and failures of backend servers, as observed by this host.
    pub(crate) health: sync::Mutex<server_health::Health>,
    /// Runs and prefills on model engines, sent by any host.
    pub(crate) engine_load: sync::Mutex<engine_load::EngineLoad>,
    /// Queued requests, which wait for capacity on an engine, by service, and by software version
    /// for those that only engines of one version can take.
    pub(crate) wait_queues: sync::Mutex<collections::HashMap<QueueKey, wait_queue::Queue>>,
    /// Observed lengths of answers, by service. They predict how much memory a request needs.
    pub(crate) answer_lengths:
        sync::Mutex<collections::HashMap<sync::Arc<str>, answer_lengths::LengthPredictor>>,
    /// Shows how late a signal may be.
    pub(crate) stalls: sync::Mutex<stalls::StallWatch>,
    /// Wakes queued requests after `engine_load` or the set of usable engines has changed.
    pub(crate) engine_load_changed: tokio::sync::Notify,
    /// Makes the news task send this host's whole state to the other hosts soon, after other changes that come
    /// at the same time.
    pub(crate) news_due: tokio::sync::Notify,
    /// Makes the news task tell the other hosts without delay how this host's runs, prefills and begun streams
    /// changed.
    pub(crate) work_changed: tokio::sync::Notify,
    /// Signalled once the host's entry has been written to the store.
    pub(crate) registered: tokio::sync::Notify,
    /// Signalled when another host has a newer configuration than this one.
    pub(crate) table_outdated: tokio::sync::Notify,
    /// How processes of backend servers left the view.
    pub(crate) departures: sync::Mutex<departures::Departures>,
    /// Wakes crash checks after `departures` has changed.
    pub(crate) departures_changed: tokio::sync::Notify,
    /// Takes the requests that servers didn't answer, to check whether they crashed.
    pub(crate) crash_checks: crash_checks::Checks,
    /// What other hosts said of servers that this one doesn't reach.
    pub(crate) witnesses: crash_witness::Witnesses,
    /// Marks of requests that were in flight when backend servers crashed.
    pub(crate) crash_marks: sync::Mutex<crash_marks::CrashMarks>,
    /// Wakes waiting requests after a mark has changed.
    pub(crate) crash_marks_changed: tokio::sync::Notify,
    /// Which parts of prompts engines have answered.
    pub(crate) answered_parts: sync::Mutex<answered_parts::AnsweredParts>,
    /// The suspected parts of prompts that are on trial.
    pub(crate) trials: trials::Trials,
    /// Signalled when the store may lack a mark.
    pub(crate) crash_marks_unsaved: tokio::sync::Notify,
    /// Which software version began each recent stream.
    pub(crate) stream_versions: sync::Mutex<stream_versions::StreamVersions>,
    /// Which of them the store holds.
    pub(crate) stream_records: sync::Mutex<stream_records::StreamRecords>,
    /// Set once this host has read which streams the store holds, or knows that it need not.
    pub(crate) stream_records_read: sync::OnceLock<()>,
    /// Wakes requests that wait until other hosts tell which version began a stream.
    pub(crate) stream_versions_changed: tokio::sync::Notify,
    /// Streams that other hosts are to be asked about.
    pub(crate) stream_queries: sync::Mutex<Vec<stream_versions::StreamKey>>,
    /// Signalled when `stream_queries` isn't empty.
    pub(crate) stream_queries_due: tokio::sync::Notify,
    /// Which software versions have served.
    pub(crate) served_versions: sync::Mutex<served_versions::ServedVersions>,
    /// The connections of clients, and the memory of their messages.
    pub(crate) clients: sync::Arc<clients::Clients>,
    /// This host's shares of the retry budgets, by service.
    pub(crate) retry_budgets: retry_budget::RetryBudgets,
    /// The number of connections to backend servers that requests are sent on.
    pub(crate) server_connections: sync::Arc<connection_pool::OpenCount>,
    /// Idle connections to backend servers.
    pub(crate) connection_pool: connection_pool::Pool,
    /// Counters and histograms.
    pub(crate) telemetry: telemetry::Telemetry,
    /// How far the host's shutdown is.
    pub(super) shutdown: shutdown::Shutdown,
    /// The number of requests whose callers wait for an answer.
    pub(crate) in_flight: atomic::AtomicUsize,
    next_number: atomic::AtomicU64,
    clock: clock::SteadyClock<clock::BootClock>,
}

impl<D: dialect::Dialect> Router<D> {
    /// Creates the state of a host that has just started. `crash_checks` takes failed attempts for the task
    /// that checks servers.
    pub(crate) fn new(
        dialect: D,
        settings: settings::Settings,
        clock: clock::BootClock,
        crash_checks: crash_checks::Checks,
    ) -> Self {
        let settings = with_features(&dialect, settings);
        let id = ids::HostId {
            name: settings.name.clone(),
            incarnation: clock::millis(clock.unix_time()),
        };
        let limits = workspace_limits::Limits::new(id.incarnation);
        let resources = settings.resource_limits();
        let stalls = stalls::StallWatch::new(run::UPKEEP_INTERVAL, clock.now());
        Self {
            dialect,
            work_owner: id.to_string().into(),
            id,
            settings: sync::RwLock::new(sync::Arc::new(settings)),
            configured_at: sync::OnceLock::new(),
            table: sync::RwLock::new(None),
            servers: sync::Mutex::default(),
            servers_listed: atomic::AtomicBool::new(false),
            renewals: view_renewal::Renewals::default(),
            peers: sync::Mutex::default(),
            server_limits: sync::Mutex::default(),
            plain_room: sync::Mutex::default(),
            server_choice: sync::Mutex::default(),
            server_pauses: sync::Mutex::default(),
            workspace_limits: sync::Mutex::new(limits),
            links: sync::Arc::default(),
            via_peer: via_peer::Peers::default(),
            health: sync::Mutex::default(),
            engine_load: sync::Mutex::default(),
            wait_queues: sync::Mutex::default(),
            answer_lengths: sync::Mutex::default(),
            stalls: sync::Mutex::new(stalls),
            engine_load_changed: tokio::sync::Notify::new(),
            news_due: tokio::sync::Notify::new(),
            work_changed: tokio::sync::Notify::new(),
            registered: tokio::sync::Notify::new(),
            table_outdated: tokio::sync::Notify::new(),
            departures: sync::Mutex::default(),
            departures_changed: tokio::sync::Notify::new(),
            crash_checks,
            witnesses: crash_witness::Witnesses::default(),
            crash_marks: sync::Mutex::default(),
            crash_marks_changed: tokio::sync::Notify::new(),
            answered_parts: sync::Mutex::default(),
            trials: trials::Trials::default(),
            crash_marks_unsaved: tokio::sync::Notify::new(),
            stream_versions: sync::Mutex::default(),
            stream_records: sync::Mutex::default(),
            stream_records_read: sync::OnceLock::new(),
            stream_versions_changed: tokio::sync::Notify::new(),
            stream_queries: sync::Mutex::default(),
            stream_queries_due: tokio::sync::Notify::new(),
            served_versions: sync::Mutex::default(),
            clients: sync::Arc::new(clients::Clients::new(resources)),
            retry_budgets: retry_budget::RetryBudgets::new(clock.now()),
            connection_pool: connection_pool::Pool::default(),
            server_connections: sync::Arc::default(),
            telemetry: telemetry::Telemetry::default(),
            shutdown: shutdown::Shutdown::default(),
            in_flight: atomic::AtomicUsize::new(0),
            next_number: atomic::AtomicU64::new(1),
            clock: clock::SteadyClock::new(clock),
        }
    }

    /// Returns the time since boot.
    pub(crate) fn now(&self) -> time::Duration {
        self.clock.now()
    }

    /// Returns the time since the Unix epoch. Steps of the system time after the start don't move it, so
    /// that crash marks don't expire by them.
    pub(crate) fn unix_time(&self) -> time::Duration {
        self.clock.unix_time()
    }

    pub(crate) fn settings(&self) -> sync::Arc<settings::Settings> {
        locks::read(&self.settings).clone()
    }

    pub(crate) fn set_settings(&self, settings: settings::Settings) {
        self.clients.set_limits(settings.resource_limits());
        *locks::write(&self.settings) = sync::Arc::new(settings);
    }

    /// Returns the configuration in force, or `None` until one has been read.
    pub(crate) fn table(&self) -> Option<sync::Arc<routing::Table>> {
        locks::read(&self.table).clone()
    }

    /// Puts a configuration in force if its version is higher than that of the current one. Returns
    /// whether it did.
    pub(crate) fn install_table(&self, table: routing::Table) -> bool {
        let mut current = locks::write(&self.table);
        if current
            .as_ref()
            .is_some_and(|old| old.version >= table.version)
        {
            return false;
        }
        *current = Some(sync::Arc::new(table));
        self.configured_at.get_or_init(|| self.now());
        true
    }

    /// Returns a number that is unique in this process. It identifies a run, prefill or queued request.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Returns whether the host is ready for callers: it knows the backend servers, the configuration
    /// and the crash marks, and isn't leaving.
    pub(crate) fn takes_callers(&self) -> bool {
        let listed = self.servers_listed.load(atomic::Ordering::Relaxed);
        listed && !self.is_leaving() && locks::read(&self.table).is_some() && self.knows_marks()
    }

    /// Returns whether the crash marks are known, so that requests may be sent to servers.
    pub(crate) fn knows_marks(&self) -> bool {
        let configured_at = self.configured_at.get().copied().unwrap_or_default();
        let configured_for = self.now().saturating_sub(configured_at);
        locks::lock(&self.crash_marks).are_known(configured_for)
    }

    /// Returns how many idle connections this host may keep to each server of a service. The hosts
    /// share the connections that a server accepts, and part of these stays free, so that the
    /// server still accepts new connections from any host.
    pub(crate) fn max_idle_connections(&self, service: &str) -> usize {
        let table = self.table();
        let accepted = table
            .as_ref()
            .and_then(|table| table.service(service))
            .map_or(u32::MAX, |service| service.max_connections);
        let share = accepted as usize / self.host_count() / IDLE_DIVISOR;
        share.clamp(1, connection_pool::MAX_IDLE_CONNECTIONS)
    }

    /// Returns the usable engines of a service, of one software version if it is set, that are
    /// assigned to this host's group, or all such engines if none is assigned to the group.
    pub(crate) fn group_engines(
        &self,
        service: &str,
        version: Option<&sync::Arc<str>>,
    ) -> Vec<sync::Arc<backends::Backend>> {
        let mut usable = locks::lock(&self.servers)
            .usable(service, self.now())
            .to_vec();
        usable.retain(|engine| version.is_none_or(|version| engine.version == *version));
        let groups = locks::lock(&self.peers).groups();
        let group = groups.group(&self.id.name);
        let in_group: Vec<_> = usable
            .iter()
            .filter(|engine| groups.group(&engine.id) == group)
            .cloned()
            .collect();
        match in_group.is_empty() {
            true => usable,
            false => in_group,
        }
    }

    /// Returns whether this host's share of the retry budget of a service allows another retry.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let budget = self.settings().retry_budget;
        let hosts = {
            let peers = locks::lock(&self.peers);
            peers.is_listed().then(|| peers.count() + 1)
        };
        self.retry_budgets
            .allows_retry(service, self.now(), &budget, hosts)
    }

    /// Counts a first send or a retry in the retry budget of its service.
    pub(crate) fn count_send(&self, service: &sync::Arc<str>, kind: retry_share::SendKind) {
        let budget = self.settings().retry_budget;
        self.retry_budgets
            .record_send(service, kind, self.now(), &budget);
        if kind == retry_share::SendKind::Retry {
            self.telemetry.count("repeats");
        }
    }

    /// Returns the number of known entry hosts, including this one.
    pub(crate) fn host_count(&self) -> usize {
        locks::lock(&self.peers).count() + 1
    }
}

/// Sets the features that the deployment's terms ask for.
pub(crate) fn with_features<D: dialect::Dialect>(
    dialect: &D,
    settings: settings::Settings,
) -> settings::Settings {
    settings::Settings {
        features: dialect.features(&settings.terms),
        ..settings
    }
}

/// Counts a request as in flight until it is dropped.
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
