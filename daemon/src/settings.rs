//! Settings of a host, read from an INI file. `docs/CONFIG.md` describes the keys.

use std::fmt;
use std::net;
use std::path;

use walnuthaven_lib::auth;
use walnuthaven_lib::cell;
use walnuthaven_lib::ids;
use walnuthaven_lib::resource_limits;

use crate::ini_file;

/// The settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub name: ids::Name,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// Address on which the host listens for callers.
    pub api_addr: net::SocketAddr,
    /// Address on which the host listens for other hosts.
    pub peer_addr: net::SocketAddr,
    /// Address on which the host listens for operators.
    pub admin_addr: net::SocketAddr,
    /// Base URL of the platform's API.
    pub platform_url: String,
    /// The shared key by which hosts authenticate to each other.
    pub fleet_key: Secret,
    /// Peer addresses of hosts to contact at the start, besides those in the platform's host list.
    pub seeds: Vec<net::SocketAddr>,
    /// How requests are scheduled on engines.
    pub scheduler: cell::Policy,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Number of threads that handle requests.
    pub threads: usize,
    /// The log level.
    pub log_level: log::LevelFilter,
    /// Log file; the log goes to standard error if there is none.
    pub log_file: Option<path::PathBuf>,
    /// File for the events that the history checker reads; none are written without it.
    pub events_file: Option<path::PathBuf>,
    /// Address of the statsd server that receives metrics.
    pub statsd_addr: Option<net::SocketAddr>,
    /// The operators, their tokens and roles.
    pub operators: Vec<Operator>,
    /// Longest time that a graceful shutdown waits for open requests, in seconds.
    pub drain_timeout_s: u64,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Largest request header in bytes.
    pub max_header_bytes: usize,
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Time within which a request's header must be complete, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for which a caller may accept no bytes of its answer, in milliseconds.
    pub stall_timeout_ms: u64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// File descriptors that the process may open.
    pub max_files: usize,
}

impl Limits {
    /// Returns what the process may use for its clients.
    pub fn resource_limits(&self) -> resource_limits::ResourceLimits {
        let limits = resource_limits::ResourceLimits::new(self.memory_bytes, self.max_files);
        resource_limits::ResourceLimits {
            client_connections: limits.client_connections.min(self.max_connections),
            ..limits
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            max_connections: 4_096,
            header_timeout_ms: 5_000,
            stall_timeout_ms: 10_000,
            memory_bytes: 1_000_000_000,
            max_files: process_files(),
        }
    }
}

/// An operator's token and role.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The token, salted and hashed.
    pub token: auth::HashedKey,
    /// Whether the operator may make changes; otherwise it may only view.
    pub may_change: bool,
}

/// A secret that `Debug` output hides, so that it doesn't appear in logs.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The sections with fixed names and their keys.
const SECTIONS: &[(&str, &[&str])] = &[
    ("host", &["name", "zone", "threads", "drain"]),
    ("listen", &["api", "peer", "admin"]),
    ("platform", &["url"]),
    ("fleet", &["key", "seeds"]),
    ("policy", &["scheduler"]),
    (
        "limits",
        &[
            "body",
            "header",
            "connections",
            "header_time",
            "stall_time",
            "memory",
            "files",
        ],
    ),
    ("log", &["level", "file", "events"]),
    ("metrics", &["statsd"]),
];
/// Prefix of the section names of operators; the operator's name follows.
const OPERATOR_PREFIX: &str = "operator.";
const OPERATOR_KEYS: &[&str] = &["role", "salt", "sha256"];
const KNOWN_KEYS: ini_file::KnownKeys = ini_file::KnownKeys {
    sections: SECTIONS,
    prefixed: Some((OPERATOR_PREFIX, OPERATOR_KEYS)),
};
const MIN_FLEET_KEY_CHARS: usize = 16;
const DEFAULT_THREADS: usize = 2;
const MAX_FILES: usize = 1_000_000;
const MAX_THREADS: usize = 64;
const DEFAULT_DRAIN_TIMEOUT_S: u64 = 120;

/// Reads a settings file.
///
/// # Errors
///
/// Returns the first fault, naming file, section and key.
pub fn read(path: &path::Path) -> Result<Settings, ini_file::Fault> {
    let (file, text) = ini_file::IniFile::read_text(path)?;
    parse(&file, &text)
}

