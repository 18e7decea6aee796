//! Client of the callers' API. It asks which hosts to use, caches the answer and sends requests to
//! them.

use std::collections;
use std::time;

use serde::Deserialize;
use serde_json::json;

use crate::load;
use crate::world;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Timeout of calls that do not wait for a model.
const SHORT_CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How often all hosts are asked to confirm a job before giving up.
const CONFIRM_ROUNDS: usize = 3;

/// The response of `GET /v1/hosts`.
#[derive(Debug, Deserialize)]
struct HostList {
    hosts: Vec<HostAddress>,
    /// How long the response may be cached, in seconds.
    keep_s: u64,
    request_ids: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct HostAddress {
    address: String,
}

/// The cached response of `GET /v1/hosts`, with the request ids that are not used yet.
#[derive(Debug, Default)]
struct State {
    hosts: Vec<String>,
    ids: collections::VecDeque<String>,
    expires_at: Option<time::Instant>,
}

/// The client of a user in one availability zone.
#[derive(Debug)]
pub struct Client {
    /// The user whose key it sends.
    pub user: world::User,
    zone: &'static str,
    http: reqwest::Client,
    initial_hosts: Vec<String>,
    state: tokio::sync::Mutex<State>,
}

/// The error in the response to a refused request.
#[derive(Clone, Debug, Deserialize)]
pub struct Refusal {
    /// The error code, which is part of the API.
    pub code: String,
    /// Whether the request ran: `ran`, `not_run` or `unknown`.
    pub ran: String,
    /// A message for people.
    #[serde(default)]
    pub message: String,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: Refusal,
}

/// Why a call got no answer.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The connection failed or broke, or the response could not be read.
    Broken(String),
    /// A host refused the request.
    Refused(Refusal),
}

