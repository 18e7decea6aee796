//! `quarantine lift`: allows quarantined content to run again.

use crate::client;
use crate::failure;

/// Arguments of `quarantine lift`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Digest of the content, as shown by `quarantine list`.
    digest: String,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a failure if no content with this digest is marked or the host can't be reached.
pub fn run(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    client.post(&format!("quarantine/{}/lift", args.digest))?;
    println!("content {} may run again", args.digest);
    Ok(())
}
