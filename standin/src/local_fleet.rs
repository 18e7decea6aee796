//! A fleet of hosts inside this process, for the demo and for tests.

use std::sync;
use std::time;

use tokio::runtime;
use walnuthaven_daemon::host;
use walnuthaven_daemon::locks;
use walnuthaven_daemon::settings;
use walnuthaven_lib::membership;

use crate::world;

const THREADS_PER_HOST: usize = 2;
/// Time between two checks of a condition.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time after which `wait_until` fails.
pub const CONDITION_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Hosts inside this process. Each has a Tokio runtime of its own, so that it can be stopped
/// abruptly, as if its process had crashed.
#[derive(Debug)]
pub struct Fleet {
    /// All hosts started so far, crashed ones included.
    pub hosts: Vec<host::RunningHost>,
    runtimes: Vec<Option<runtime::Runtime>>,
}

impl Fleet {
    /// Starts `count` hosts, spread over the availability zones of the stand-ins, and waits until
    /// they know each other, have the configuration and reach all engines.
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
        for index in 0..count {
            fleet
                .add(world, &format!("host-{index}"), scheduler)
                .await?;
        }
        wait_until("the hosts are ready", || fleet.is_ready(count)).await?;
        Ok(fleet)
    }

    /// Starts one more host without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the host can't be started.
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
            .worker_threads(THREADS_PER_HOST)
            .enable_all()
            .build()?;
        let started = runtime.spawn(host::Host::start(settings)).await;
        self.runtimes.push(Some(runtime));
        self.hosts.push(started??);
        Ok(())
    }

    /// Returns the addresses of the hosts' API for callers.
    pub fn api_addresses(&self) -> Vec<String> {
        self.hosts
            .iter()
            .map(|host| host.api_addr.to_string())
            .collect()
    }

    /// Returns the state of a host.
    pub fn host(&self, index: usize) -> &sync::Arc<host::Host> {
        &self.hosts[index].host
    }

    /// Stops a host abruptly, as a crash would: its connections break and its tasks end.
    pub fn crash(&mut self, index: usize) {
        if let Some(runtime) = self.runtimes[index].take() {
            runtime.shutdown_background();
        }
    }

    fn is_ready(&self, count: usize) -> bool {
        let hosts_ready = self.hosts.iter().all(|running| {
            let members = locks::lock(&running.host.members).live_members();
            let alive = members
                .iter()
                .filter(|m| m.state == membership::State::Alive);
            let configured = !locks::read(&running.host.config).is_empty();
            alive.count() >= count && configured
        });
        hosts_ready && self.are_engines_reachable()
    }

    /// Returns whether every cell with engines has a steward that reaches all of them.
    fn are_engines_reachable(&self) -> bool {
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
        for index in 0..self.runtimes.len() {
            self.crash(index);
        }
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns an error that names the condition if it does not hold within `CONDITION_TIMEOUT`.
pub async fn wait_until(
    description: &str,
    mut condition: impl FnMut() -> bool,
) -> anyhow::Result<()> {
    let poll = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let finished = tokio::time::timeout(CONDITION_TIMEOUT, poll).await;
    finished.map_err(|_| anyhow::anyhow!("timed out waiting until {description}"))
}
