//! `state dump`: prints the whole state of a host as JSON.

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `state dump`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Name of the host; defaults to the host at --admin.
    host: Option<String>,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if no host has this name or a host can't be reached.
pub fn run(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    let Some(name) = &args.host else {
        output::json(&client.get("dump")?);
        return Ok(());
    };
    let hosts = client.get("hosts")?;
    let hosts = hosts.as_array().map(Vec::as_slice).unwrap_or_default();
    let host = hosts
        .iter()
        .find(|host| host["id"]["name"] == name.as_str());
    let host =
        host.ok_or_else(|| failure::Failure::NotFound(format!("no host is named {name:?}")))?;
    let client = client.for_host(&output::text(&host["admin_addr"]));
    output::json(&client.get("dump")?);
    Ok(())
}
