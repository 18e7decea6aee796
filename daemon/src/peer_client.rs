//! Client for calls to other hosts (gRPC).

use std::collections;
use std::sync;
use std::time;

use tonic::service;
use tonic::transport;
use walnuthaven_lib::ids;
use walnuthaven_wire::peer;
use walnuthaven_wire::peer::peer_client;

use crate::locks;
use crate::settings;

/// The metadata entry with the key by which hosts authenticate to each other.
pub const HOST_KEY_METADATA: &str = "x-host-key";

/// Timeout of a probe.
pub const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Interval of HTTP/2 keep-alive pings. A connection is closed if a ping is unanswered this long.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(1);
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

type Channel = service::interceptor::InterceptedService<transport::Channel, HostKeyInterceptor>;
type Stub = peer_client::PeerClient<Channel>;

/// Adds the host key to each call.
#[derive(Clone)]
pub struct HostKeyInterceptor {
    /// `None` if the key can't be sent as metadata; then each call fails.
    key: Option<tonic::metadata::AsciiMetadataValue>,
}

impl service::Interceptor for HostKeyInterceptor {
    fn call(&mut self, mut req: tonic::Request<()>) -> Result<tonic::Request<()>, tonic::Status> {
        let key = self.key.clone();
        let key = key.ok_or_else(|| tonic::Status::internal("the fleet key is not printable"))?;
        req.metadata_mut().insert(HOST_KEY_METADATA, key);
        Ok(req)
    }
}

/// Connections to other hosts, by peer address. They are opened when first used.
pub struct Peers {
    key_interceptor: HostKeyInterceptor,
    stubs: sync::Mutex<collections::HashMap<ids::Name, Stub>>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Peers(..)")
    }
}

impl Peers {
    /// Creates a client without connections.
    pub fn new(key: &settings::Secret) -> Self {
        Self {
            key_interceptor: HostKeyInterceptor {
                key: key.0.parse().ok(),
            },
            stubs: sync::Mutex::default(),
        }
    }

    /// Probes a host.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn probe(
        &self,
        addr: &str,
        call: peer::ProbeRequest,
    ) -> Result<peer::ProbeReply, tonic::Status> {
        let reply = self
            .stub(addr)?
            .probe(with_timeout(call, PROBE_TIMEOUT))
            .await?;
        Ok(reply.into_inner())
    }

    /// Asks a host to probe host `target`. Returns whether that host answered.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn probe_via(&self, addr: &str, target: &str) -> Result<bool, tonic::Status> {
        let call = peer::ProbeViaRequest {
            target: target.to_owned(),
        };
        let timeout = PROBE_TIMEOUT * 2;
        let reply = self
            .stub(addr)?
            .probe_via(with_timeout(call, timeout))
            .await?;
        Ok(reply.into_inner().reached)
    }

    /// Runs a request at its home host, and streams the answer.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn run(
        &self,
        addr: &str,
        call: peer::RunRequest,
    ) -> Result<tonic::Streaming<peer::RunEvent>, tonic::Status> {
        let reply = self.stub(addr)?.run(call).await?;
        Ok(reply.into_inner())
    }

    /// Runs a call to a plain service at the request's home host.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn call(
        &self,
        addr: &str,
        call: peer::CallRequest,
        timeout: time::Duration,
    ) -> Result<peer::CallReply, tonic::Status> {
        let call = with_timeout(call, timeout);
        Ok(self.stub(addr)?.call(call).await?.into_inner())
    }

    /// Requests engines from the steward of a cell, and waits until they are granted or refused.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn acquire(
        &self,
        addr: &str,
        call: peer::AcquireRequest,
    ) -> Result<peer::AcquireReply, tonic::Status> {
        Ok(self.stub(addr)?.acquire(call).await?.into_inner())
    }

    /// Reports events of grants to the steward of their cell.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn report(&self, addr: &str, call: peer::ReportRequest) -> Result<(), tonic::Status> {
        self.stub(addr)?
            .report(with_timeout(call, CALL_TIMEOUT))
            .await?;
        Ok(())
    }

    /// Stores a permit at the backup host, or records the outcome of its request there. Returns
    /// whether the permit is stored, so that the home may dispatch the request.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn hold_permit(
        &self,
        addr: &str,
        call: peer::PermitRequest,
    ) -> Result<bool, tonic::Status> {
        let call = with_timeout(call, CALL_TIMEOUT);
        let reply = self.stub(addr)?.hold_permit(call).await?;
        Ok(reply.into_inner().held)
    }

    /// Tells the home of a request, or the owner of a job, whether the answer reached the caller.
    /// Returns whether that was recorded.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn confirm(
        &self,
        addr: &str,
        call: peer::ConfirmRequest,
    ) -> Result<bool, tonic::Status> {
        let call = with_timeout(call, CALL_TIMEOUT);
        let reply = self.stub(addr)?.confirm(call).await?;
        Ok(reply.into_inner().kept)
    }

    /// Asks the home of a request for its state and trace. With `fence` set it instead asks the
    /// backup host, which answers for a home that is gone and keeps that home from dispatching it.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn lookup(
        &self,
        addr: &str,
        call: peer::LookupRequest,
    ) -> Result<peer::LookupReply, tonic::Status> {
        let call = with_timeout(call, CALL_TIMEOUT);
        Ok(self.stub(addr)?.lookup(call).await?.into_inner())
    }

    /// Asks the steward of a plain service which of its servers are live.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn endpoints(
        &self,
        addr: &str,
        cell: &str,
    ) -> Result<peer::EndpointsReply, tonic::Status> {
        let call = peer::EndpointsRequest {
            cell: cell.to_owned(),
        };
        let call = with_timeout(call, PROBE_TIMEOUT);
        Ok(self.stub(addr)?.endpoints(call).await?.into_inner())
    }

    /// Sends configuration documents. Returns the digest of the other host's active documents.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn push_config(
        &self,
        addr: &str,
        call: peer::ConfigPush,
    ) -> Result<u64, tonic::Status> {
        let call = with_timeout(call, CALL_TIMEOUT);
        let reply = self.stub(addr)?.push_config(call).await?;
        Ok(reply.into_inner().digest)
    }

    /// Fetches the configuration documents that are newer than those listed in the call.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn fetch_config(
        &self,
        addr: &str,
        call: peer::ConfigFetch,
    ) -> Result<peer::ConfigPush, tonic::Status> {
        let call = with_timeout(call, CALL_TIMEOUT);
        Ok(self.stub(addr)?.fetch_config(call).await?.into_inner())
    }

    /// Returns the stub for a peer address, creating it on first use.
    fn stub(&self, addr: &str) -> Result<Stub, tonic::Status> {
        let mut stubs = locks::lock(&self.stubs);
        if let Some(stub) = stubs.get(addr) {
            return Ok(stub.clone());
        }
        let endpoint = transport::Endpoint::from_shared(format!("http://{addr}"))
            .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        let channel = endpoint.connect_lazy();
        let channel = Channel::new(channel, self.key_interceptor.clone());
        let stub = Stub::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        stubs.insert(addr.into(), stub.clone());
        Ok(stub)
    }
}

fn with_timeout<T>(message: T, timeout: time::Duration) -> tonic::Request<T> {
    let mut req = tonic::Request::new(message);
    req.set_timeout(timeout);
    req
}
