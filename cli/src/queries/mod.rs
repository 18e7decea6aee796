//! Queries, which change nothing.

pub mod completions;
pub mod config_check;
pub mod config_diff;
pub mod config_history;
pub mod config_show;
pub mod explain;
pub mod hosts;
pub mod key;
pub mod pools;
pub mod quarantine_list;
pub mod request_preview;
pub mod request_show;
pub mod state_dump;

use std::fs;
use std::path;

use walnuthaven_lib::config;
use walnuthaven_lib::validate;

use crate::failure;

/// Reads a configuration document from a file and validates it. Returns it with the validation's warnings.
///
/// # Errors
///
/// Returns a failure if the file can't be read, or one that lists every fault of the document.
pub fn read_document(
    file: &path::Path,
) -> Result<(config::Workspace, Vec<validate::Finding>), failure::Failure> {
    let text = fs::read_to_string(file)
        .map_err(|error| failure::Failure::Usage(format!("{}: {error}", file.display())))?;
    validate::parse(&text).map_err(|report| {
        let lines: Vec<String> = report.faults.iter().map(|f| format!("  {f}")).collect();
        let faults = lines.join("\n");
        failure::Failure::Invalid(format!("{} has faults:\n{faults}", file.display()))
    })
}
