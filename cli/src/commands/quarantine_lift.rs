//! `quarantine lift`: lets content run again.

use crate::client;
use crate::failure;

/// Arguments of `quarantine lift`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The digest that `quarantine list` shows.
    digest: String,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a failure if the digest is not marked.
pub fn run(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    client.post(&format!("quarantine/{}/lift", args.digest))?;
    println!("content {} may run again", args.digest);
    Ok(())
}
