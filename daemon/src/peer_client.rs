//! Calls to other hosts.

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

/// The metadata entry with the key that hosts show each other.
pub const HOST_KEY_METADATA: &str = "x-host-key";

/// Time limit of a probe.
pub const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
const PLAIN_TIMEOUT_MARGIN: time::Duration = time::Duration::from_secs(12);
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(1);
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

type Channel = service::interceptor::InterceptedService<transport::Channel, HostKeyInterceptor>;
type Stub = peer_client::PeerClient<Channel>;

/// Adds the host key to each call.
#[derive(Clone)]
pub struct HostKeyInterceptor {
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

/// Connections to other hosts by peer address.
pub struct Peers {
    show_key: HostKeyInterceptor,
    stubs: sync::Mutex<collections::HashMap<ids::Name, Stub>>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Peers(..)")
    }
}

impl Peers {
    /// Makes a pool without connections.
    pub fn new(key: &settings::Secret) -> Self {
        Self {
            show_key: HostKeyInterceptor {
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
        let reply = self.stub(addr)?.probe(limited(call, PROBE_TIMEOUT)).await?;
        Ok(reply.into_inner())
    }

    /// Asks a host to probe another one.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn probe_via(&self, addr: &str, target: &str) -> Result<bool, tonic::Status> {
        let call = peer::ProbeViaRequest {
            target: target.to_owned(),
        };
        let limit = PROBE_TIMEOUT * 2;
        let reply = self.stub(addr)?.probe_via(limited(call, limit)).await?;
        Ok(reply.into_inner().reached)
    }

    /// Runs a request at its home.
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

    /// Runs a plain call at its home.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn call(
        &self,
        addr: &str,
        call: peer::CallRequest,
    ) -> Result<peer::CallReply, tonic::Status> {
        let call = limited(call, PLAIN_TIMEOUT_MARGIN);
        Ok(self.stub(addr)?.call(call).await?.into_inner())
    }

    /// Waits for engines at a steward.
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

    /// Reports on grants.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn report(&self, addr: &str, call: peer::ReportRequest) -> Result<(), tonic::Status> {
        self.stub(addr)?.report(limited(call, CALL_TIMEOUT)).await?;
        Ok(())
    }

    /// Stores or concludes a permit at a buddy.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn hold_permit(
        &self,
        addr: &str,
        call: peer::PermitRequest,
    ) -> Result<bool, tonic::Status> {
        let call = limited(call, CALL_TIMEOUT);
        let reply = self.stub(addr)?.hold_permit(call).await?;
        Ok(reply.into_inner().held)
    }

    /// Tells a home, or the owner of a job, whether an answer reached its caller. Returns whether
    /// that is kept.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn confirm(
        &self,
        addr: &str,
        call: peer::ConfirmRequest,
    ) -> Result<bool, tonic::Status> {
        let call = limited(call, CALL_TIMEOUT);
        let reply = self.stub(addr)?.confirm(call).await?;
        Ok(reply.into_inner().kept)
    }

    /// Asks what became of a request.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn lookup(
        &self,
        addr: &str,
        call: peer::LookupRequest,
    ) -> Result<peer::LookupReply, tonic::Status> {
        let call = limited(call, CALL_TIMEOUT);
        Ok(self.stub(addr)?.lookup(call).await?.into_inner())
    }

    /// Lists the servers of a plain service.
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
        let call = limited(call, PROBE_TIMEOUT);
        Ok(self.stub(addr)?.endpoints(call).await?.into_inner())
    }

    /// Offers configuration documents.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn push_config(
        &self,
        addr: &str,
        call: peer::ConfigPush,
    ) -> Result<u64, tonic::Status> {
        let call = limited(call, CALL_TIMEOUT);
        let reply = self.stub(addr)?.push_config(call).await?;
        Ok(reply.into_inner().digest)
    }

    /// Fetches configuration documents that are newer than the known ones.
    ///
    /// # Errors
    ///
    /// Returns the status of a failed call.
    pub async fn fetch_config(
        &self,
        addr: &str,
        call: peer::ConfigFetch,
    ) -> Result<peer::ConfigPush, tonic::Status> {
        let call = limited(call, CALL_TIMEOUT);
        Ok(self.stub(addr)?.fetch_config(call).await?.into_inner())
    }

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
        let channel = Channel::new(channel, self.show_key.clone());
        let stub = Stub::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        stubs.insert(addr.into(), stub.clone());
        Ok(stub)
    }
}

fn limited<T>(message: T, limit: time::Duration) -> tonic::Request<T> {
    let mut req = tonic::Request::new(message);
    req.set_timeout(limit);
    req
}
