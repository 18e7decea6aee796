//! Starts the programs of a small deployment as separate processes, and keeps the record of a case.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::raw::c_int;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
}

pub const SIGKILL: c_int = 9;
pub const SIGTERM: c_int = 15;

/// A case that takes longer than this couldn't run.
const MAX_TIME: Duration = Duration::from_secs(112);

/// Time in which a process that can't listen at its ports has ended.
const BIND_TIME: Duration = Duration::from_millis(60);

/// The ids of the child processes that haven't been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all child processes and this one if the case takes too long.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("could not run: not done within {MAX_TIME:?}");
        for pid in RUNNING.lock().unwrap().iter() {
            // Not waited for, so the id is still that of a child.
            unsafe { kill(*pid as c_int, SIGKILL) };
        }
        std::process::exit(2);
    });
}

/// Why a case couldn't run.
pub type Failure = String;

/// What was sent, answered and run, by time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        let at = at.saturating_duration_since(self.start);
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn lines(&self) -> Vec<(Duration, String)> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        lines
    }
}

/// A child process.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    fn new(name: &str, child: Child) -> Self {
        RUNNING.lock().unwrap().push(child.id());
        Self {
            name: name.to_owned(),
            child,
        }
    }

    pub fn signal(&self, signal: c_int) {
        let running = RUNNING.lock().unwrap();
        if running.contains(&self.child.id()) {
            // The child wasn't waited for, so its id is still its own.
            unsafe { kill(self.child.id() as c_int, signal) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        // Waiting for a child gives its id free, so that is done with the list locked.
        let mut running = RUNNING.lock().unwrap();
        let has_ended = !matches!(self.child.try_wait(), Ok(None));
        if has_ended {
            running.retain(|pid| *pid != self.child.id());
        }
        has_ended
    }

    pub fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.child.stdin {
            let _ = writeln!(input, "{line}");
            let _ = input.flush();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.has_ended() {
            let mut running = RUNNING.lock().unwrap();
            let _ = self.child.kill();
            let _ = self.child.wait();
            running.retain(|pid| *pid != self.child.id());
        }
    }
}

pub struct Host {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
}

pub struct World {
    pub dir: PathBuf,
    pub repo: PathBuf,
    pub store: Arc<Store>,
    pub record: Record,
    pub trouble: bool,
    host_ports: Vec<(String, Vec<u16>)>,
}

fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("free port"))
        .collect();
    listeners
        .iter()
        .map(|l| l.local_addr().expect("bound").port())
        .collect()
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl World {
    pub fn new(repo: &Path, trouble: bool) -> Result<Self, Failure> {
        let dir = std::env::temp_dir().join(format!("walnuthaven-review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let record = Record {
            start: Instant::now(),
            lines: Arc::default(),
        };
        Ok(Self {
            dir,
            repo: repo.to_owned(),
            store: Store::start(),
            record,
            trouble,
            host_ports: Vec::new(),
        })
    }

    /// Renders `deploy/entry.ini` for a host.
    fn settings(&self, name: &str, ports: &[u16]) -> Result<String, Failure> {
        let template =
            fs::read_to_string(self.repo.join("deploy/entry.ini")).map_err(|e| e.to_string())?;
        let addr = |number: usize| local(ports[number]).to_string();
        let values = [
            ("{{node}}", name.to_owned()),
            ("{{zone}}", "zone-a".to_owned()),
            ("{{listen.front}}", addr(0)),
            ("{{listen.ready}}", addr(1)),
            ("{{listen.directory}}", addr(2)),
            ("{{ip}}:{{internal_ports.0}}", addr(3)),
            ("{{ip}}:{{internal_ports.1}}", addr(4)),
            ("{{platform.address}}", self.store.addr.to_string()),
            ("{{limits.memory_mb}}", "260".to_owned()),
            ("{{limits.max_fds}}", "4100".to_owned()),
            ("{{bounds.grace_s}}", "8".to_owned()),
            (
                "{{contracts}}",
                "base,drain,config,cost,retry,recover,split,stream,engine,platform".to_owned(),
            ),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.budget_slack}}", "56".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
        ];
        let mut text = template;
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        // There are no tenants, so the section of their quota isn't rendered.
        if let Some(start) = text.find("{{#bounds.quota_slack}}") {
            let end_tag = "{{/bounds.quota_slack}}";
            let end = text.find(end_tag).ok_or("template")? + end_tag.len();
            text.replace_range(start..end, "");
        }
        match text.contains("{{") {
            true => Err(format!(
                "deploy/entry.ini has a placeholder that this stand-in doesn't know: {text}"
            )),
            false => Ok(text),
        }
    }

    /// Starts a host with the command of the deploy file. A host of a name that was started before keeps its
    /// addresses.
    pub fn start_host(&mut self, name: &str) -> Result<Host, Failure> {
        let known = self.host_ports.iter().find(|(n, _)| n == name);
        if let Some(ports) = known.map(|(_, ports)| ports.clone()) {
            return self.spawn_host(name, &ports);
        }
        loop {
            let ports = free_ports(5);
            let mut host = self.spawn_host(name, &ports)?;
            thread::sleep(BIND_TIME);
            // A port that was free may have been taken meanwhile.
            if !host.process.has_ended() {
                self.host_ports.push((name.to_owned(), ports));
                return Ok(host);
            }
            self.record.add(format!(
                "host {name} has ended, and is started at other ports"
            ));
        }
    }

    fn spawn_host(&self, name: &str, ports: &[u16]) -> Result<Host, Failure> {
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, self.settings(name, ports)?).map_err(|e| e.to_string())?;
        let log = self.dir.join(format!("{name}.log"));
        let out = fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|e| e.to_string())?;
        let err = out.try_clone().map_err(|e| e.to_string())?;
        let program = self.repo.join("target/release/walnuthavend");
        let child = Command::new(&program)
            .args(["--entry", "--config"])
            .arg(&settings)
            .current_dir(&self.repo)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        self.record.add(format!("host {name} started"));
        Ok(Host {
            process: Process::new(name, child),
            callers: local(ports[0]),
            ready: local(ports[1]),
            directory: local(ports[2]),
        })
    }

    /// Starts a backend server as a process. `options` are pairs of names and values.
    pub fn start_server(&self, id: &str, options: &[(&str, &str)]) -> Result<Process, Failure> {
        loop {
            let addr = local(free_ports(1)[0]).to_string();
            let mut server = self.spawn_server(id, &addr, options)?;
            thread::sleep(BIND_TIME);
            // A port that was free may have been taken meanwhile.
            if !server.has_ended() {
                return Ok(server);
            }
            self.record.add(format!(
                "server {id} has ended, and is started at another port"
            ));
        }
    }

    fn spawn_server(
        &self,
        id: &str,
        addr: &str,
        options: &[(&str, &str)],
    ) -> Result<Process, Failure> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["server", "--id", id, "--zone", "zone-a"]);
        command.args(["--addr", addr, "--store", &self.store.addr.to_string()]);
        for (name, value) in options {
            command.args([&format!("--{name}"), *value]);
        }
        let spawned = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = spawned.map_err(|e| e.to_string())?;
        let out = child.stdout.take().ok_or("no output")?;
        let (record, server) = (self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                record.add(format!("server {server}: {line}"));
            }
        });
        self.record.add(format!("server {id} started"));
        Ok(Process::new(id, child))
    }

    /// Waits until hosts say that they are ready.
    pub fn wait_ready(&self, hosts: &[&Host], timeout: Duration) -> Result<(), Failure> {
        let start = Instant::now();
        for host in hosts {
            while !is_ready(host) {
                if start.elapsed() > timeout {
                    return Err(format!("host {} isn't ready", host.process.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Writes the record, with `verdict` at its end.
    pub fn write_record(&self, path: &Path, verdict: &str) {
        let mut text = String::new();
        for (at, line) in self.record.lines() {
            text.push_str(&format!("{:9.3} {line}\n", at.as_secs_f64()));
        }
        text.push_str(&format!("verdict: {verdict}\n"));
        let _ = fs::write(path, text);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("kept: {}", self.dir.display());
        }
    }
}

pub fn is_ready(host: &Host) -> bool {
    let request = b"GET /walnuthaven/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    http::call(host.ready, request, Duration::from_secs(1)).is_ok_and(|a| a.status() == 200)
}

/// Formats a request of a client. `headers` are lines that each end in CRLF.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    headers: &str,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: films.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Headers of a request for a generation.
pub const PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,700\r\nX-Length-Hint: 350\r\nX-Prompt-Prefix: 5c1e07a2:500\r\n";

/// The configuration: a service of model engines and a plain one.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"films.example\",\"path_prefix\":\"{prefix}\",{rest}}}"
        )
    };
    let stream = "\"kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":900,\"priority\":1,\"service\":\"writer\",\"max_attempts\":2,\"sticky\":true,\"gap_aim_ms\":300";
    let plain =
        "\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":2,\"service\":\"portal\"";
    let routes = [
        route("brief", "/brief/", &format!("{stream},\"resumable\":true")),
        route(
            "single",
            "/single/",
            &format!("{stream},\"resumable\":false"),
        ),
        route(
            "order",
            "/order/",
            &format!("\"kind\":\"non_idempotent\",\"max_attempts\":1,{plain}"),
        ),
        route(
            "peek",
            "/peek/",
            &format!("\"kind\":\"idempotent\",\"max_attempts\":2,{plain}"),
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{}}}",
        routes.join(","),
        "{\"name\":\"writer\",\"health_path\":\"/health\",\"max_connections\":240,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":32,\"kv_tokens\":73808,\"kv_token_bytes\":163840,\"link_mbps\":8800000.0,\"moves\":true,\"backups\":true,\"stride\":70,\"most\":12,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}",
        "{\"name\":\"portal\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}",
        "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}",
    )
}

/// How a client's request was answered, for the record.
pub fn describe(result: &std::io::Result<http::Message>) -> String {
    match result {
        Ok(answer) => format!(
            "{} {} {} bytes{}{}",
            answer.status(),
            if answer.complete {
                "complete"
            } else {
                "broken off"
            },
            answer.body.len(),
            answer
                .header("x-server-stamp")
                .map_or(String::new(), |s| format!(" stamp {s}")),
            answer
                .header("retry-after")
                .map_or(String::new(), |s| format!(" retry-after {s}")),
        ),
        Err(error) => format!("no answer: {}", error.kind()),
    }
}
