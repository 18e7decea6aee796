//! Sends metrics to statsd. Their names and units are listed in `docs/OPERATIONS.md`.

use std::net;
use std::time;

use anyhow::Context as _;
use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::Timed as _;

const PREFIX: &str = "walnuthaven";
/// Number of metrics that may wait to be sent; further ones are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// A client that sends metrics.
#[derive(Debug)]
pub struct Metrics {
    client: cadence::StatsdClient,
}

impl Metrics {
    /// Creates a client that sends to the given address, or drops all metrics if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket can't be set up.
    pub fn new(statsd: Option<net::SocketAddr>, host: &str) -> anyhow::Result<Self> {
        let builder = match statsd {
            None => cadence::StatsdClient::builder(PREFIX, cadence::NopMetricSink),
            Some(addr) => {
                let socket = net::UdpSocket::bind("0.0.0.0:0").context("statsd socket")?;
                socket.set_nonblocking(true)?;
                let udp = cadence::BufferedUdpMetricSink::from(addr, socket)?;
                let sink = cadence::QueuingMetricSink::with_capacity(udp, QUEUE_CAPACITY);
                cadence::StatsdClient::builder(PREFIX, sink)
            }
        };
        let client = builder.with_tag("host", host).build();
        Ok(Self { client })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        // A metric that can't be sent must not make a request fail.
        let _ = self.client.count(name, 1);
    }

    /// Reports the current value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Reports a duration, which is sent in milliseconds.
    pub fn time(&self, name: &str, duration: time::Duration) {
        let _ = self.client.time(name, duration);
    }
}
