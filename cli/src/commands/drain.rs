//! `drain`: takes a host or a backend server out of service.

use serde_json::json;

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `drain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Name of a host or of a backend server.
    name: String,
    /// Puts a drained backend server back into service.
    #[arg(long)]
    undo: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a failure if no host or backend server has this name, if a host's drain is to be undone, or if a
/// host can't be reached.
pub fn run(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    let hosts = client.get("hosts")?;
    let hosts = hosts.as_array().map(Vec::as_slice).unwrap_or_default();
    let named = hosts
        .iter()
        .find(|host| host["id"]["name"] == args.name.as_str());
    if let Some(host) = named {
        if args.undo {
            let message = format!(
                "the drain of host {} can't be undone; restart the host",
                args.name
            );
            return Err(failure::Failure::Usage(message));
        }
        client
            .for_host(&output::text(&host["admin_addr"]))
            .post("drain")?;
        println!("host {} finishes its requests and leaves", args.name);
        return Ok(());
    }
    drain_server(client, args)
}

/// Sets or clears `draining` of the backend server in the document of the workspace that contains it.
fn drain_server(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    let workspaces = client.get("config")?;
    for workspace in workspaces.as_array().map(Vec::as_slice).unwrap_or_default() {
        let workspace = output::text(&workspace["workspace"]);
        let stored = client.get(&format!("config/{workspace}"))?;
        let mut document = stored["document"].clone();
        let Some(server) = find_backend(&mut document, &args.name) else {
            continue;
        };
        server["draining"] = json!(!args.undo);
        let change = format!("drain-{}-{}", stored["generation"], std::process::id());
        let body = json!({
            "document": document,
            "seen": stored["generation"],
            "change": change,
        });
        client
            .put(&format!("config/{workspace}"), &body)?
            .success()?;
        let state = if args.undo {
            "takes work again"
        } else {
            "gets no new work"
        };
        println!("backend server {} of {workspace} {state}", args.name);
        return Ok(());
    }
    let message = format!("no host or backend server is named {:?}", args.name);
    Err(failure::Failure::NotFound(message))
}

fn find_backend<'a>(
    document: &'a mut serde_json::Value,
    name: &str,
) -> Option<&'a mut serde_json::Value> {
    let backends = document["backends"].as_array_mut()?;
    backends.iter_mut().find(|backend| backend["name"] == name)
}
