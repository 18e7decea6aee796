//! `log-level`: changes the log level of a host.

use crate::client;
use crate::failure;

/// Arguments of `log-level`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// off, error, warn, info, debug or trace.
    level: String,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a failure if there is no such level.
pub fn run(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    client.post(&format!("log/{}", args.level))?;
    println!("the log level is {}", args.level);
    Ok(())
}
