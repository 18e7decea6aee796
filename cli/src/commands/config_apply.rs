//! `config apply`: puts a document into force.

use std::path;

use serde_json::json;

use crate::client;
use crate::failure;
use crate::output;
use crate::queries;

/// Arguments of `config apply`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// File with the document.
    file: path::PathBuf,
    /// The generation that the document is based on; defaults to the one in force.
    #[arg(long)]
    seen: Option<u64>,
    /// Id of the change; a change that is sent again with the same id takes effect only once.
    #[arg(long)]
    change: Option<String>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a failure if the document isn't valid or wasn't accepted, or the host can't be reached. After a
/// conflict it prints how the document differs from the one in force.
pub fn run(
    client: &client::Client,
    args: &Args,
    format: output::Format,
) -> Result<(), failure::Failure> {
    let (document, warnings) = queries::read_document(&args.file)?;
    let workspace = document.workspace.clone();
    let seen = match args.seen {
        Some(seen) => seen,
        None => current_generation(client, &workspace)?,
    };
    let change = args.change.clone().unwrap_or_else(new_change_id);
    let body = json!({ "document": document, "seen": seen, "change": change });
    let reply = client.put(&format!("config/{workspace}"), &body)?;
    if reply.status == 409 {
        println!("{}", output::text(&reply.body["difference"]));
    }
    if reply.status == 504 {
        eprintln!("retry with --change {change} to learn the outcome");
    }
    let accepted = reply.success()?;
    for warning in warnings {
        eprintln!("warning: {warning}");
    }
    match format {
        output::Format::Json => output::json(&accepted),
        output::Format::Table => {
            println!(
                "{workspace}: generation {} is accepted",
                accepted["generation"]
            );
        }
    }
    Ok(())
}

/// Returns the generation of the document in force, or 0 if the workspace has none.
fn current_generation(client: &client::Client, workspace: &str) -> Result<u64, failure::Failure> {
    match client.get(&format!("config/{workspace}")) {
        Ok(stored) => Ok(stored["generation"].as_u64().unwrap_or(0)),
        Err(failure::Failure::NotFound(_)) => Ok(0),
        Err(failure) => Err(failure),
    }
}

/// Makes an id for a change from the time and the process id.
fn new_change_id() -> String {
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("c{:x}-{:x}", unix.as_nanos(), std::process::id())
}
