//! Hosts inside this process, for the demo and for tests.

use std::sync;
use std::time;

use tokio::runtime;
use walnuthaven_daemon::host;
use walnuthaven_daemon::locks;
use walnuthaven_daemon::settings;
use walnuthaven_lib::membership;

use crate::world;

const THREADS: usize = 2;
/// How often a condition is looked at.
pub const LOOK_EVERY: time::Duration = time::Duration::from_millis(20);
/// A condition that is not met by then is a failure.
pub const GIVE_UP_AFTER: time::Duration = time::Duration::from_secs(60);

/// Hosts inside this process, each with a runtime of its own, so that it can be cut off like a
/// crashed process.
#[derive(Debug)]
pub struct Fleet {
    /// The hosts.
    pub hosts: Vec<host::RunningHost>,
    runtimes: Vec<Option<runtime::Runtime>>,
}

impl Fleet {
    /// Starts hosts, spread over the zones of the stand-ins, and waits until they know each other,
    /// the configuration and the engines.
    ///
    /// # Errors
    ///
    /// Returns an error if a host can't be started or the hosts don't find each other.
    pub async fn start(
        world: &world::World,
        count: usize,
        scheduler: &str,
    ) -> anyhow::Result<Self> {
        let mut fleet = Self {
            hosts: Vec::new(),
            runtimes: Vec::new(),
        };
        for at in 0..count {
            fleet.add(world, &format!("host-{at}"), scheduler).await?;
        }
        until("the hosts are ready", || fleet.is_ready(count)).await?;
        Ok(fleet)
    }

    /// Starts one more host.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn add(
        &mut self,
        world: &world::World,
        name: &str,
        scheduler: &str,
    ) -> anyhow::Result<()> {
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .map(|host| host.peer_addr.to_string())
            .collect();
        let zones = world.zones();
        let zone = zones[self.hosts.len() % zones.len()];
        let platform = &world.platform_url;
        let text = world::settings_text(name, zone, platform, scheduler, &seeds, None, None);
        let settings = settings::parse("local", &text)?;
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()?;
        let started = runtime.spawn(host::Host::start(settings)).await;
        self.runtimes.push(Some(runtime));
        self.hosts.push(started??);
        Ok(())
    }

    /// Returns the addresses for callers.
    pub fn api_addresses(&self) -> Vec<String> {
        self.hosts
            .iter()
            .map(|host| host.api_addr.to_string())
            .collect()
    }

    /// Returns a host's state.
    pub fn host(&self, at: usize) -> &sync::Arc<host::Host> {
        &self.hosts[at].host
    }

    /// Ends a host as a crash does: all its connections break and nothing of it runs on.
    pub fn crash(&mut self, at: usize) {
        if let Some(runtime) = self.runtimes[at].take() {
            runtime.shutdown_background();
        }
    }

    fn is_ready(&self, count: usize) -> bool {
        let known = self.hosts.iter().all(|running| {
            let members = locks::lock(&running.host.members).live_members();
            let alive = members
                .iter()
                .filter(|m| m.state == membership::State::Alive);
            let configured = !locks::read(&running.host.config).is_empty();
            alive.count() >= count && configured
        });
        known && self.engines_known()
    }

    /// Returns whether every cell has a steward that has heard of its engines.
    fn engines_known(&self) -> bool {
        let Some(first) = self.hosts.first() else {
            return true;
        };
        let config = locks::read(&first.host.config);
        let pools = config.iter().flat_map(|stored| {
            let document = &stored.document;
            document
                .pools
                .iter()
                .flat_map(|pool| document.cells(&pool.name))
        });
        let mut cells = pools.filter(|cell| !cell.engines.is_empty());
        cells.all(|spec| {
            self.hosts.iter().any(|running| {
                let cell = running.host.steward.find(&spec.name);
                cell.is_some_and(|cell| {
                    let states = cell.with(|cell| cell.engines().states());
                    !states.is_empty() && states.iter().all(|state| state.reachable)
                })
            })
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for at in 0..self.runtimes.len() {
            self.crash(at);
        }
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns an error that names the condition if it does not come to hold.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) -> anyhow::Result<()> {
    let looked = async {
        while !holds() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    let waited = tokio::time::timeout(GIVE_UP_AFTER, looked).await;
    waited.map_err(|_| anyhow::anyhow!("waited in vain until {what}"))
}
