//! Queries: they only look.

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
pub mod request_show;
pub mod state_dump;

use std::fs;
use std::path;

use walnuthaven_lib::config;
use walnuthaven_lib::validate;

use crate::failure;

/// Reads and validates a document.
///
/// # Errors
///
/// Returns a failure that lists every fault.
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
