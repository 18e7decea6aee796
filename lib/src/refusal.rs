//! Refusals: why a request got no answer, and whether it ran.

use std::fmt;
use std::time;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request ran on a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run and never will under this id.
    NotRun,
    /// The request may have run, fully or in part.
    Unknown,
    /// The request ran.
    Ran,
}

/// A stable code for each kind of refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The caller's key is missing or wrong.
    Unauthorized,
    /// The service or path does not exist in the workspace.
    NotFound,
    /// A size limit is exceeded.
    TooLarge,
    /// The first token could not be generated in time, so the request was not started.
    Overloaded,
    /// No backend server can take the request.
    Unavailable,
    /// This host is leaving; ask another one.
    Leaving,
    /// A non-repeatable request came without a request id that a host of this fleet minted.
    IdRequired,
    /// The request id is no longer usable.
    IdExpired,
    /// The request was answered before.
    AlreadyAnswered,
    /// It is not known whether the request ran.
    OutcomeUnknown,
    /// The content crashed several backend servers.
    Quarantined,
    /// All callers that waited for the answer have disconnected.
    Cancelled,
    /// The platform's object API does not answer.
    PlatformUnavailable,
    /// The request conflicts with an earlier one, such as another change to the same document or
    /// another use of the same request id.
    Conflict,
}

impl Code {
    /// Returns the HTTP status code that callers get with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::IdRequired => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::AlreadyAnswered | Self::Conflict => 409,
            Self::IdExpired => 410,
            Self::TooLarge => 413,
            Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::Cancelled => 499,
            Self::OutcomeUnknown => 502,
            Self::Unavailable | Self::Leaving | Self::PlatformUnavailable => 503,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(self).unwrap_or_default();
        f.write_str(value.as_str().unwrap_or("unknown"))
    }
}

/// A final answer that carries no result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The kind of refusal.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// An explanation for people, with the field and its value if one is at fault.
    pub message: String,
    /// How long the caller should wait before it retries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Makes a refusal of a request that did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Makes a refusal of a request that may have run, with the code `OutcomeUnknown`.
    pub fn outcome_unknown(message: impl Into<String>) -> Self {
        Self {
            code: Code::OutcomeUnknown,
            ran: Ran::Unknown,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Makes a refusal with the given code that leaves open whether the request ran.
    pub fn with_unknown_outcome(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::Unknown,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Makes the refusal of a request that was answered before.
    pub fn already_answered() -> Self {
        Self {
            code: Code::AlreadyAnswered,
            ran: Ran::Ran,
            message: "the request was answered before".into(),
            retry_after: None,
        }
    }

    /// Sets how long the caller should wait before it retries.
    pub fn with_retry_after(mut self, wait: time::Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}
