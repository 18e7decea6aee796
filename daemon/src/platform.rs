//! Client for the platform's object store and host list.
//!
//! All calls block, so async code runs them with `spawn_blocking`. Callers add jitter to their
//! back-off. To keep the load on the platform low, a host that is not a configuration relay and
//! holds no lease makes no regular calls except for the host list.

use std::time;

use serde::Deserialize;
use serde::Serialize;

/// An object in the platform's store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// The name, unique within the object's kind.
    pub name: String,
    /// The store's version at the last write of this object. The platform raises the store's
    /// version with each write of any object.
    pub version: u64,
    /// The value, null if the object was deleted.
    pub value: serde_json::Value,
}

/// The objects of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct List {
    /// The version of the whole store when the list was made.
    pub version: u64,
    /// The objects.
    pub items: Vec<Object>,
}

/// A host or backend server in the platform's host list, which lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedHost {
    /// The host's or backend server's name.
    pub name: String,
    /// Its IP address and port. For hosts this is the peer address, which other hosts call.
    pub addr: String,
    /// `entry` for hosts, `backend` for backend servers.
    pub kind: String,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The stored version differs from the expected one.
    Conflict,
    /// There is no such object.
    NotFound,
    /// The platform refused the call without any effect.
    Refused(String),
    /// No valid answer arrived; a write may have taken effect.
    Unknown(String),
}

const TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long the platform holds a watch open while nothing changes.
const WATCH_TIME: time::Duration = time::Duration::from_secs(20);

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    base: String,
}

impl Client {
    /// Creates a client for the given base URL.
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
    /// Returns why the object can't be read, such as [`Failure::NotFound`].
    pub fn get(&self, kind: &str, name: &str) -> Result<Object, Failure> {
        self.read(&format!("/objects/{kind}/{name}"), TIMEOUT)
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns why the list can't be read.
    pub fn list(&self, kind: &str) -> Result<List, Failure> {
        self.read(&format!("/objects/{kind}"), TIMEOUT)
    }

    /// Waits until objects of a kind have changed since version `after`, and returns those objects.
    /// The list is empty if nothing changes for 20 seconds.
    ///
    /// # Errors
    ///
    /// Returns why the list can't be read.
    pub fn watch(&self, kind: &str, after: u64) -> Result<List, Failure> {
        let wait = WATCH_TIME.as_millis();
        let path = format!("/objects/{kind}?after={after}&wait_ms={wait}");
        self.read(&path, WATCH_TIME + TIMEOUT)
    }

    /// Writes an object if its stored version is `expected`; zero means that it must not exist yet.
    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns why the object is not written, or may not be written ([`Failure::Unknown`]).
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
        let written: WriteReply = decode_response(sent)?;
        Ok(written.version)
    }

    /// Deletes an object if its stored version is `expected`.
    ///
    /// # Errors
    ///
    /// Returns why the object is not deleted, or may not be deleted ([`Failure::Unknown`]).
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
        let _: WriteReply = decode_response(sent)?;
        Ok(())
    }

    /// Reads the list of hosts and backend servers. It lags behind the actual state.
    ///
    /// # Errors
    ///
    /// Returns why the list can't be read.
    pub fn hosts(&self) -> Result<Vec<ListedHost>, Failure> {
        self.read("/hosts", TIMEOUT)
    }

    fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout: time::Duration,
    ) -> Result<T, Failure> {
        let url = format!("{}{path}", self.base);
        let sent = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .call();
        decode_response(sent)
    }
}

/// The platform's answer to a write or delete.
#[derive(Deserialize)]
struct WriteReply {
    version: u64,
}

fn decode_response<T: serde::de::DeserializeOwned>(
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, Failure> {
    let mut response = result.map_err(|error| Failure::Unknown(error.to_string()))?;
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
