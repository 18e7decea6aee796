//! `quarantine list`: lists content that was in flight when backend servers crashed.

use crate::client;
use crate::failure;
use crate::output;

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the host can't be reached.
pub fn run(client: &client::Client, format: output::Format) -> Result<(), failure::Failure> {
    let fields = [
        ("DIGEST", "/digest"),
        ("QUARANTINED", "/quarantined"),
        ("LIFTED", "/lifted"),
        ("SERVERS", "/servers"),
        ("EXPIRES UNIX MS", "/expires_unix_ms"),
    ];
    output::list(format, &client.get("quarantine")?, &fields);
    Ok(())
}
