//! Settings of a host, from an INI file. The field reference is `docs/CONFIG.md`.

use std::collections;
use std::fmt;
use std::fs;
use std::net;
use std::path;
use std::str;

use walnuthaven_lib::auth;
use walnuthaven_lib::cell;
use walnuthaven_lib::ids;

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

/// A fault in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    file: String,
    section: String,
    key: String,
    message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            section,
            key,
            message,
        } = self;
        match key.is_empty() {
            true => write!(f, "{file}: section [{section}]: {message}"),
            false => write!(f, "{file}: section [{section}], key {key:?}: {message}"),
        }
    }
}

impl std::error::Error for Fault {}

const KNOWN: &[(&str, &[&str])] = &[
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
const MIN_FLEET_KEY_CHARS: usize = 16;
const DEFAULT_THREADS: usize = 2;
const MAX_THREADS: usize = 64;
const DEFAULT_DRAIN_S: u64 = 120;

/// Reads a settings file.
///
/// # Errors
///
/// Returns the first fault, naming file, section and key.
pub fn read(path: &path::Path) -> Result<Settings, Fault> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| Fault {
        file: file.clone(),
        section: String::new(),
        key: String::new(),
        message: format!("can't be read: {error}"),
    })?;
    parse(&file, &text)
}

/// Parses the text of a settings file. `file` is its name in faults.
///
/// # Errors
///
/// Returns the first fault, naming file, section and key.
pub fn parse(file: &str, text: &str) -> Result<Settings, Fault> {
    let source = Source::load(file, text)?;
    let listen = |key, default: &str| -> Result<net::SocketAddr, Fault> {
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
        platform: source.url("platform", "url")?,
        fleet_key: source.fleet_key()?,
        seeds: source.seeds()?,
        scheduler: source.scheduler()?,
        limits: source.limits()?,
        log_level: source.parsed(
            "log",
            "level",
            "off, error, warn, info, debug or trace",
            Some("info"),
        )?,
        log_file: source.get("log", "file").map(path::PathBuf::from),
        events_file: source.get("log", "events").map(path::PathBuf::from),
        statsd: source.statsd()?,
        operators: source.operators()?,
    };
    Ok(settings)
}

struct Source {
    file: String,
    values: collections::BTreeMap<String, collections::BTreeMap<String, String>>,
}

