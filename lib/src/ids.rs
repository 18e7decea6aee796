//! Identifiers of hosts and requests, and their text form.

use std::fmt;
use std::str;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

/// A name or other short text that is shared and immutable.
pub type Name = sync::Arc<str>;

/// One run of a host: the host's name and the incarnation number of the process. A restarted host
/// is another run.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostId {
    /// The configured host name.
    pub name: Name,
    /// The start time of the process in milliseconds since the Unix epoch; higher is newer.
    pub incarnation: u64,
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}

impl str::FromStr for HostId {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let error = || ParseError {
            kind: "host id",
            value: s.chars().take(MAX_QUOTED_CHARS).collect(),
        };
        let (name, incarnation) = s.rsplit_once('.').ok_or_else(error)?;
        if !is_name(name) {
            return Err(error());
        }
        let incarnation = parse_hex(incarnation).ok_or_else(error)?;
        Ok(Self {
            name: name.into(),
            incarnation,
        })
    }
}

/// The id of a request. It names the request's home, the host that alone may run the request, and a
/// backup host, which answers for the home after a crash.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// The host run that minted the id.
    pub home: HostId,
    /// The host run that stores the permit of a non-repeatable request; `None` if the fleet had no
    /// other host when the id was minted.
    pub backup: Option<HostId>,
    /// A number unique within the home's incarnation.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.backup {
            Some(backup) => write!(f, "{}~{}~{:x}", self.home, backup, self.number),
            None => write!(f, "{}~~{:x}", self.home, self.number),
        }
    }
}

impl str::FromStr for RequestId {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let error = || ParseError {
            kind: "request id",
            value: s.chars().take(MAX_QUOTED_CHARS).collect(),
        };
        let mut parts = s.split('~');
        let home = parts.next().ok_or_else(error)?;
        let backup = parts.next().ok_or_else(error)?;
        let number = parts.next().ok_or_else(error)?;
        if parts.next().is_some() {
            return Err(error());
        }
        let home = home.parse().map_err(|_| error())?;
        let backup = match backup {
            "" => None,
            backup => Some(backup.parse().map_err(|_| error())?),
        };
        let number = parse_hex(number).ok_or_else(error)?;
        Ok(Self {
            home,
            backup,
            number,
        })
    }
}

/// Maximum number of characters of an invalid text that an error message quotes.
const MAX_QUOTED_CHARS: usize = 80;
const MAX_NAME_BYTES: usize = 63;
const MAX_HEX_DIGITS: usize = 16;

/// The error of parsing an identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseError {
    kind: &'static str,
    value: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.value, self.kind)
    }
}

impl std::error::Error for ParseError {}

/// Returns whether a text may name a host, workspace, service, pool or backend server: 1 to 63
/// lower-case letters, digits and inner hyphens.
pub fn is_name(s: &str) -> bool {
    let is_allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
    !s.is_empty()
        && s.len() <= MAX_NAME_BYTES
        && s.bytes().all(is_allowed)
        && !s.starts_with('-')
        && !s.ends_with('-')
}

/// Parses lower-case hexadecimal digits without leading zeros, so that a number has only one text
/// form.
fn parse_hex(s: &str) -> Option<u64> {
    let canonical = !s.is_empty()
        && s.len() <= MAX_HEX_DIGITS
        && s.bytes().all(|c| matches!(c, b'0'..=b'9' | b'a'..=b'f'))
        && (s == "0" || !s.starts_with('0'));
    if canonical {
        u64::from_str_radix(s, 16).ok()
    } else {
        None
    }
}