/// Parses the text of a settings file. `file` is the file name that faults mention.
///
/// # Errors
///
/// Returns the first fault, naming file, section and key.
pub fn parse(file: &str, text: &str) -> Result<Settings, ini_file::Fault> {
    let source = ini_file::IniFile::parse(file, text, KNOWN_KEYS)?;
    let listen_addr = |key, default: &str| -> Result<net::SocketAddr, ini_file::Fault> {
        source.parse_value("listen", key, "an IP address with port", Some(default))
    };
    let settings = Settings {
        name: source.name("host", "name")?,
        zone: source.name("host", "zone")?,
        threads: source.number("host", "threads", DEFAULT_THREADS, 1, MAX_THREADS)?,
        drain_timeout_s: source.duration("host", "drain", DEFAULT_DRAIN_TIMEOUT_S * 1_000)? / 1_000,
        api_addr: listen_addr("api", "127.0.0.1:7400")?,
        peer_addr: listen_addr("peer", "127.0.0.1:7401")?,
        admin_addr: listen_addr("admin", "127.0.0.1:7402")?,
        platform_url: url(&source, "platform", "url")?,
        fleet_key: fleet_key(&source)?,
        seeds: seeds(&source)?,
        scheduler: scheduler(&source)?,
        limits: limits(&source)?,
        log_level: source.log_level()?,
        log_file: source.get("log", "file").map(path::PathBuf::from),
        events_file: source.get("log", "events").map(path::PathBuf::from),
        statsd_addr: statsd(&source)?,
        operators: operators(&source)?,
    };
    Ok(settings)
}

fn url(source: &ini_file::IniFile, section: &str, key: &str) -> Result<String, ini_file::Fault> {
    let value = source.required(section, key)?;
    let authority = value.strip_prefix("http://");
    let is_address = |text: &str| text.parse::<net::SocketAddr>().is_ok();
    if !authority.is_some_and(is_address) {
        let message = format!("{value:?} is not http:// with an IP address and port");
        return Err(source.fault(section, key, message));
    }
    Ok(value.to_owned())
}

fn fleet_key(source: &ini_file::IniFile) -> Result<Secret, ini_file::Fault> {
    let key = source.required("fleet", "key")?;
    if key.len() < MIN_FLEET_KEY_CHARS {
        let message = format!("is shorter than {MIN_FLEET_KEY_CHARS} characters");
        return Err(source.fault("fleet", "key", message));
    }
    Ok(Secret(key.to_owned()))
}

fn seeds(source: &ini_file::IniFile) -> Result<Vec<net::SocketAddr>, ini_file::Fault> {
    let list = source.get("fleet", "seeds").unwrap_or_default();
    let items = list.split(',').map(str::trim).filter(|s| !s.is_empty());
    items
        .map(|item| {
            item.parse().map_err(|_| {
                let message = format!("{item:?} is not an IP address with port");
                source.fault("fleet", "seeds", message)
            })
        })
        .collect()
}

fn scheduler(source: &ini_file::IniFile) -> Result<cell::Policy, ini_file::Fault> {
    match source.get("policy", "scheduler") {
        None | Some("current") => Ok(cell::Policy::Current),
        Some("baseline") => Ok(cell::Policy::Baseline),
        Some(other) => {
            let message = format!("{other:?} is neither current nor baseline");
            Err(source.fault("policy", "scheduler", message))
        }
    }
}

/// Returns how many file descriptors the system lets the process open.
fn process_files() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let files = limit.current.and_then(|files| usize::try_from(files).ok());
    files.unwrap_or(MAX_FILES).min(MAX_FILES)
}

fn limits(source: &ini_file::IniFile) -> Result<Limits, ini_file::Fault> {
    let default = Limits::default();
    let max_connections = default.max_connections;
    Ok(Limits {
        max_body_bytes: source.size("limits", "body", default.max_body_bytes)?,
        max_header_bytes: source.size("limits", "header", default.max_header_bytes)?,
        max_connections: source.number("limits", "connections", max_connections, 1, 1_000_000)?,
        header_timeout_ms: source.duration("limits", "header_time", default.header_timeout_ms)?,
        stall_timeout_ms: source.duration("limits", "stall_time", default.stall_timeout_ms)?,
        memory_bytes: source.size("limits", "memory", default.memory_bytes)?,
        max_files: source.number("limits", "files", default.max_files, 64, MAX_FILES)?,
    })
}

fn statsd(source: &ini_file::IniFile) -> Result<Option<net::SocketAddr>, ini_file::Fault> {
    match source.get("metrics", "statsd") {
        None => Ok(None),
        Some(_) => source
            .parse_value("metrics", "statsd", "an IP address with port", None)
            .map(Some),
    }
}

fn operators(source: &ini_file::IniFile) -> Result<Vec<Operator>, ini_file::Fault> {
    let sections = source.sections();
    let names = sections.filter_map(|section| section.strip_prefix(OPERATOR_PREFIX));
    names.map(|name| operator(source, name)).collect()
}

fn operator(source: &ini_file::IniFile, name: &str) -> Result<Operator, ini_file::Fault> {
    let section = format!("{OPERATOR_PREFIX}{name}");
    let may_change = match source.required(&section, "role")? {
        "view" => false,
        "change" => true,
        other => {
            let message = format!("{other:?} is neither view nor change");
            return Err(source.fault(&section, "role", message));
        }
    };
    let token = auth::HashedKey {
        name: name.into(),
        salt: source.required(&section, "salt")?.to_owned(),
        sha256: source.required(&section, "sha256")?.to_owned(),
    };
    if !ids::is_name(name) || !token.is_well_formed() {
        let message = "name, salt or hash is malformed; make them with `walnuthaven key`";
        return Err(source.fault(&section, "sha256", message.into()));
    }
    Ok(Operator { token, may_change })
}
