//! A caller's side of the callers' API: asks which hosts to use, keeps the answer, connects there.

use std::collections;
use std::time;

use serde::Deserialize;
use serde_json::json;

use crate::load;
use crate::world;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const DIRECTORY_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const ATTEMPTS: usize = 3;

/// The answer to "which addresses?".
#[derive(Debug, Deserialize)]
struct Hosts {
    hosts: Vec<Address>,
    keep_s: u64,
    request_ids: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Address {
    address: String,
}

#[derive(Debug, Default)]
struct State {
    hosts: Vec<String>,
    ids: collections::VecDeque<String>,
    until: Option<time::Instant>,
}

/// One caller site.
#[derive(Debug)]
pub struct Client {
    /// The user.
    pub user: world::User,
    zone: &'static str,
    http: reqwest::Client,
    known: Vec<String>,
    state: tokio::sync::Mutex<State>,
}

/// A refusal as callers see it.
#[derive(Clone, Debug, Deserialize)]
pub struct Refusal {
    /// The stable code.
    pub code: String,
    /// Whether the request ran.
    pub ran: String,
    /// A sentence for people.
    #[serde(default)]
    pub message: String,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: Refusal,
}

/// Why a call brought no answer.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The connection failed or broke.
    Broken(String),
    /// A final answer without result.
    Refused(Refusal),
}

