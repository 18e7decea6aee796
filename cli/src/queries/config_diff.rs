//! `config diff`: shows how a document differs from the one in force.

use std::path;

use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;

use crate::client;
use crate::failure;
use crate::queries;

/// Arguments of `config diff`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// File with the document.
    file: path::PathBuf,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the document isn't valid, its workspace doesn't exist or the host can't be reached.
pub fn run(client: &client::Client, args: &Args) -> Result<(), failure::Failure> {
    let (document, _) = queries::read_document(&args.file)?;
    let stored = client.get(&format!("config/{}", document.workspace))?;
    let in_force: config::Workspace = serde_json::from_value(stored["document"].clone())
        .map_err(|error| failure::Failure::Unavailable(error.to_string()))?;
    let text = |document| serde_json::to_string_pretty(document).unwrap_or_default();
    let difference = config_versions::unified_diff(&text(&in_force), &text(&document));
    match difference.is_empty() {
        true => println!("no difference from generation {}", stored["generation"]),
        false => print!("{difference}"),
    }
    Ok(())
}