impl Source {
    fn load(file: &str, text: &str) -> Result<Self, Fault> {
        let mut source = Self {
            file: file.to_owned(),
            values: collections::BTreeMap::new(),
        };
        let ini = ini::Ini::load_from_str(text)
            .map_err(|error| source.fault("", "", format!("line {}: {}", error.line, error.msg)))?;
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            source.take_section(section, properties)?;
        }
        Ok(source)
    }

    fn take_section(&mut self, section: &str, properties: &ini::Properties) -> Result<(), Fault> {
        let keys = match known_keys(section) {
            Some(keys) => keys,
            None => return Err(self.fault(section, "", "unknown section".into())),
        };
        if self.values.contains_key(section) {
            return Err(self.fault(section, "", "appears twice".into()));
        }
        let mut values = collections::BTreeMap::new();
        for (key, value) in properties {
            if !keys.contains(&key) {
                let message = format!("unknown key; known are {}", keys.join(", "));
                return Err(self.fault(section, key, message));
            }
            if values.insert(key.to_owned(), value.to_owned()).is_some() {
                return Err(self.fault(section, key, "appears twice".into()));
            }
        }
        self.values.insert(section.to_owned(), values);
        Ok(())
    }

    fn fault(&self, section: &str, key: &str, message: String) -> Fault {
        Fault {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            message,
        }
    }

    fn get(&self, section: &str, key: &str) -> Option<&str> {
        let value = self.values.get(section)?.get(key)?;
        Some(value.trim())
    }

    fn required(&self, section: &str, key: &str) -> Result<&str, Fault> {
        let value = self.get(section, key).filter(|value| !value.is_empty());
        value.ok_or_else(|| self.fault(section, key, "is missing".into()))
    }

    fn parsed<T: str::FromStr>(
        &self,
        section: &str,
        key: &str,
        wanted: &str,
        default: Option<&str>,
    ) -> Result<T, Fault> {
        let value = match (self.get(section, key), default) {
            (Some(value), _) => value,
            (None, Some(default)) => default,
            (None, None) => self.required(section, key)?,
        };
        value
            .parse()
            .map_err(|_| self.fault(section, key, format!("{value:?} is not {wanted}")))
    }

    fn name(&self, section: &str, key: &str) -> Result<ids::Name, Fault> {
        let value = self.required(section, key)?;
        if !ids::is_name(value) {
            let rule = "1 to 63 lower-case letters, digits and inner hyphens";
            return Err(self.fault(section, key, format!("{value:?} is not a name ({rule})")));
        }
        Ok(value.into())
    }

    fn number(
        &self,
        section: &str,
        key: &str,
        default: usize,
        low: usize,
        high: usize,
    ) -> Result<usize, Fault> {
        let default = default.to_string();
        let value: usize = self.parsed(section, key, "a whole number", Some(&default))?;
        if !(low..=high).contains(&value) {
            let message = format!("{value} is outside {low} to {high}");
            return Err(self.fault(section, key, message));
        }
        Ok(value)
    }

    /// Reads a size with unit, such as `64kB` or `1MB`, as bytes.
    fn size(&self, section: &str, key: &str, default: usize) -> Result<usize, Fault> {
        let Some(value) = self.get(section, key) else {
            return Ok(default);
        };
        let units = [("kB", 1_000), ("MB", 1_000_000), ("B", 1)];
        with_unit(value, &units)
            .and_then(|size| usize::try_from(size).ok())
            .filter(|size| *size > 0)
            .ok_or_else(|| {
                let message = format!("{value:?} is not a size with unit B, kB or MB");
                self.fault(section, key, message)
            })
    }

    /// Reads a duration with unit, such as `500ms` or `10s`, as milliseconds.
    fn duration(&self, section: &str, key: &str, default: u64) -> Result<u64, Fault> {
        let Some(value) = self.get(section, key) else {
            return Ok(default);
        };
        let units = [("ms", 1), ("s", 1_000), ("min", 60_000)];
        with_unit(value, &units)
            .filter(|millis| *millis > 0)
            .ok_or_else(|| {
                let message = format!("{value:?} is not a duration with unit ms, s or min");
                self.fault(section, key, message)
            })
    }

    fn url(&self, section: &str, key: &str) -> Result<String, Fault> {
        let value = self.required(section, key)?;
        let authority = value.strip_prefix("http://");
        let is_address = |text: &str| text.parse::<net::SocketAddr>().is_ok();
        if !authority.is_some_and(is_address) {
            let message = format!("{value:?} is not http:// with an IP address and port");
            return Err(self.fault(section, key, message));
        }
        Ok(value.to_owned())
    }

    fn fleet_key(&self) -> Result<Secret, Fault> {
        let key = self.required("fleet", "key")?;
        if key.len() < MIN_FLEET_KEY_CHARS {
            let message = format!("is shorter than {MIN_FLEET_KEY_CHARS} characters");
            return Err(self.fault("fleet", "key", message));
        }
        Ok(Secret(key.to_owned()))
    }

    fn seeds(&self) -> Result<Vec<net::SocketAddr>, Fault> {
        let list = self.get("fleet", "seeds").unwrap_or_default();
        let items = list.split(',').map(str::trim).filter(|s| !s.is_empty());
        items
            .map(|item| {
                item.parse().map_err(|_| {
                    let message = format!("{item:?} is not an IP address with port");
                    self.fault("fleet", "seeds", message)
                })
            })
            .collect()
    }

    fn scheduler(&self) -> Result<cell::Policy, Fault> {
        match self.get("policy", "scheduler") {
            None | Some("current") => Ok(cell::Policy::Current),
            Some("baseline") => Ok(cell::Policy::Baseline),
            Some(other) => {
                let message = format!("{other:?} is neither current nor baseline");
                Err(self.fault("policy", "scheduler", message))
            }
        }
    }

    fn limits(&self) -> Result<Limits, Fault> {
        let default = Limits::default();
        let connections = default.connections;
        Ok(Limits {
            body_bytes: self.size("limits", "body", default.body_bytes)?,
            header_bytes: self.size("limits", "header", default.header_bytes)?,
            connections: self.number("limits", "connections", connections, 1, 1_000_000)?,
            header_ms: self.duration("limits", "header_time", default.header_ms)?,
            stall_ms: self.duration("limits", "stall_time", default.stall_ms)?,
        })
    }

    fn statsd(&self) -> Result<Option<net::SocketAddr>, Fault> {
        match self.get("metrics", "statsd") {
            None => Ok(None),
            Some(_) => self
                .parsed("metrics", "statsd", "an IP address with port", None)
                .map(Some),
        }
    }

    fn operators(&self) -> Result<Vec<Operator>, Fault> {
        let sections = self.values.keys();
        let names = sections.filter_map(|section| section.strip_prefix(OPERATOR_PREFIX));
        names.map(|name| self.operator(name)).collect()
    }

    fn operator(&self, name: &str) -> Result<Operator, Fault> {
        let section = format!("{OPERATOR_PREFIX}{name}");
        let may_change = match self.required(&section, "role")? {
            "view" => false,
            "change" => true,
            other => {
                let message = format!("{other:?} is neither view nor change");
                return Err(self.fault(&section, "role", message));
            }
        };
        let token = auth::HashedKey {
            name: name.into(),
            salt: self.required(&section, "salt")?.to_owned(),
            sha256: self.required(&section, "sha256")?.to_owned(),
        };
        if !ids::is_name(name) || !token.is_well_formed() {
            let message = "name, salt or hash is malformed; make them with `walnuthaven key`";
            return Err(self.fault(&section, "sha256", message.into()));
        }
        Ok(Operator { token, may_change })
    }
}

fn known_keys(section: &str) -> Option<&'static [&'static str]> {
    if section.starts_with(OPERATOR_PREFIX) {
        return Some(OPERATOR_KEYS);
    }
    let known = KNOWN.iter().find(|(name, _)| *name == section);
    known.map(|(_, keys)| *keys)
}

fn with_unit(value: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = value.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = value.split_at(digits);
    let factor = units.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.parse::<u64>().ok()?.checked_mul(factor)
}
