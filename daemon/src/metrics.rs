//! Metrics by statsd. Names and units are listed in `docs/OPERATIONS.md`.

use std::net;
use std::time;

use anyhow::Context as _;
use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::Timed as _;

const PREFIX: &str = "walnuthaven";
const QUEUED_METRICS: usize = 4_096;

/// Sends metrics.
#[derive(Debug)]
pub struct Metrics {
    client: cadence::StatsdClient,
}

impl Metrics {
    /// Makes a client that sends to the given address, or drops everything without one.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be had.
    pub fn new(statsd: Option<net::SocketAddr>, host: &str) -> anyhow::Result<Self> {
        let builder = match statsd {
            None => cadence::StatsdClient::builder(PREFIX, cadence::NopMetricSink),
            Some(addr) => {
                let socket = net::UdpSocket::bind("0.0.0.0:0").context("statsd socket")?;
                socket.set_nonblocking(true)?;
                let udp = cadence::BufferedUdpMetricSink::from(addr, socket)?;
                let sink = cadence::QueuingMetricSink::with_capacity(udp, QUEUED_METRICS);
                cadence::StatsdClient::builder(PREFIX, sink)
            }
        };
        let client = builder.with_tag("host", host).build();
        Ok(Self { client })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        // A metric that can't be sent is not worth failing for.
        let _ = self.client.count(name, 1);
    }

    /// Reports a level.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Reports a duration in milliseconds.
    pub fn time(&self, name: &str, duration: time::Duration) {
        let _ = self.client.time(name, duration);
    }
}
