//! A fleet of daemon processes for experiments. They are signalled and killed by process id.

use std::fs;
use std::io;
use std::io::BufRead as _;
use std::path;
use std::process;
use std::time;

use anyhow::Context as _;

use crate::world;

/// One daemon process.
#[derive(Debug)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address of the API for callers.
    pub api_addr: String,
    /// Address of the API for other hosts.
    pub peer_addr: String,
    /// Address of the API for operators.
    pub admin_addr: String,
    child: process::Child,
}

/// The daemons of an experiment, with a temporary directory for their files. Dropping it kills the
/// daemons and removes the directory, unless `WALNUTHAVEN_KEEP` is set.
#[derive(Debug)]
pub struct Fleet {
    /// The running hosts.
    pub hosts: Vec<Host>,
    /// The directory with settings, logs and events.
    pub directory: path::PathBuf,
    binary: path::PathBuf,
    platform_url: String,
    scheduler: String,
    start_count: usize,
}

/// After this many polls, a host that was told to shut down is killed.
const MAX_EXIT_POLLS: u32 = 700;
const EXIT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl Fleet {
    /// Creates a fleet without hosts. `label` becomes part of the directory's name.
    ///
    /// # Errors
    ///
    /// Returns an error that names the build command if the daemon is not built.
    pub fn new(platform_url: &str, scheduler: &str, label: &str) -> anyhow::Result<Self> {
        let current_exe = std::env::current_exe().context("finding the path of this executable")?;
        // Tests lie in a folder below the one with the programs.
        let folder = current_exe
            .parent()
            .context("this executable has no folder")?;
        let folder = match folder.ends_with("deps") {
            true => folder.parent().unwrap_or(folder),
            false => folder,
        };
        let binary = folder.join("walnuthavend");
        anyhow::ensure!(
            binary.exists(),
            "the daemon {} is missing; build it with `cargo build --release --bin walnuthavend`",
            binary.display()
        );
        let directory = std::env::temp_dir().join(format!("walnuthaven-{label}-{}", process::id()));
        fs::create_dir_all(&directory)
            .with_context(|| format!("creating {}", directory.display()))?;
        Ok(Self {
            hosts: Vec::new(),
            platform_url: platform_url.to_owned(),
            scheduler: scheduler.to_owned(),
            start_count: 0,
            binary,
            directory,
        })
    }

    /// Starts a host and waits until it listens. Returns its index in `hosts`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start.
    pub fn start(&mut self, name: &str, zone: &str) -> anyhow::Result<usize> {
        self.start_count += 1;
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .map(|host| host.peer_addr.clone())
            .collect();
        let events = self
            .directory
            .join(format!("events-{}.jsonl", self.start_count));
        let log = self
            .directory
            .join(format!("{name}-{}.log", self.start_count));
        let text = world::settings_text(
            name,
            zone,
            &self.platform_url,
            &self.scheduler,
            &seeds,
            Some(&events.display().to_string()),
            Some(&log.display().to_string()),
        );
        let settings = self
            .directory
            .join(format!("{name}-{}.ini", self.start_count));
        fs::write(&settings, text)?;
        let mut child = process::Command::new(&self.binary)
            .arg("--config")
            .arg(&settings)
            .stdout(process::Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {}", self.binary.display()))?;
        let stdout = child
            .stdout
            .take()
            .context("the standard output of the daemon is not piped")?;
        let mut line = String::new();
        io::BufReader::new(stdout).read_line(&mut line)?;
        let field = |key: &str| -> anyhow::Result<String> {
            let mut words = line.split_whitespace();
            words.find(|word| *word == key);
            let value = words.next();
            value
                .map(str::to_owned)
                .with_context(|| format!("daemon {name} did not start; it printed {line:?}"))
        };
        let host = Host {
            name: name.to_owned(),
            zone: zone.to_owned(),
            api_addr: field("api")?,
            peer_addr: field("peer")?,
            admin_addr: field("admin")?,
            child,
        };
        self.hosts.push(host);
        Ok(self.hosts.len() - 1)
    }

    /// Returns the addresses of the hosts' API for callers.
    pub fn api_addresses(&self) -> Vec<String> {
        self.hosts
            .iter()
            .map(|host| host.api_addr.clone())
            .collect()
    }

    /// Kills a host and removes it from `hosts`.
    pub fn kill(&mut self, index: usize) -> Host {
        let mut host = self.hosts.remove(index);
        // Fails only if the process has ended already.
        let _ = host.child.kill();
        let _ = host.child.wait();
        host
    }

    /// Shuts a host down gracefully and waits until its process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end in time.
    pub async fn shut_down(&mut self, index: usize) -> anyhow::Result<()> {
        let host = self.hosts.remove(index);
        signal(&host, rustix::process::Signal::TERM)?;
        let mut child = host.child;
        for _ in 0..MAX_EXIT_POLLS {
            if child.try_wait()?.is_some() {
                return Ok(());
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        let _ = child.kill();
        anyhow::bail!("host {} did not exit in time", host.name)
    }

    /// Suspends a host's process for a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub async fn pause(&self, index: usize, duration: time::Duration) -> anyhow::Result<()> {
        signal(&self.hosts[index], rustix::process::Signal::STOP)?;
        tokio::time::sleep(duration).await;
        signal(&self.hosts[index], rustix::process::Signal::CONT)
    }

    /// Fetches a dump of a host's state.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not answer.
    pub fn dump(&self, index: usize) -> anyhow::Result<serde_json::Value> {
        let url = format!("http://{}/admin/dump", self.hosts[index].admin_addr);
        let token = format!("Bearer {}", world::OPERATOR_TOKEN);
        let mut response = ureq::get(url).header("authorization", token).call()?;
        Ok(response.body_mut().read_json()?)
    }

    /// Returns the events that all hosts wrote, including hosts whose processes have ended. A file
    /// that can't be read counts as empty.
    ///
    /// # Errors
    ///
    /// Returns no error at present.
    pub fn events(&self) -> anyhow::Result<Vec<walnuthaven_lib::history::Record>> {
        let mut records = Vec::new();
        for number in 1..=self.start_count {
            let path = self.directory.join(format!("events-{number}.jsonl"));
            let text = fs::read_to_string(path).unwrap_or_default();
            // The last line of a killed process may be incomplete.
            let lines = text
                .lines()
                .filter_map(|line| serde_json::from_str(line).ok());
            records.extend(lines);
        }
        Ok(records)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        while !self.hosts.is_empty() {
            self.kill(0);
        }
        if std::env::var_os("WALNUTHAVEN_KEEP").is_none() {
            // A directory that can't be removed does no harm.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn signal(host: &Host, signal: rustix::process::Signal) -> anyhow::Result<()> {
    let raw_id = i32::try_from(host.child.id())?;
    let id = rustix::process::Pid::from_raw(raw_id).context("the process id is 0")?;
    rustix::process::kill_process(id, signal)
        .with_context(|| format!("sending a signal to {}", host.name))
}
