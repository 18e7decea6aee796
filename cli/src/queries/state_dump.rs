//! `state dump`: the state of a host.

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `state dump`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The host's name; without it the host at --admin.
    host: Option<String>,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if no host has this name.
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
    let at = client.at(&output::text(&host["admin_addr"]));
    output::json(&at.get("dump")?);
    Ok(())
}
