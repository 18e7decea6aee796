//! The load driver: open-loop arrivals, each with the patience and the rights of a real caller.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::history;

use crate::caller;
use crate::client;
use crate::load;
use crate::recorder;
use crate::world;

const GONE_CHECK: time::Duration = time::Duration::from_millis(history::CALLERS_GONE_GRACE_MS);

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Answered,
    /// It was refused with this code.
    Refused(String),
    /// The connection failed and it is not known whether it ran.
    Unknown,
    /// The caller left.
    CallerLeft,
}

/// What one caller saw.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The service.
    pub service: &'static str,
    /// The priority, `plain` for plain calls and `job` for submitted work.
    pub priority: &'static str,
    /// When it was to be sent, from the start of the load.
    pub at: time::Duration,
    /// Time to the first token, or to the reply of a plain call.
    pub first_response: Option<time::Duration>,
    /// Mean time between tokens.
    pub token_interval: Option<time::Duration>,
    /// How it ended.
    pub outcome: Outcome,
    /// Tries made.
    pub attempts: u32,
}

/// Which hosts are ending gracefully or were killed, by API address.
#[derive(Debug, Default)]
pub struct HostStates {
    /// Hosts told to leave.
    pub leaving: sync::Mutex<collections::HashSet<String>>,
    /// Hosts killed.
    pub killed: sync::Mutex<collections::HashSet<String>>,
}

/// Drives load against a fleet.
#[derive(Debug)]
pub struct Driver {
    /// What was seen.
    pub recorder: sync::Arc<recorder::Recorder>,
    /// The stand-ins.
    pub world: sync::Arc<world::World>,
    /// What the experiment did to hosts.
    pub hosts: HostStates,
    clients: Vec<sync::Arc<client::Client>>,
    results: sync::Mutex<Vec<CallResult>>,
}

impl Driver {
    /// Makes a driver with one caller site in each zone of each user.
    ///
    /// # Errors
    ///
    /// Returns an error if HTTP clients can't be set up.
    pub fn new(
        world: sync::Arc<world::World>,
        known: &[String],
    ) -> anyhow::Result<sync::Arc<Self>> {
        let mut clients = Vec::new();
        for user in &world.users {
            for (at, zone) in user.layout().zones.iter().enumerate() {
                let mut known = known.to_vec();
                let count = known.len().max(1);
                known.rotate_left(at % count);
                clients.push(sync::Arc::new(client::Client::new(*user, zone, known)?));
            }
        }
        Ok(sync::Arc::new(Self {
            recorder: world.recorder.clone(),
            world,
            hosts: HostStates::default(),
            clients,
            results: sync::Mutex::default(),
        }))
    }

    /// Sends all arrivals at their times and waits for their ends, at most for `grace` after the
    /// last arrival.
    pub async fn run(self: &sync::Arc<Self>, arrivals: Vec<load::Arrival>, grace: time::Duration) {
        let began = time::Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for (number, arrival) in arrivals.into_iter().enumerate() {
            tokio::time::sleep_until((began + arrival.at).into()).await;
            let driver = self.clone();
            tasks.spawn(async move { driver.one(number, arrival, began).await });
            while tasks.try_join_next().is_some() {}
        }
        let all = async { while tasks.join_next().await.is_some() {} };
        // What has not ended by then stays without an end in the history.
        let _ = tokio::time::timeout(grace, all).await;
    }

    /// Returns what the callers saw.
    pub fn results(&self) -> Vec<CallResult> {
        lock(&self.results).clone()
    }

    /// Returns how many callers have their end.
    pub fn result_count(&self) -> usize {
        lock(&self.results).len()
    }

    async fn one(&self, number: usize, arrival: load::Arrival, began: time::Instant) {
        let of_user: Vec<_> = self
            .clients
            .iter()
            .filter(|a| a.user == arrival.user)
            .collect();
        let client = of_user[number % of_user.len()].clone();
        let intended = began + arrival.at;
        let at = arrival.at;
        let mut call = caller::Call {
            driver: self,
            client: &client,
            intended,
            attempts: 0,
        };
        let open = format!("caller-{number}");
        self.recorder.record_event(history::Event::Accepted {
            request: open.clone(),
        });
        let done = match arrival.kind {
            load::Kind::Model(generate) => call.generate(&generate, at).await,
            load::Kind::Plain {
                service,
                repeatable,
            } => call.plain(service, repeatable, at).await,
            load::Kind::Job(job) => call.job(&job, at).await,
        };
        if let Some(done) = done {
            self.recorder
                .record_event(history::Event::Concluded { request: open });
            lock(&self.results).push(done);
        }
    }

    /// Checks that nothing is held for a request once its caller has been gone for a while.
    pub fn check_released(&self, request: &str) {
        let world = self.world.clone();
        let request = request.to_owned();
        let left = time::Instant::now();
        tokio::spawn(async move {
            tokio::time::sleep(GONE_CHECK).await;
            if world.holds_memory_for(&request) {
                let after = left.elapsed().as_millis();
                world.recorder.record_event(history::Event::HeldForGone {
                    request,
                    after_ms: u64::try_from(after)
                        .unwrap_or(u64::MAX)
                        .max(history::CALLERS_GONE_GRACE_MS + 1),
                });
            }
        });
    }

    /// Returns whether a host was killed.
    pub fn is_killed(&self, host: &str) -> bool {
        lock(&self.hosts.killed).contains(host)
    }

    /// Returns whether a host was told to leave.
    pub fn is_leaving(&self, host: &str) -> bool {
        lock(&self.hosts.leaving).contains(host)
    }
}

/// Locks a mutex whose holders keep it whole.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
