//! The platform's object API and its host list.
//!
//! Calls block, so they run on threads for blocking work. Back-off has jitter, and a host that is
//! no relay and holds no lease makes no regular calls beside the host list.

use std::time;

use serde::Deserialize;
use serde::Serialize;

/// An object as stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// The name within its kind.
    pub name: String,
    /// Raised by the platform with each write of any object.
    pub version: u64,
    /// The value, or null for an object that was deleted.
    pub value: serde_json::Value,
}

/// Objects of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct List {
    /// The platform's version of the whole store.
    pub version: u64,
    /// The objects.
    pub items: Vec<Object>,
}

/// A host in the platform's lagging list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedHost {
    /// The host's or backend server's name.
    pub name: String,
    /// Its address: for our hosts that of calls between hosts.
    pub addr: String,
    /// `entry` for our hosts, `backend` for backend servers.
    pub kind: String,
    /// Whether it leaves.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The stored version is another one.
    Conflict,
    /// There is no such object.
    NotFound,
    /// The platform refused before doing anything.
    Refused(String),
    /// No answer came; a write may have taken effect.
    Unknown(String),
}

const TIMEOUT: time::Duration = time::Duration::from_secs(2);
const WATCH: time::Duration = time::Duration::from_secs(20);

/// Calls the platform.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    base: String,
}

impl Client {
    /// Makes a client for the given base URL.
    pub fn new(base: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(TIMEOUT))
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            base: base.to_owned(),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns why there is no object.
    pub fn get(&self, kind: &str, name: &str) -> Result<Object, Failure> {
        self.read(&format!("/objects/{kind}/{name}"), TIMEOUT)
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns why there is no list.
    pub fn list(&self, kind: &str) -> Result<List, Failure> {
        self.read(&format!("/objects/{kind}"), TIMEOUT)
    }

    /// Waits until objects of a kind have changed since a version, and returns the changed ones.
    ///
    /// # Errors
    ///
    /// Returns why there is no list.
    pub fn watch(&self, kind: &str, after: u64) -> Result<List, Failure> {
        let wait = WATCH.as_millis();
        let path = format!("/objects/{kind}?after={after}&wait_ms={wait}");
        self.read(&path, WATCH + TIMEOUT)
    }

    /// Writes an object on the condition that its stored version is `expected`, zero for none.
    ///
    /// # Errors
    ///
    /// Returns why it is not, or may not be, written.
    pub fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expected: u64,
    ) -> Result<u64, Failure> {
        let url = format!("{}/objects/{kind}/{name}", self.base);
        let sent = self
            .agent
            .put(url)
            .config()
            .timeout_global(Some(TIMEOUT))
            .build()
            .header("if-match", expected.to_string())
            .send_json(value);
        let written: Written = decoded(sent)?;
        Ok(written.version)
    }

    /// Deletes an object on the condition that its stored version is `expected`.
    ///
    /// # Errors
    ///
    /// Returns why it is not, or may not be, deleted.
    pub fn delete(&self, kind: &str, name: &str, expected: u64) -> Result<(), Failure> {
        let url = format!("{}/objects/{kind}/{name}", self.base);
        let sent = self
            .agent
            .delete(url)
            .config()
            .timeout_global(Some(TIMEOUT))
            .build()
            .header("if-match", expected.to_string())
            .call();
        let _: Written = decoded(sent)?;
        Ok(())
    }

    /// Reads the lagging list of hosts.
    ///
    /// # Errors
    ///
    /// Returns why there is no list.
    pub fn hosts(&self) -> Result<Vec<ListedHost>, Failure> {
        self.read("/hosts", TIMEOUT)
    }

    fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        limit: time::Duration,
    ) -> Result<T, Failure> {
        let url = format!("{}{path}", self.base);
        let sent = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(limit))
            .build()
            .call();
        decoded(sent)
    }
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

fn decoded<T: serde::de::DeserializeOwned>(
    sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, Failure> {
    let mut response = sent.map_err(|error| Failure::Unknown(error.to_string()))?;
    match response.status().as_u16() {
        200 => {
            let answer = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
            let answer = answer.read_json();
            answer.map_err(|error| Failure::Unknown(error.to_string()))
        }
        404 => Err(Failure::NotFound),
        409 => Err(Failure::Conflict),
        429 | 503 => Err(Failure::Refused(format!("status {}", response.status()))),
        status => Err(Failure::Unknown(format!("status {status}"))),
    }
}

const MAX_ANSWER_BYTES: u64 = 512 * 1024 * 1024;
