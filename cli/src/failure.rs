//! Failures of commands and queries, and their exit codes.

use std::fmt;

/// Why a command or query failed.
#[derive(Debug)]
pub enum Failure {
    /// The host can't be reached or failed to answer.
    Unavailable(String),
    /// The arguments or the input are wrong.
    Usage(String),
    /// Another change was made in the meantime.
    Conflict(String),
    /// A document isn't valid.
    Invalid(String),
    /// The named item doesn't exist.
    NotFound(String),
    /// The token is missing, wrong, or doesn't permit the action.
    NotAllowed(String),
}

impl Failure {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unavailable(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::Invalid(_) => 4,
            Self::NotFound(_) => 5,
            Self::NotAllowed(_) => 6,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (text, hint) = match self {
            Self::Unavailable(text) => (text, "check --admin and whether the host is running"),
            Self::Usage(text) => (text, "see --help"),
            Self::Conflict(text) => (text, "look at `config diff`, then apply again"),
            Self::Invalid(text) => (text, "fix the document; docs/CONFIG.md lists its fields"),
            Self::NotFound(text) => (text, "`hosts`, `pools` and `config show` list what exists"),
            Self::NotAllowed(text) => (text, "give a token with --token-file or WALNUTHAVEN_TOKEN"),
        };
        write!(f, "{text}\n  next: {hint}")
    }
}
