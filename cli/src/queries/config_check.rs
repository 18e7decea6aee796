//! `config check`: validates a document without a host.

use std::path;

use serde_json::json;

use crate::failure;
use crate::output;
use crate::queries;

/// Arguments of `config check`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// File with the document.
    file: path::PathBuf,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the file can't be read, or one that lists every fault of the document.
pub fn run(args: &Args, format: output::Format) -> Result<(), failure::Failure> {
    let (document, warnings) = queries::read_document(&args.file)?;
    match format {
        output::Format::Json => output::json(&json!({ "faults": [], "warnings": warnings })),
        output::Format::Table => {
            for warning in &warnings {
                println!("warning: {warning}");
            }
            println!(
                "{}: the document of {} is valid",
                args.file.display(),
                document.workspace
            );
        }
    }
    Ok(())
}
