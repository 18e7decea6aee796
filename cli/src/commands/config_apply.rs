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
    /// The document.
    file: path::PathBuf,
    /// The generation that the document was made from; without it the one in force now.
    #[arg(long)]
    seen: Option<u64>,
    /// Identifies the change; a repeat with the same id is accepted once.
    #[arg(long)]
    change: Option<String>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a failure that shows the other change after a conflict.
pub fn run(
    client: &client::Client,
    args: &Args,
    format: output::Format,
) -> Result<(), failure::Failure> {
    let (document, warnings) = queries::read_document(&args.file)?;
    let workspace = document.workspace.clone();
    let seen = match args.seen {
        Some(seen) => seen,
        None => generation(client, &workspace)?,
    };
    let change = args.change.clone().unwrap_or_else(new_change);
    let body = json!({ "document": document, "seen": seen, "change": change });
    let reply = client.put(&format!("config/{workspace}"), &body)?;
    if reply.status == 409 {
        println!("{}", output::text(&reply.body["difference"]));
    }
    if reply.status == 504 {
        eprintln!("repeat with --change {change} to learn the outcome");
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

fn generation(client: &client::Client, workspace: &str) -> Result<u64, failure::Failure> {
    match client.get(&format!("config/{workspace}")) {
        Ok(stored) => Ok(stored["generation"].as_u64().unwrap_or(0)),
        Err(failure::Failure::NotFound(_)) => Ok(0),
        Err(failure) => Err(failure),
    }
}

/// Makes an id for a change from time and process.
fn new_change() -> String {
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("c{:x}-{:x}", unix.as_nanos(), std::process::id())
}
