//! Structured log lines on standard output.
//!
//! A dedicated thread receives the lines through a bounded channel and writes them. When the channel
//! is full because nothing reads the output, lines are dropped and counted, so that requests never
//! wait for the log.

use std::collections;
use std::io;
use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use bytes::Bytes;
use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;

use crate::locks;

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 2_048;

/// Size in bytes of the newest lines that are kept in memory for `walnuthaven explain`.
const MAX_RECENT_BYTES: usize = 256 * 1024;

static RECENT: sync::Mutex<RecentLines> = sync::Mutex::new(RecentLines {
    lines: collections::VecDeque::new(),
    bytes: 0,
});
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);
/// Number of lines that wait to be written.
static QUEUED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
/// How often it is looked up whether all lines were written.
const FLUSH_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(1);

/// Returns the number of lines that were dropped instead of written.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

/// Blocks the thread until all lines were written, but no longer than `timeout`.
pub(crate) fn flush(timeout: time::Duration) {
    let started = time::Instant::now();
    while QUEUED.load(atomic::Ordering::Relaxed) > 0 && started.elapsed() < timeout {
        thread::sleep(FLUSH_CHECK_INTERVAL);
    }
}

/// The newest lines and their total size in bytes.
struct RecentLines {
    lines: collections::VecDeque<Bytes>,
    bytes: usize,
}

impl RecentLines {
    fn push(&mut self, line: Bytes) {
        self.bytes += line.len();
        self.lines.push_back(line);
        while self.bytes > MAX_RECENT_BYTES
            && let Some(oldest) = self.lines.pop_front()
        {
            self.bytes -= oldest.len();
        }
    }
}

/// Returns the lines about a request among those kept in memory, oldest first.
pub(crate) fn recent_lines(id: &str) -> Vec<String> {
    let wanted = format!("\"id\":{}", to_json(id));
    let recent = locks::lock(&RECENT);
    let lines = recent
        .lines
        .iter()
        .map(|line| String::from_utf8_lossy(line));
    let matching = lines.filter(|line| line.contains(&wanted));
    matching.map(|line| line.trim_end().to_owned()).collect()
}

/// Collects the pieces of a line and sends it to the writer thread as a whole, so that only whole lines
/// are dropped.
struct LineSender {
    tx: mpsc::SyncSender<Bytes>,
    line: Vec<u8>,
}

impl io::Write for LineSender {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            let line = Bytes::from(std::mem::take(&mut self.line));
            locks::lock(&RECENT).push(line.clone());
            QUEUED.fetch_add(1, atomic::Ordering::Relaxed);
            if self.tx.try_send(line).is_err() {
                QUEUED.fetch_sub(1, atomic::Ordering::Relaxed);
                DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output, one JSON object per line.
///
/// # Errors
///
/// Returns an error if logging is already set up or the writer thread can't be started.
pub(crate) fn start(level: log::LevelFilter) -> anyhow::Result<()> {
    let (tx, rx) = mpsc::sync_channel::<Bytes>(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(64 * 1024)
        .spawn(move || {
            let mut out = io::stdout();
            while let Ok(first) = rx.recv() {
                let mut lines = first.to_vec();
                let mut count = 1;
                while lines.len() < 64 * 1024
                    && let Ok(more) = rx.try_recv()
                {
                    lines.extend(more);
                    count += 1;
                }
                if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                    DROPPED.fetch_add(count, atomic::Ordering::Relaxed);
                }
                QUEUED.fetch_sub(count as usize, atomic::Ordering::Relaxed);
            }
        })?;
    let writer: Box<dyn io::Write + Send> = Box::new(LineSender {
        tx,
        line: Vec::new(),
    });
    fern::Dispatch::new()
        .format(|out, message, record| {
            let level = record.level().as_str();
            let unix_ms = clock::millis(clock::BootClock.unix_time());
            out.finish(format_args!(
                "{{\"unix_ms\":{unix_ms},\"level\":\"{level}\",{message}}}"
            ));
        })
        .level(log::LevelFilter::Off)
        .level_for("walnuthaven_daemon", log::LevelFilter::Trace)
        .level_for("walnuthavend", log::LevelFilter::Trace)
        .chain(fern::Output::writer(writer, "\n"))
        .apply()?;
    log::set_max_level(level);
    Ok(())
}

/// Logs an event with its fields, for instance `event!(Info, "place", "id" => id, "server" => server)`.
/// Values are written as JSON.
macro_rules! event {
    ($level:ident, $name:literal $(, $key:literal => $value:expr)+ $(,)?) => {
        if log::log_enabled!(log::Level::$level) {
            log::log!(log::Level::$level, "\"event\":\"{}\"{}", $name, {
                let mut fields = String::new();
                $(
                    fields.push_str(concat!(",\"", $key, "\":"));
                    fields.push_str(&$crate::router::events::to_json(&$value));
                )+
                fields
            });
        }
    };
}
pub(crate) use event;

/// Logs an event that clients can cause as often as they like. Few of each place in the code are written in a second;
/// the field `suppressed` has the number of those that weren't.
macro_rules! limited_event {
    ($level:ident, $name:literal $(, $key:literal => $value:expr)+ $(,)?) => {{
        static LIMIT: $crate::router::log_limit::LogLimit =
            $crate::router::log_limit::LogLimit::new();
        if let Some(suppressed) = LIMIT.pass(std::time::Instant::now()) {
            $crate::router::events::event!($level, $name $(, $key => $value)+, "suppressed" => suppressed);
        }
    }};
}
pub(crate) use limited_event;

/// Returns a value as JSON text.
pub(crate) fn to_json<T: serde::Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|error| format!("\"{error}\""))
}
