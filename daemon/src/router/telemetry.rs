//! Counters and latency histograms, served as text on the metrics address.

use std::collections;
use std::fmt::Write as _;
use std::io;
use std::sync;
use std::time;

use cadence::Counted as _;
use cadence::Timed as _;

use crate::locks;

const PREFIX: &str = "walnuthaven";
/// Upper bounds of the histograms' buckets in milliseconds.
const BUCKETS_MS: [u64; 12] = [5, 10, 20, 50, 100, 200, 300, 500, 900, 2_000, 5_000, 14_000];

#[derive(Debug, Default)]
struct Histogram {
    /// The number of samples in each bucket; the last one has no upper bound.
    buckets: [u64; BUCKETS_MS.len() + 1],
    count: u64,
    sum_ms: u64,
}

#[derive(Debug, Default)]
struct Values {
    counters: collections::BTreeMap<String, u64>,
    histograms: collections::BTreeMap<String, Histogram>,
}

/// Keeps the emitted metrics in memory.
#[derive(Clone, Debug, Default)]
struct MemorySink(sync::Arc<sync::Mutex<Values>>);

impl cadence::MetricSink for MemorySink {
    /// Adds a metric in StatsD format, `name:value|type`: a counter for type `c`, otherwise a time in
    /// milliseconds.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let parsed = metric.split_once(':').and_then(|(name, rest)| {
            let (value, kind) = rest.split_once('|')?;
            Some((name, value.parse::<u64>().ok()?, kind))
        });
        let Some((name, value, kind)) = parsed else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let mut values = locks::lock(&self.0);
        if kind == "c" {
            match values.counters.get_mut(name) {
                Some(counter) => *counter += value,
                None => {
                    values.counters.insert(name.to_owned(), value);
                }
            }
        } else {
            if !values.histograms.contains_key(name) {
                values
                    .histograms
                    .insert(name.to_owned(), Histogram::default());
            }
            if let Some(histogram) = values.histograms.get_mut(name) {
                let bucket = BUCKETS_MS.partition_point(|bound| *bound < value);
                histogram.buckets[bucket] += 1;
                histogram.count += 1;
                histogram.sum_ms += value;
            }
        }
        Ok(metric.len())
    }
}

/// The metrics of an entry host. Names and units are listed in `docs/OPERATIONS.md`.
#[derive(Debug)]
pub(crate) struct Telemetry {
    sink: MemorySink,
    client: cadence::StatsdClient,
}

impl Default for Telemetry {
    fn default() -> Self {
        let sink = MemorySink::default();
        let client = cadence::StatsdClient::from_sink(PREFIX, sink.clone());
        Self { sink, client }
    }
}

impl Telemetry {
    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub(crate) fn add(&self, name: &str, amount: u64) {
        // The in-memory sink accepts every well-formed metric.
        let _ = self.client.count(name, amount);
    }

    /// Adds a duration to a histogram.
    pub(crate) fn time(&self, name: &str, took: time::Duration) {
        let _ = self.client.time(name, took);
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        let values = locks::lock(&self.sink.0);
        let mut text = String::new();
        for (name, value) in &values.counters {
            // Writing to a string never fails.
            let _ = writeln!(text, "{} {value}", text_name(name));
        }
        for (name, histogram) in &values.histograms {
            let name = text_name(name);
            let mut cumulative = 0;
            for (i, bucket) in histogram.buckets.iter().enumerate() {
                cumulative += bucket;
                let bound = BUCKETS_MS.get(i).map_or("+Inf".to_owned(), u64::to_string);
                let _ = writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {cumulative}");
            }
            let _ = writeln!(text, "{name}_ms_sum {}", histogram.sum_ms);
            let _ = writeln!(text, "{name}_ms_count {}", histogram.count);
        }
        text
    }
}

/// Returns a metric's name in the text format, which has no dots.
fn text_name(name: &str) -> String {
    name.replace('.', "_")
}
