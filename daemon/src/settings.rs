//! Settings of a host, from an INI file. The field reference is `docs/CONFIG.md`.

use std::fmt;
use std::net;
use std::path;

use walnuthaven_lib::auth;
use walnuthaven_lib::cell;
use walnuthaven_lib::ids;

use crate::ini_file;

/// Everything a host is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub name: ids::Name,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// Where callers connect.
    pub api_addr: net::SocketAddr,
    /// Where other hosts connect.
    pub peer_addr: net::SocketAddr,
    /// Where operators connect.
    pub admin_addr: net::SocketAddr,
    /// Base URL of the platform's object API.
    pub platform_url: String,
    /// The key that hosts show each other.
    pub fleet_key: Secret,
    /// Peer addresses to ask first, beside the platform's host list.
    pub seeds: Vec<net::SocketAddr>,
    /// The scheduler.
    pub scheduler: cell::Policy,
    /// Limits on callers.
    pub limits: Limits,
    /// Threads that carry requests.
    pub threads: usize,
    /// The log level.
    pub log_level: log::LevelFilter,
    /// Where log lines go, standard error if not given.
    pub log_file: Option<path::PathBuf>,
    /// Where events for the history checker go, if they are wanted.
    pub events_file: Option<path::PathBuf>,
    /// Where metrics go by statsd.
    pub statsd_addr: Option<net::SocketAddr>,
    /// Operators and their tokens.
    pub operators: Vec<Operator>,
    /// Longest time that a graceful shutdown waits for requests, in seconds.
    pub drain_timeout_s: u64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Most open connections.
    pub max_connections: usize,
    /// Time in which a request's head must be complete, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a caller may accept no bytes of its answer, in milliseconds.
    pub stall_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            max_connections: 4_096,
            header_timeout_ms: 5_000,
            stall_timeout_ms: 10_000,
        }
    }
}

/// An operator's token and role.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The token, salted and hashed.
    pub token: auth::HashedKey,
    /// Whether the operator may change things.
    pub may_change: bool,
}

/// A secret that does not show in logs.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

const SECTIONS: &[(&str, &[&str])] = &[
    ("host", &["name", "zone", "threads", "drain"]),
    ("listen", &["api", "peer", "admin"]),
    ("platform", &["url"]),
    ("fleet", &["key", "seeds"]),
    ("policy", &["scheduler"]),
    (
        "limits",
        &["body", "header", "connections", "header_time", "stall_time"],
    ),
    ("log", &["level", "file", "events"]),
    ("metrics", &["statsd"]),
];
const OPERATOR_PREFIX: &str = "operator.";
const OPERATOR_KEYS: &[&str] = &["role", "salt", "sha256"];
const KNOWN: ini_file::KnownKeys = ini_file::KnownKeys {
    sections: SECTIONS,
    prefixed: Some((OPERATOR_PREFIX, OPERATOR_KEYS)),
};
const MIN_FLEET_KEY_CHARS: usize = 16;
const DEFAULT_THREADS: usize = 2;
const MAX_THREADS: usize = 64;
const DEFAULT_DRAIN_S: u64 = 120;

/// Reads a settings file.
///
/// # Errors
///
/// Returns the first fault, naming file, section and key.
pub fn read(path: &path::Path) -> Result<Settings, ini_file::Fault> {
    let (file, text) = ini_file::IniFile::read_text(path)?;
    parse(&file, &text)
}

/// Parses the text of a settings file. `file` is its name in faults.
///
/// # Errors
///
/// Returns the first fault, naming file, section and key.
pub fn parse(file: &str, text: &str) -> Result<Settings, ini_file::Fault> {
    let source = ini_file::IniFile::parse(file, text, KNOWN)?;
    let listen = |key, default: &str| -> Result<net::SocketAddr, ini_file::Fault> {
        source.parse_value("listen", key, "an IP address with port", Some(default))
    };
    let settings = Settings {
        name: source.name("host", "name")?,
        zone: source.name("host", "zone")?,
        threads: source.number("host", "threads", DEFAULT_THREADS, 1, MAX_THREADS)?,
        drain_timeout_s: source.duration("host", "drain", DEFAULT_DRAIN_S * 1_000)? / 1_000,
        api_addr: listen("api", "127.0.0.1:7400")?,
        peer_addr: listen("peer", "127.0.0.1:7401")?,
        admin_addr: listen("admin", "127.0.0.1:7402")?,
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

fn limits(source: &ini_file::IniFile) -> Result<Limits, ini_file::Fault> {
    let default = Limits::default();
    let max_connections = default.max_connections;
    Ok(Limits {
        max_body_bytes: source.size("limits", "body", default.max_body_bytes)?,
        max_header_bytes: source.size("limits", "header", default.max_header_bytes)?,
        max_connections: source.number("limits", "connections", max_connections, 1, 1_000_000)?,
        header_timeout_ms: source.duration("limits", "header_time", default.header_timeout_ms)?,
        stall_timeout_ms: source.duration("limits", "stall_time", default.stall_timeout_ms)?,
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