impl Client {
    /// Makes a caller that knows some addresses to begin with.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(user: world::User, zone: &'static str, known: Vec<String>) -> anyhow::Result<Self> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self {
            user,
            zone,
            http,
            known,
            state: tokio::sync::Mutex::default(),
        })
    }

    /// Returns a host to use and a fresh request id. `avoid` names a host that failed.
    pub async fn host_and_id(&self, avoid: Option<&str>) -> Option<(String, String)> {
        let mut state = self.state.lock().await;
        if let Some(avoid) = avoid {
            state.hosts.retain(|host| host != avoid);
            state.until = None;
            state.ids.clear();
        }
        let fresh = state
            .until
            .is_some_and(|until| time::Instant::now() < until);
        if !fresh || state.ids.is_empty() || state.hosts.is_empty() {
            self.refresh(&mut state, avoid).await;
        }
        let id = state.ids.pop_front()?;
        let host = state.hosts.first()?.clone();
        Some((host, id))
    }

    /// Returns another host than the one that failed.
    pub async fn other_host(&self, failed: &str) -> Option<String> {
        let mut state = self.state.lock().await;
        state.hosts.retain(|host| host != failed);
        state.until = None;
        if state.hosts.is_empty() {
            self.refresh(&mut state, Some(failed)).await;
        }
        state.hosts.first().cloned()
    }

    /// Returns the hosts known now.
    pub async fn hosts(&self) -> Vec<String> {
        self.state.lock().await.hosts.clone()
    }

    async fn refresh(&self, state: &mut State, avoid: Option<&str>) {
        let mut asked: Vec<String> = state.hosts.clone();
        asked.extend(self.known.iter().cloned());
        asked.dedup();
        let asked = asked
            .into_iter()
            .filter(|host| Some(host.as_str()) != avoid);
        for host in asked {
            let Some(hosts) = self.ask(&host).await else {
                continue;
            };
            if hosts.request_ids.is_empty() || hosts.hosts.is_empty() {
                continue;
            }
            state.hosts = hosts.hosts.into_iter().map(|host| host.address).collect();
            state.ids = hosts.request_ids.into();
            let keep = time::Duration::from_secs(hosts.keep_s);
            state.until = Some(time::Instant::now() + keep);
            return;
        }
    }

    async fn ask(&self, host: &str) -> Option<Hosts> {
        let sent = self
            .http
            .get(format!("http://{host}/v1/hosts"))
            .bearer_auth(self.user.layout().key)
            .header("x-availability-zone", self.zone)
            .timeout(DIRECTORY_TIMEOUT)
            .send()
            .await;
        let response = sent.ok()?;
        response.json().await.ok()
    }

    /// Starts a streamed generate request.
    ///
    /// # Errors
    ///
    /// Returns why there is no stream.
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
        let response = checked(req.send().await).await?;
        Ok(Events {
            response,
            buf: Vec::new(),
        })
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply.
    pub async fn plain(&self, host: &str, id: &str, service: &str) -> Result<String, Failure> {
        let sent = self
            .http
            .post(format!("http://{host}/v1/services/{service}/check"))
            .bearer_auth(self.user.layout().key)
            .header("x-request-id", id)
            .body("pass")
            .send()
            .await;
        let response = checked(sent).await?;
        response.text().await.map_err(broken)
    }

    /// Submits a job. Returns its id.
    ///
    /// # Errors
    ///
    /// Returns why it was not accepted.
    pub async fn submit(&self, host: &str, call: &load::ModelRequest) -> Result<String, Failure> {
        let sent = self
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
        let response = checked(sent).await?;
        let body: serde_json::Value = response.json().await.map_err(broken)?;
        Ok(body["id"].as_str().unwrap_or_default().to_owned())
    }

    /// Asks how far a job is.
    ///
    /// # Errors
    ///
    /// Returns why the state is not known.
    pub async fn job_state(&self, host: &str, id: &str) -> Result<String, Failure> {
        let sent = self
            .http
            .get(format!("http://{host}/v1/jobs/{id}"))
            .bearer_auth(self.user.layout().key)
            .timeout(DIRECTORY_TIMEOUT)
            .send()
            .await;
        let response = checked(sent).await?;
        let body: serde_json::Value = response.json().await.map_err(broken)?;
        Ok(body["state"].as_str().unwrap_or_default().to_owned())
    }

    /// Fetches the answer of a job.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn job_answer(&self, host: &str, id: &str) -> Result<String, Failure> {
        let sent = self
            .http
            .get(format!("http://{host}/v1/jobs/{id}/answer"))
            .bearer_auth(self.user.layout().key)
            .send()
            .await;
        let response = checked(sent).await?;
        let body: serde_json::Value = response.json().await.map_err(broken)?;
        Ok(body["text"].as_str().unwrap_or_default().to_owned())
    }

    /// Confirms the answer of a job at whichever host owns it.
    pub async fn confirm_job(&self, id: &str) -> bool {
        for _ in 0..ATTEMPTS {
            for host in self.hosts().await {
                let sent = self
                    .http
                    .delete(format!("http://{host}/v1/jobs/{id}"))
                    .bearer_auth(self.user.layout().key)
                    .timeout(DIRECTORY_TIMEOUT)
                    .send()
                    .await;
                if checked(sent).await.is_ok() {
                    return true;
                }
            }
        }
        false
    }
}

/// A stream of server-sent events.
#[derive(Debug)]
pub struct Events {
    response: reqwest::Response,
    buf: Vec<u8>,
}

/// What a stream brings.
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
    /// Returns why the stream ended before the answer was complete.
    pub async fn next(&mut self) -> Result<Vec<Event>, Failure> {
        loop {
            let chunk = self.response.chunk().await.map_err(broken)?;
            let Some(chunk) = chunk else {
                return Err(Failure::Broken("the stream ended early".into()));
            };
            self.buf.extend_from_slice(&chunk);
            let events = self.take_events()?;
            if !events.is_empty() {
                return Ok(events);
            }
        }
    }

    fn take_events(&mut self) -> Result<Vec<Event>, Failure> {
        let Some(end) = self.buf.windows(2).rposition(|two| two == b"\n\n") else {
            return Ok(Vec::new());
        };
        let rest = self.buf.split_off(end + 2);
        let whole = std::mem::replace(&mut self.buf, rest);
        let text = String::from_utf8_lossy(&whole);
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

async fn checked(
    sent: Result<reqwest::Response, reqwest::Error>,
) -> Result<reqwest::Response, Failure> {
    let response = sent.map_err(broken)?;
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

fn broken(error: reqwest::Error) -> Failure {
    Failure::Broken(format!("{error:?}"))
}
