//! Settings of an entry host, read from an INI file. `docs/CONFIG.md` documents every key.

use std::net;
use std::path;
use std::sync;
use std::time;

use walnuthaven_lib::features;
use walnuthaven_lib::ids;
use walnuthaven_lib::resource_limits;
use walnuthaven_lib::retry_share;

use crate::ini_file;

/// The settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub name: ids::Name,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// Listens for callers' requests.
    pub callers_addr: net::SocketAddr,
    /// Listens for the platform's readiness checks.
    pub ready_addr: net::SocketAddr,
    /// Listens for callers that ask for the addresses of entry hosts.
    pub directory_addr: net::SocketAddr,
    /// Receives news of other hosts, by UDP.
    pub news_addr: net::SocketAddr,
    /// Listens for requests for metrics and for the operators' API.
    pub metrics_addr: net::SocketAddr,
    /// The address of the platform's store.
    pub store_addr: net::SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// File descriptors that the process may open.
    pub max_files: usize,
    /// Time from SIGTERM until the platform kills the process.
    pub grace_period: time::Duration,
    /// How long callers may cache the addresses of entry hosts.
    pub address_ttl: time::Duration,
    /// The terms that hold for the deployment, in the platform's words.
    pub terms: Vec<sync::Arc<str>>,
    /// The features that these terms ask for.
    pub features: features::Features,
    /// What workspaces may use besides their limits in a short time, in what these count.
    pub workspace_slack: f64,
    /// The retry budget of each service.
    pub retry_budget: retry_share::Budget,
    /// The log level.
    pub log_level: log::LevelFilter,
}

impl Settings {
    /// Returns what the process may use for its clients.
    pub(crate) fn resource_limits(&self) -> resource_limits::ResourceLimits {
        resource_limits::ResourceLimits::new(self.memory_bytes, self.max_files)
    }
}

/// The sections and keys that a settings file may contain.
const KNOWN_KEYS: ini_file::KnownKeys = ini_file::KnownKeys {
    sections: &[
        ("host", &["name", "zone"]),
        (
            "listen",
            &["callers", "ready", "directory", "news", "metrics"],
        ),
        ("store", &["address"]),
        ("limits", &["memory", "files"]),
        ("leaving", &["grace"]),
        ("deployment", &["terms"]),
        ("directory", &["ttl"]),
        ("retry", &["ratio", "slack", "window"]),
        ("workspaces", &["slack"]),
        ("log", &["level"]),
    ],
    prefixed: None,
};
/// How faults describe the expected value of an address.
const ADDRESS_FORMAT: &str = "an IP address with port";
const MAX_FILES: usize = 1_000_000;
const DEFAULT_MEMORY_BYTES: usize = 128_000_000;
const DEFAULT_FILES: usize = 4_096;
const DEFAULT_GRACE_MS: u64 = 8_000;
const DEFAULT_TTL_MS: u64 = 3_000;
const DEFAULT_WINDOW_MS: u64 = 10_000;

/// Reads a settings file.
///
/// # Errors
///
/// Returns the first fault, with its file, section, key and value.
pub fn read(path: &path::Path) -> Result<Settings, ini_file::Fault> {
    let (file, text) = ini_file::IniFile::read_text(path)?;
    parse(&file, &text)
}

/// Parses the text of a settings file. Faults name the file as `file`.
///
/// # Errors
///
/// Returns the first fault, with its file, section, key and value.
pub fn parse(file: &str, text: &str) -> Result<Settings, ini_file::Fault> {
    let ini = ini_file::IniFile::parse(file, text, KNOWN_KEYS)?;
    let address = |section, key| ini.parse_value(section, key, ADDRESS_FORMAT, None);
    let millis = |section, key, default| {
        ini.duration(section, key, default)
            .map(time::Duration::from_millis)
    };
    Ok(Settings {
        name: ini.name("host", "name")?,
        zone: ini.name("host", "zone")?,
        callers_addr: address("listen", "callers")?,
        ready_addr: address("listen", "ready")?,
        directory_addr: address("listen", "directory")?,
        news_addr: address("listen", "news")?,
        metrics_addr: address("listen", "metrics")?,
        store_addr: address("store", "address")?,
        memory_bytes: ini.size("limits", "memory", DEFAULT_MEMORY_BYTES)?,
        max_files: ini.number("limits", "files", DEFAULT_FILES, 64, MAX_FILES)?,
        grace_period: millis("leaving", "grace", DEFAULT_GRACE_MS)?,
        address_ttl: millis("directory", "ttl", DEFAULT_TTL_MS)?,
        terms: ini
            .get("deployment", "terms")
            .map(terms)
            .unwrap_or_default(),
        features: features::Features::default(),
        workspace_slack: ini.parse_value("workspaces", "slack", "a number", Some("0"))?,
        retry_budget: retry_share::Budget {
            ratio: ini.parse_value("retry", "ratio", "a number", Some("0.1"))?,
            slack: ini.parse_value("retry", "slack", "a number", Some("10"))?,
            window: millis("retry", "window", DEFAULT_WINDOW_MS)?,
        },
        log_level: ini.log_level()?,
    })
}

/// Reads a list of terms, separated by commas.
fn terms(text: &str) -> Vec<sync::Arc<str>> {
    let terms = text.split(',').map(str::trim);
    terms
        .filter(|term| !term.is_empty())
        .map(Into::into)
        .collect()
}
