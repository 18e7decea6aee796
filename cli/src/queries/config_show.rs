//! `config show`: prints a document in force, or lists all of them.

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `config show`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The workspace; if omitted, all workspaces are listed.
    workspace: Option<String>,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the workspace doesn't exist or the host can't be reached.
pub fn run(
    client: &client::Client,
    args: &Args,
    format: output::Format,
) -> Result<(), failure::Failure> {
    match &args.workspace {
        Some(workspace) => {
            let stored = client.get(&format!("config/{workspace}"))?;
            output::json(&stored["document"]);
        }
        None => {
            let fields = [
                ("WORKSPACE", "/workspace"),
                ("GENERATION", "/generation"),
                ("CHANGE", "/change"),
            ];
            output::list(format, &client.get("config")?, &fields);
        }
    }
    Ok(())
}
