//! Settings of a host, from an INI file. The field reference is `docs/CONFIG.md`.

use std::fmt;
use std::net;
use std::path;

use walnuthaven_lib::auth;
use walnuthaven_lib::cell;
use walnuthaven_lib::ids;

use crate::ini_source;

/// Everything a host is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub name: ids::Name,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// Where callers connect.
    pub api: net::SocketAddr,
    /// Where other hosts connect.
    pub peer: net::SocketAddr,
    /// Where operators connect.
    pub admin: net::SocketAddr,
    /// Base URL of the platform's object API.
    pub platform: String,
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
    pub statsd: Option<net::SocketAddr>,
    /// Operators and their tokens.
    pub operators: Vec<Operator>,
    /// Longest time that a graceful shutdown waits for requests, in seconds.
    pub drain_s: u64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Most open connections.
    pub connections: usize,
    /// Time in which a request's head must be complete, in milliseconds.
    pub header_ms: u64,
    /// Time for which a caller may accept no bytes of its answer, in milliseconds.
    pub stall_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1_048_576,
            header_bytes: 16_384,
            connections: 4_096,
            header_ms: 5_000,
            stall_ms: 10_000,
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
const KNOWN: ini_source::Known = ini_source::Known {
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
pub fn read(path: &path::Path) -> Result<Settings, ini_source::Fault> {
    let (file, text) = ini_source::Source::read(path)?;
    parse(&file, &text)
}

/// Parses the text of a settings file. `file` is its name in faults.
///
/// # Errors
///
/// Returns the first fault, naming file, section and key.
pub fn parse(file: &str, text: &str) -> Result<Settings, ini_source::Fault> {
    let source = ini_source::Source::load(file, text, KNOWN)?;
    let listen = |key, default: &str| -> Result<net::SocketAddr, ini_source::Fault> {
        source.parsed("listen", key, "an IP address with port", Some(default))
    };
    let settings = Settings {
        name: source.name("host", "name")?,
        zone: source.name("host", "zone")?,
        threads: source.number("host", "threads", DEFAULT_THREADS, 1, MAX_THREADS)?,
        drain_s: source.duration("host", "drain", DEFAULT_DRAIN_S * 1_000)? / 1_000,
        api: listen("api", "127.0.0.1:7400")?,
        peer: listen("peer", "127.0.0.1:7401")?,
        admin: listen("admin", "127.0.0.1:7402")?,
        platform: url(&source, "platform", "url")?,
        fleet_key: fleet_key(&source)?,
        seeds: seeds(&source)?,
        scheduler: scheduler(&source)?,
        limits: limits(&source)?,
        log_level: source.log_level()?,
        log_file: source.get("log", "file").map(path::PathBuf::from),
        events_file: source.get("log", "events").map(path::PathBuf::from),
        statsd: statsd(&source)?,
        operators: operators(&source)?,
    };
    Ok(settings)
}

fn url(source: &ini_source::Source, section: &str, key: &str) -> Result<String, ini_source::Fault> {
    let value = source.required(section, key)?;
    let authority = value.strip_prefix("http://");
    let is_address = |text: &str| text.parse::<net::SocketAddr>().is_ok();
    if !authority.is_some_and(is_address) {
        let message = format!("{value:?} is not http:// with an IP address and port");
        return Err(source.fault(section, key, message));
    }
    Ok(value.to_owned())
}

fn fleet_key(source: &ini_source::Source) -> Result<Secret, ini_source::Fault> {
    let key = source.required("fleet", "key")?;
    if key.len() < MIN_FLEET_KEY_CHARS {
        let message = format!("is shorter than {MIN_FLEET_KEY_CHARS} characters");
        return Err(source.fault("fleet", "key", message));
    }
    Ok(Secret(key.to_owned()))
}

fn seeds(source: &ini_source::Source) -> Result<Vec<net::SocketAddr>, ini_source::Fault> {
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

fn scheduler(source: &ini_source::Source) -> Result<cell::Policy, ini_source::Fault> {
    match source.get("policy", "scheduler") {
        None | Some("current") => Ok(cell::Policy::Current),
        Some("baseline") => Ok(cell::Policy::Baseline),
        Some(other) => {
            let message = format!("{other:?} is neither current nor baseline");
            Err(source.fault("policy", "scheduler", message))
        }
    }
}

fn limits(source: &ini_source::Source) -> Result<Limits, ini_source::Fault> {
    let default = Limits::default();
    let connections = default.connections;
    Ok(Limits {
        body_bytes: source.size("limits", "body", default.body_bytes)?,
        header_bytes: source.size("limits", "header", default.header_bytes)?,
        connections: source.number("limits", "connections", connections, 1, 1_000_000)?,
        header_ms: source.duration("limits", "header_time", default.header_ms)?,
        stall_ms: source.duration("limits", "stall_time", default.stall_ms)?,
    })
}

fn statsd(source: &ini_source::Source) -> Result<Option<net::SocketAddr>, ini_source::Fault> {
    match source.get("metrics", "statsd") {
        None => Ok(None),
        Some(_) => source
            .parsed("metrics", "statsd", "an IP address with port", None)
            .map(Some),
    }
}

fn operators(source: &ini_source::Source) -> Result<Vec<Operator>, ini_source::Fault> {
    let sections = source.sections();
    let names = sections.filter_map(|section| section.strip_prefix(OPERATOR_PREFIX));
    names.map(|name| operator(source, name)).collect()
}

fn operator(source: &ini_source::Source, name: &str) -> Result<Operator, ini_source::Fault> {
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
