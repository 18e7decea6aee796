//! `log-level`: changes the log level of a host.

use crate::client;
use crate::failure;

/// Arguments of `log-level`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The level: off, error, warn, info, debug or trace.
    level: String,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a failure if the level doesn't exist or the host can't be reached.
pub fn run(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    client.post(&format!("log/{}", args.level))?;
    println!("the log level is {}", args.level);
    Ok(())
}
