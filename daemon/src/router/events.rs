//! Structured log lines on standard output.
//!
//! A line is handed to a thread that writes it, through a channel of bounded length. If nothing
//! reads the output, lines are dropped and counted; a request never waits for the log.

use std::io;
use std::io::Write as _;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;

use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;

/// Lines that wait to be written.
const MAX_LINES: usize = 2_048;

static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Returns the number of lines that were dropped.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

struct Queue(mpsc::SyncSender<Vec<u8>>);

impl io::Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.0.try_send(buf.to_vec()).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output, a JSON object a line.
///
/// # Errors
///
/// Returns an error if logging is set up already or the writer can't be started.
pub(crate) fn start(level: log::LevelFilter) -> anyhow::Result<()> {
    let (tx, rx) = mpsc::sync_channel::<Vec<u8>>(MAX_LINES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(64 * 1024)
        .spawn(move || {
            let mut out = io::stdout();
            while let Ok(mut lines) = rx.recv() {
                while lines.len() < 64 * 1024
                    && let Ok(more) = rx.try_recv()
                {
                    lines.extend(more);
                }
                if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                    DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
                }
            }
        })?;
    let writer: Box<dyn io::Write + Send> = Box::new(Queue(tx));
    fern::Dispatch::new()
        .format(|out, message, record| {
            let level = record.level().as_str();
            let unix_ms = clock::millis(clock::Boot.unix());
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

/// Logs an event with its fields: `event!(Info, "place", "id" => id, "server" => server)`. Values are
/// written as JSON.
macro_rules! event {
    ($level:ident, $name:literal $(, $key:literal => $value:expr)+ $(,)?) => {
        if log::log_enabled!(log::Level::$level) {
            log::log!(log::Level::$level, "\"event\":\"{}\"{}", $name, {
                let mut fields = String::new();
                $(
                    fields.push_str(concat!(",\"", $key, "\":"));
                    fields.push_str(&$crate::router::events::json(&$value));
                )+
                fields
            });
        }
    };
}
pub(crate) use event;

/// Writes a value as JSON.
pub(crate) fn json<T: serde::Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|error| format!("\"{error}\""))
}
