//! `config history`: lists the changes of a workspace, or prints an earlier document.

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `config history`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The workspace.
    workspace: String,
    /// Prints the document of this generation, for instance to apply it again.
    #[arg(long)]
    generation: Option<u64>,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the workspace or the generation doesn't exist or the host can't be reached.
pub fn run(
    client: &client::Client,
    args: &Args,
    format: output::Format,
) -> Result<(), failure::Failure> {
    let path = format!("config/{}/history", args.workspace);
    if let Some(generation) = args.generation {
        let stored = client.get(&format!("{path}/{generation}"))?;
        output::json(&stored["document"]);
        return Ok(());
    }
    let history = client.get(&path)?;
    let fields = [
        ("GENERATION", "/generation"),
        ("AUTHOR", "/author"),
        ("UNIX MS", "/unix_ms"),
        ("CHANGE", "/change"),
    ];
    output::list(format, &history, &fields);
    Ok(())
}
