//! The open-loop load driver. It sends requests at their scheduled times, however long earlier ones
//! take, and retries as real callers do.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::history;

use crate::caller;
use crate::client;
use crate::load;
use crate::recorder;
use crate::world;

/// Time that hosts and engines have to release a request after its caller has abandoned it.
const RELEASE_CHECK_DELAY: time::Duration =
    time::Duration::from_millis(history::CALLERS_GONE_GRACE_MS);

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete answer was received.
    Answered,
    /// The request was refused with this error code.
    Refused(String),
    /// It is not known whether the request ran, or no host could be reached.
    Unknown,
    /// The caller left before the answer was complete.
    CallerLeft,
}

/// The result of one request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Name of the service.
    pub service: &'static str,
    /// Name of the priority; `plain` for plain calls and `job` for submitted jobs.
    pub priority: &'static str,
    /// When it was scheduled to be sent, from the start of the load.
    pub at: time::Duration,
    /// Time to the first token, or to the complete answer of a plain call or a job.
    pub first_response: Option<time::Duration>,
    /// Mean time between tokens, if there were several.
    pub token_interval: Option<time::Duration>,
    /// How the request ended.
    pub outcome: Outcome,
    /// Number of attempts.
    pub attempts: u32,
}

/// Addresses, as callers use them, of hosts that an experiment shut down or killed.
#[derive(Debug, Default)]
pub struct HostStates {
    /// Hosts told to shut down gracefully.
    pub leaving: sync::Mutex<collections::HashSet<String>>,
    /// Hosts that were killed.
    pub killed: sync::Mutex<collections::HashSet<String>>,
}

/// Drives load against a fleet.
#[derive(Debug)]
pub struct Driver {
    /// Receives the events of the run.
    pub recorder: sync::Arc<recorder::Recorder>,
    /// The stand-ins.
    pub world: sync::Arc<world::World>,
    /// The hosts that the experiment shut down or killed.
    pub hosts: HostStates,
    clients: Vec<sync::Arc<client::Client>>,
    results: sync::Mutex<Vec<CallResult>>,
}

impl Driver {
    /// Creates a driver with one client in each availability zone of each user.
    ///
    /// # Errors
    ///
    /// Returns an error if HTTP clients can't be set up.
    pub fn new(
        world: sync::Arc<world::World>,
        initial_hosts: &[String],
    ) -> anyhow::Result<sync::Arc<Self>> {
        let mut clients = Vec::new();
        for user in &world.users {
            for (index, zone) in user.layout().zones.iter().enumerate() {
                let mut initial_hosts = initial_hosts.to_vec();
                let count = initial_hosts.len().max(1);
                // The clients of a user start at different hosts.
                initial_hosts.rotate_left(index % count);
                clients.push(sync::Arc::new(client::Client::new(
                    *user,
                    zone,
                    initial_hosts,
                )?));
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

    /// Sends all arrivals at their times and waits until they have ended, for at most `grace` after
    /// the last arrival.
    pub async fn run(self: &sync::Arc<Self>, arrivals: Vec<load::Arrival>, grace: time::Duration) {
        let started_at = time::Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for (number, arrival) in arrivals.into_iter().enumerate() {
            tokio::time::sleep_until((started_at + arrival.at).into()).await;
            let driver = self.clone();
            tasks.spawn(async move { driver.run_call(number, arrival, started_at).await });
            while tasks.try_join_next().is_some() {}
        }
        let all_calls = async { while tasks.join_next().await.is_some() {} };
        // Requests that have not ended by then have no `Concluded` event in the history.
        let _ = tokio::time::timeout(grace, all_calls).await;
    }

    /// Returns the results of all requests that have ended.
    pub fn results(&self) -> Vec<CallResult> {
        lock(&self.results).clone()
    }

    /// Returns how many requests have ended.
    pub fn result_count(&self) -> usize {
        lock(&self.results).len()
    }

    async fn run_call(&self, number: usize, arrival: load::Arrival, started_at: time::Instant) {
        let user_clients: Vec<_> = self
            .clients
            .iter()
            .filter(|a| a.user == arrival.user)
            .collect();
        let client = user_clients[number % user_clients.len()].clone();
        let intended_at = started_at + arrival.at;
        let at = arrival.at;
        let mut call = caller::Call {
            driver: self,
            client: &client,
            intended_at,
            attempts: 0,
        };
        let history_id = format!("caller-{number}");
        self.recorder.record_event(history::Event::Accepted {
            request: history_id.clone(),
        });
        let done = match arrival.kind {
            load::Kind::Model(request) => call.generate(&request, at).await,
            load::Kind::Plain {
                service,
                repeatable,
            } => call.plain(service, repeatable, at).await,
            load::Kind::Job(job) => call.job(&job, at).await,
        };
        if let Some(done) = done {
            self.recorder.record_event(history::Event::Concluded {
                request: history_id,
            });
            lock(&self.results).push(done);
        }
    }

    /// Checks later that no engine holds memory for a request that its caller has abandoned, and
    /// records an event if one does.
    pub fn check_released(&self, request: &str) {
        let world = self.world.clone();
        let request = request.to_owned();
        let left_at = time::Instant::now();
        tokio::spawn(async move {
            tokio::time::sleep(RELEASE_CHECK_DELAY).await;
            if world.holds_memory_for(&request) {
                let after = left_at.elapsed().as_millis();
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

    /// Returns whether a host was told to shut down gracefully.
    pub fn is_leaving(&self, host: &str) -> bool {
        lock(&self.hosts.leaving).contains(host)
    }
}

/// Locks a mutex. Poisoning is ignored, since no holder leaves the data inconsistent.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
