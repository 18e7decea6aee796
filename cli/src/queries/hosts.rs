//! `hosts`: lists the hosts of the fleet.

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
        ("HOST", "/id/name"),
        ("ZONE", "/zone"),
        ("STATE", "/state"),
        ("API", "/api_addr"),
        ("ADMIN", "/admin_addr"),
        ("INCARNATION", "/id/incarnation"),
    ];
    output::list(format, &client.get("hosts")?, &fields);
    Ok(())
}
