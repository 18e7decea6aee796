//! Logging: one JSON object per line, with a level that can be changed at run time.

use std::io;
use std::path;

use anyhow::Context as _;
use walnuthaven_lib::clock;
use walnuthaven_lib::clock::Clock as _;

/// Sets up logging to a file, or to standard error.
///
/// # Errors
///
/// Returns an error if the file can't be opened or logging is set up already.
pub fn start(level: log::LevelFilter, file: Option<&path::Path>) -> anyhow::Result<()> {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let line = serde_json::json!({
                "unix_ms": clock::millis(clock::BootClock.unix_time()),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        // Lines of our own crates are filtered by the global maximum level, which `set_level` changes.
        .level(log::LevelFilter::Warn)
        .level_for("walnuthaven_daemon", log::LevelFilter::Trace)
        .level_for("walnuthaven_lib", log::LevelFilter::Trace)
        .level_for("walnuthavend", log::LevelFilter::Trace);
    let dispatch = match file {
        Some(path) => {
            let opened = fern::log_file(path);
            dispatch.chain(opened.with_context(|| format!("log file {}", path.display()))?)
        }
        None => dispatch.chain(io::stderr()),
    };
    dispatch.apply()?;
    set_level(level);
    Ok(())
}

/// Sets the log level.
pub fn set_level(level: log::LevelFilter) {
    log::set_max_level(level);
}
