//! HTTP client for the operators' API of a host.

use std::fs;
use std::path;
use std::time;

use crate::failure;

/// Maximum duration of a call, including reading the body of the reply.
const TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Environment variable that holds the operator token if no token file is given.
const TOKEN_VARIABLE: &str = "WALNUTHAVEN_TOKEN";

/// Calls the operators' API of one host.
#[derive(Debug)]
pub struct Client {
    agent: ureq::Agent,
    /// Address of the host's operators' API.
    admin: String,
    token: String,
}

/// A host's reply to a call.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: serde_json::Value,
}

impl Client {
    /// Creates a client for the host whose operators' API is at `admin`.
    ///
    /// # Errors
    ///
    /// Returns a failure if no token is given or the token file can't be read.
    pub fn new(admin: &str, token_file: Option<&path::Path>) -> Result<Self, failure::Failure> {
        let token = match token_file {
            Some(file) => fs::read_to_string(file).map_err(|error| {
                failure::Failure::NotAllowed(format!("{}: {error}", file.display()))
            })?,
            None => std::env::var(TOKEN_VARIABLE)
                .map_err(|_| failure::Failure::NotAllowed("no operator token is given".into()))?,
        };
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .proxy(None)
            .build();
        Ok(Self {
            agent: config.into(),
            admin: admin.to_owned(),
            token: token.trim().to_owned(),
        })
    }

    /// Returns a client for another host, with the same token.
    pub fn for_host(&self, admin: &str) -> Self {
        Self {
            agent: self.agent.clone(),
            admin: admin.to_owned(),
            token: self.token.clone(),
        }
    }

    /// Sends a GET request and returns the body of the reply. `path` is relative to `/admin/`.
    ///
    /// # Errors
    ///
    /// Returns a failure with the host's error message, or one that says why the host can't be reached.
    pub fn get(&self, path: &str) -> Result<serde_json::Value, failure::Failure> {
        let call = self.agent.get(self.url(path));
        let sent = call.header("authorization", self.bearer()).call();
        self.read_reply(sent)?.success()
    }

    /// Sends a POST request without a body and returns the body of the reply. `path` is relative to
    /// `/admin/`.
    ///
    /// # Errors
    ///
    /// Returns a failure with the host's error message, or one that says why the host can't be reached.
    pub fn post(&self, path: &str) -> Result<serde_json::Value, failure::Failure> {
        let call = self.agent.post(self.url(path));
        let sent = call.header("authorization", self.bearer()).send_empty();
        self.read_reply(sent)?.success()
    }

    /// Sends a PUT request with a JSON body and returns the reply, whatever its status. `path` is relative
    /// to `/admin/`.
    ///
    /// # Errors
    ///
    /// Returns a failure if the host can't be reached.
    pub fn put(&self, path: &str, body: &serde_json::Value) -> Result<Reply, failure::Failure> {
        let call = self.agent.put(self.url(path));
        let sent = call.header("authorization", self.bearer()).send_json(body);
        self.read_reply(sent)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/admin/{path}", self.admin)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }

    fn read_reply(
        &self,
        sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Reply, failure::Failure> {
        let unavailable = |error: ureq::Error| {
            failure::Failure::Unavailable(format!("host {}: {error}", self.admin))
        };
        let mut response = sent.map_err(unavailable)?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_json().map_err(unavailable)?;
        Ok(Reply { status, body })
    }
}

impl Reply {
    /// Returns the body of a successful reply.
    ///
    /// # Errors
    ///
    /// Returns the failure that corresponds to the status.
    pub fn success(self) -> Result<serde_json::Value, failure::Failure> {
        let message = self.body["error"]["message"].as_str();
        let message = message.unwrap_or("the host gave no reason").to_owned();
        match self.status {
            200..=299 => Ok(self.body),
            400 => Err(failure::Failure::Usage(message)),
            401 | 403 => Err(failure::Failure::NotAllowed(message)),
            404 => Err(failure::Failure::NotFound(message)),
            409 => Err(failure::Failure::Conflict(message)),
            422 => Err(failure::Failure::Invalid(format_faults(&self.body))),
            _ => Err(failure::Failure::Unavailable(message)),
        }
    }
}

/// Formats the faults of a validation report, one on each line.
fn format_faults(report: &serde_json::Value) -> String {
    let faults = report["faults"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let lines = faults.iter().map(|fault| {
        let text = |field: &str| fault[field].as_str().unwrap_or_default().to_owned();
        format!("  {}: {}", text("path"), text("message"))
    });
    let lines: Vec<String> = lines.collect();
    format!("the document has faults:\n{}", lines.join("\n"))
}
