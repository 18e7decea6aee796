//! Settings of an entry host, from an INI file. The field reference is `docs/CONFIG.md`.

use std::net;
use std::path;
use std::time;

use walnuthaven_lib::ids;
use walnuthaven_lib::retry_share;

use crate::ini_source;

/// Everything an entry host is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub name: ids::Name,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where the platform asks whether the host takes requests.
    pub ready: net::SocketAddr,
    /// Where callers ask for addresses.
    pub directory: net::SocketAddr,
    /// Where news of other hosts arrive, by UDP.
    pub news: net::SocketAddr,
    /// Where metrics are read.
    pub metrics: net::SocketAddr,
    /// The platform's store.
    pub store: net::SocketAddr,
    /// Memory of the process in bytes.
    pub memory: usize,
    /// File descriptors of the process.
    pub files: usize,
    /// Time from the signal to leave until the process is killed.
    pub grace: time::Duration,
    /// How long callers may keep the addresses that they were told.
    pub address_ttl: time::Duration,
    /// The retry budget.
    pub retry: retry_share::Budget,
    /// The log level.
    pub log_level: log::LevelFilter,
}

const KNOWN: ini_source::Known = ini_source::Known {
    sections: &[
        ("host", &["name", "zone"]),
        (
            "listen",
            &["callers", "ready", "directory", "news", "metrics"],
        ),
        ("store", &["address"]),
        ("limits", &["memory", "files"]),
        ("leaving", &["grace"]),
        ("directory", &["ttl"]),
        ("retry", &["ratio", "slack", "window"]),
        ("log", &["level"]),
    ],
    prefixed: None,
};
const ADDRESS: &str = "an IP address with port";
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
/// Returns the first fault, naming file, section, key and value.
pub fn read(path: &path::Path) -> Result<Settings, ini_source::Fault> {
    let (file, text) = ini_source::Source::read(path)?;
    parse(&file, &text)
}

/// Parses the text of a settings file. `file` is its name in faults.
///
/// # Errors
///
/// Returns the first fault, naming file, section, key and value.
pub fn parse(file: &str, text: &str) -> Result<Settings, ini_source::Fault> {
    let source = ini_source::Source::load(file, text, KNOWN)?;
    let address = |section, key| source.parsed(section, key, ADDRESS, None);
    let millis = |section, key, default| {
        source
            .duration(section, key, default)
            .map(time::Duration::from_millis)
    };
    Ok(Settings {
        name: source.name("host", "name")?,
        zone: source.name("host", "zone")?,
        callers: address("listen", "callers")?,
        ready: address("listen", "ready")?,
        directory: address("listen", "directory")?,
        news: address("listen", "news")?,
        metrics: address("listen", "metrics")?,
        store: address("store", "address")?,
        memory: source.size("limits", "memory", DEFAULT_MEMORY_BYTES)?,
        files: source.number("limits", "files", DEFAULT_FILES, 64, MAX_FILES)?,
        grace: millis("leaving", "grace", DEFAULT_GRACE_MS)?,
        address_ttl: millis("directory", "ttl", DEFAULT_TTL_MS)?,
        retry: retry_share::Budget {
            ratio: source.parsed("retry", "ratio", "a number", Some("0.1"))?,
            slack: source.parsed("retry", "slack", "a number", Some("10"))?,
            window: millis("retry", "window", DEFAULT_WINDOW_MS)?,
        },
        log_level: source.log_level()?,
    })
}