impl Client {
    /// Creates a client that fetches its first host list from one of `initial_hosts`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(
        user: world::User,
        zone: &'static str,
        initial_hosts: Vec<String>,
    ) -> anyhow::Result<Self> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self {
            user,
            zone,
            http,
            initial_hosts,
            state: tokio::sync::Mutex::default(),
        })
    }

    /// Returns a host to use and an unused request id, after asking for new ones if needed. `avoid`
    /// is a host that failed.
    pub async fn host_and_id(&self, avoid: Option<&str>) -> Option<(String, String)> {
        let mut state = self.state.lock().await;
        if let Some(avoid) = avoid {
            state.hosts.retain(|host| host != avoid);
            state.expires_at = None;
            state.ids.clear();
        }
        let fresh = state
            .expires_at
            .is_some_and(|expires_at| time::Instant::now() < expires_at);
        if !fresh || state.ids.is_empty() || state.hosts.is_empty() {
            self.refresh(&mut state, avoid).await;
        }
        let id = state.ids.pop_front()?;
        let host = state.hosts.first()?.clone();
        Some((host, id))
    }

    /// Drops a host that failed and returns another one.
    pub async fn other_host(&self, failed: &str) -> Option<String> {
        let mut state = self.state.lock().await;
        state.hosts.retain(|host| host != failed);
        state.expires_at = None;
        if state.hosts.is_empty() {
            self.refresh(&mut state, Some(failed)).await;
        }
        state.hosts.first().cloned()
    }

    /// Returns the hosts of the cached host list.
    pub async fn hosts(&self) -> Vec<String> {
        self.state.lock().await.hosts.clone()
    }

    async fn refresh(&self, state: &mut State, avoid: Option<&str>) {
        let mut candidates: Vec<String> = state.hosts.clone();
        candidates.extend(self.initial_hosts.iter().cloned());
        candidates.dedup();
        let candidates = candidates
            .into_iter()
            .filter(|host| Some(host.as_str()) != avoid);
        for host in candidates {
            let Some(hosts) = self.fetch_hosts(&host).await else {
                continue;
            };
            if hosts.request_ids.is_empty() || hosts.hosts.is_empty() {
                continue;
            }
            state.hosts = hosts.hosts.into_iter().map(|host| host.address).collect();
            state.ids = hosts.request_ids.into();
            let keep = time::Duration::from_secs(hosts.keep_s);
            state.expires_at = Some(time::Instant::now() + keep);
            return;
        }
    }

    async fn fetch_hosts(&self, host: &str) -> Option<HostList> {
        let result = self
            .http
            .get(format!("http://{host}/v1/hosts"))
            .bearer_auth(self.user.layout().key)
            .header("x-availability-zone", self.zone)
            .timeout(SHORT_CALL_TIMEOUT)
            .send()
            .await;
        let response = result.ok()?;
        response.json().await.ok()
    }

    /// Starts a streamed completion from the token at `offset` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused or the connection fails.
    pub async fn generate(
        &self,
        host: &str,
        id: &str,
        call: &load::ModelRequest,
        offset: u32,
    ) -> Result<Events, Failure> {
        let mut req = self
            .http
            .post(format!("http://{host}/v1/completions"))
            .bearer_auth(self.user.layout().key)
            .header("x-request-id", id)
            .header("x-priority", call.priority)
            .json(&json!({
                "model": call.service,
                "prompt": call.prompt,
                "max_tokens": call.max_tokens,
                "stream": true,
            }));
        if offset > 0 {
            req = req.header("x-offset", offset);
        }
        let response = check_response(req.send().await).await?;
        Ok(Events {
            response,
            buf: Vec::new(),
        })
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is refused or the connection fails.
    pub async fn plain(&self, host: &str, id: &str, service: &str) -> Result<String, Failure> {
        let result = self
            .http
            .post(format!("http://{host}/v1/services/{service}/check"))
            .bearer_auth(self.user.layout().key)
            .header("x-request-id", id)
            .body("pass")
            .send()
            .await;
        let response = check_response(result).await?;
        response.text().await.map_err(broken_connection)
    }

    /// Submits a job. Returns its id.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is refused or the connection fails.
    pub async fn submit(&self, host: &str, call: &load::ModelRequest) -> Result<String, Failure> {
        let result = self
            .http
            .post(format!("http://{host}/v1/jobs"))
            .bearer_auth(self.user.layout().key)
            .json(&json!({
                "model": call.service,
                "prompt": call.prompt,
                "max_tokens": call.max_tokens,
            }))
            .send()
            .await;
        let response = check_response(result).await?;
        let body: serde_json::Value = response.json().await.map_err(broken_connection)?;
        Ok(body["id"].as_str().unwrap_or_default().to_owned())
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the host refuses the call or the connection fails.
    pub async fn job_state(&self, host: &str, id: &str) -> Result<String, Failure> {
        let result = self
            .http
            .get(format!("http://{host}/v1/jobs/{id}"))
            .bearer_auth(self.user.layout().key)
            .timeout(SHORT_CALL_TIMEOUT)
            .send()
            .await;
        let response = check_response(result).await?;
        let body: serde_json::Value = response.json().await.map_err(broken_connection)?;
        Ok(body["state"].as_str().unwrap_or_default().to_owned())
    }

    /// Fetches the answer of a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the host refuses the call or the connection fails.
    pub async fn job_answer(&self, host: &str, id: &str) -> Result<String, Failure> {
        let result = self
            .http
            .get(format!("http://{host}/v1/jobs/{id}/answer"))
            .bearer_auth(self.user.layout().key)
            .send()
            .await;
        let response = check_response(result).await?;
        let body: serde_json::Value = response.json().await.map_err(broken_connection)?;
        Ok(body["text"].as_str().unwrap_or_default().to_owned())
    }

    /// Confirms that the answer of a job was received, trying each host until one accepts. Returns
    /// whether one did.
    pub async fn confirm_job(&self, id: &str) -> bool {
        for _ in 0..CONFIRM_ROUNDS {
            for host in self.hosts().await {
                let result = self
                    .http
                    .delete(format!("http://{host}/v1/jobs/{id}"))
                    .bearer_auth(self.user.layout().key)
                    .timeout(SHORT_CALL_TIMEOUT)
                    .send()
                    .await;
                if check_response(result).await.is_ok() {
                    return true;
                }
            }
        }
        false
    }
}

/// The server-sent events of a streamed completion.
#[derive(Debug)]
pub struct Events {
    response: reqwest::Response,
    buf: Vec<u8>,
}

/// An event of a streamed completion.
#[derive(Clone, Debug)]
pub enum Event {
    /// A token's text.
    Token(String),
    /// The answer is complete.
    Done,
}

impl Events {
    /// Waits for the next events.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends before the answer is complete.
    pub async fn next(&mut self) -> Result<Vec<Event>, Failure> {
        loop {
            let chunk = self.response.chunk().await.map_err(broken_connection)?;
            let Some(chunk) = chunk else {
                return Err(Failure::Broken("the stream ended early".into()));
            };
            self.buf.extend_from_slice(&chunk);
            let events = self.parse_events()?;
            if !events.is_empty() {
                return Ok(events);
            }
        }
    }

    /// Removes the complete events from the buffer and parses them.
    fn parse_events(&mut self) -> Result<Vec<Event>, Failure> {
        let Some(end) = self.buf.windows(2).rposition(|two| two == b"\n\n") else {
            return Ok(Vec::new());
        };
        let rest = self.buf.split_off(end + 2);
        let complete = std::mem::replace(&mut self.buf, rest);
        let text = String::from_utf8_lossy(&complete);
        let mut events = Vec::new();
        for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if line == "[DONE]" {
                events.push(Event::Done);
                continue;
            }
            let value: serde_json::Value =
                serde_json::from_str(line).map_err(|error| Failure::Broken(error.to_string()))?;
            if let Some(error) = value.get("error") {
                let refused = serde_json::from_value(error.clone());
                let refused = refused.map_err(|error| Failure::Broken(error.to_string()))?;
                return Err(Failure::Refused(refused));
            }
            let choice = &value["choices"][0];
            if let (Some(text), true) = (choice["text"].as_str(), choice["finish_reason"].is_null())
            {
                events.push(Event::Token(text.to_owned()));
            }
        }
        Ok(events)
    }
}

/// Returns the response if its status is a success, otherwise the failure that it describes.
async fn check_response(
    result: Result<reqwest::Response, reqwest::Error>,
) -> Result<reqwest::Response, Failure> {
    let response = result.map_err(broken_connection)?;
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status();
    let body: Result<ErrorBody, _> = response.json().await;
    match body {
        Ok(body) => Err(Failure::Refused(body.error)),
        Err(error) => Err(Failure::Broken(format!("status {status}: {error}"))),
    }
}

fn broken_connection(error: reqwest::Error) -> Failure {
    Failure::Broken(format!("{error:?}"))
}
