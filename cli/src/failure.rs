//! Why a command failed, and the exit code for it.

use std::fmt;

/// A failed command.
#[derive(Debug)]
pub enum Failure {
    /// The host can't be reached, or failed.
    Unavailable(String),
    /// The command was used wrongly.
    Usage(String),
    /// Another change came first.
    Conflict(String),
    /// A document is not valid.
    Invalid(String),
    /// There is no such thing.
    NotFound(String),
    /// The token is missing, wrong, or may not do this.
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
            Self::Unavailable(text) => (text, "check --admin and that the host runs"),
            Self::Usage(text) => (text, "see --help"),
            Self::Conflict(text) => (text, "look at `config diff`, then apply again"),
            Self::Invalid(text) => (text, "mend the document; docs/CONFIG.md lists its fields"),
            Self::NotFound(text) => (
                text,
                "`hosts`, `pools` and `config show` list what there is",
            ),
            Self::NotAllowed(text) => (text, "give a token with --token-file or WALNUTHAVEN_TOKEN"),
        };
        write!(f, "{text}\n  next: {hint}")
    }
}
