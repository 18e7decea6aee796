//! Real daemons for an experiment: started, signalled and ended by their ids.

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
    /// Address for callers.
    pub api_addr: String,
    /// Address for other hosts.
    pub peer_addr: String,
    /// Address for operators.
    pub admin_addr: String,
    child: process::Child,
}

/// The daemons of an experiment, in a folder of their own.
#[derive(Debug)]
pub struct Fleet {
    /// The running hosts.
    pub hosts: Vec<Host>,
    /// The folder with settings, logs and events.
    pub folder: path::PathBuf,
    binary: path::PathBuf,
    platform_url: String,
    scheduler: String,
    started: usize,
}

const END_TRIES: u32 = 700;
const END_PAUSE: time::Duration = time::Duration::from_millis(100);

impl Fleet {
    /// Makes a fleet without hosts.
    ///
    /// # Errors
    ///
    /// Returns an error that names the build command if the daemon is not built.
    pub fn new(platform_url: &str, scheduler: &str, label: &str) -> anyhow::Result<Self> {
        let own = std::env::current_exe().context("own path")?;
        let binary = own.with_file_name("walnuthavend");
        anyhow::ensure!(
            binary.exists(),
            "the daemon {} is missing; build it with `cargo build --release --bin walnuthavend`",
            binary.display()
        );
        let folder = std::env::temp_dir().join(format!("walnuthaven-{label}-{}", process::id()));
        fs::create_dir_all(&folder).with_context(|| folder.display().to_string())?;
        Ok(Self {
            hosts: Vec::new(),
            platform_url: platform_url.to_owned(),
            scheduler: scheduler.to_owned(),
            started: 0,
            binary,
            folder,
        })
    }

    /// Starts a host and waits until it listens. Returns its place in `hosts`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start.
    pub fn start(&mut self, name: &str, zone: &str) -> anyhow::Result<usize> {
        self.started += 1;
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .map(|host| host.peer_addr.clone())
            .collect();
        let events = self.folder.join(format!("events-{}.jsonl", self.started));
        let log = self.folder.join(format!("{name}-{}.log", self.started));
        let text = world::settings_text(
            name,
            zone,
            &self.platform_url,
            &self.scheduler,
            &seeds,
            Some(&events.display().to_string()),
            Some(&log.display().to_string()),
        );
        let settings = self.folder.join(format!("{name}-{}.ini", self.started));
        fs::write(&settings, text)?;
        let mut child = process::Command::new(&self.binary)
            .arg("--config")
            .arg(&settings)
            .stdout(process::Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {}", self.binary.display()))?;
        let out = child.stdout.take().context("the daemon's output")?;
        let mut line = String::new();
        io::BufReader::new(out).read_line(&mut line)?;
        let field = |key: &str| -> anyhow::Result<String> {
            let mut words = line.split_whitespace();
            words.find(|word| *word == key);
            let value = words.next();
            value
                .map(str::to_owned)
                .with_context(|| format!("the daemon {name} did not start: {line:?}"))
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

    /// Returns the addresses for callers.
    pub fn api_addresses(&self) -> Vec<String> {
        self.hosts
            .iter()
            .map(|host| host.api_addr.clone())
            .collect()
    }

    /// Kills a host and returns it.
    pub fn kill(&mut self, at: usize) -> Host {
        let mut host = self.hosts.remove(at);
        // A process that has ended already is what is wanted.
        let _ = host.child.kill();
        let _ = host.child.wait();
        host
    }

    /// Tells a host to leave and waits until its process ends, in a thread for blocking work.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end in time.
    pub async fn shut_down(&mut self, at: usize) -> anyhow::Result<()> {
        let host = self.hosts.remove(at);
        signal(&host, rustix::process::Signal::TERM)?;
        let mut child = host.child;
        for _ in 0..END_TRIES {
            if child.try_wait()?.is_some() {
                return Ok(());
            }
            tokio::time::sleep(END_PAUSE).await;
        }
        let _ = child.kill();
        anyhow::bail!("host {} did not end", host.name)
    }

    /// Freezes a host for a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub async fn pause(&self, at: usize, length: time::Duration) -> anyhow::Result<()> {
        signal(&self.hosts[at], rustix::process::Signal::STOP)?;
        tokio::time::sleep(length).await;
        signal(&self.hosts[at], rustix::process::Signal::CONT)
    }

    /// Reads a host's state dump.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not answer.
    pub fn dump(&self, at: usize) -> anyhow::Result<serde_json::Value> {
        let url = format!("http://{}/admin/dump", self.hosts[at].admin_addr);
        let token = format!("Bearer {}", world::OPERATOR_TOKEN);
        let mut response = ureq::get(url).header("authorization", token).call()?;
        Ok(response.body_mut().read_json()?)
    }

    /// Returns the events that the hosts wrote.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be read.
    pub fn events(&self) -> anyhow::Result<Vec<walnuthaven_lib::history::Record>> {
        let mut records = Vec::new();
        for number in 1..=self.started {
            let path = self.folder.join(format!("events-{number}.jsonl"));
            let text = fs::read_to_string(path).unwrap_or_default();
            // The last line of a killed process may be cut off.
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
            // What can't be removed is only litter.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn signal(host: &Host, signal: rustix::process::Signal) -> anyhow::Result<()> {
    let raw = i32::try_from(host.child.id())?;
    let id = rustix::process::Pid::from_raw(raw).context("process id")?;
    rustix::process::kill_process(id, signal).with_context(|| format!("signal to {}", host.name))
}
