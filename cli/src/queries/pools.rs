//! `pools`: lists the cells of the engine pools with their stewards, queues and engines.

use serde_json::json;

use crate::client;
use crate::failure;
use crate::output;

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the host can't be reached.
pub fn run(client: &client::Client, format: output::Format) -> Result<(), failure::Failure> {
    let reply = client.get("pools")?;
    let entries = reply["pools"].as_array().cloned().unwrap_or_default();
    let mut cells = Vec::new();
    for mut entry in entries {
        // Only the cell's steward knows its queue and the state of its engines.
        let steward = client.for_host(&output::text(&entry["steward_admin"]));
        if let Ok(reply) = steward.get("pools") {
            let stewarded = reply["cells_here"].as_array().cloned().unwrap_or_default();
            let state = stewarded
                .into_iter()
                .find(|cell| cell["name"] == entry["cell"]);
            entry["state"] = json!(state);
        }
        cells.push(entry);
    }
    let fields = [
        ("CELL", "/cell"),
        ("MODEL", "/model"),
        ("ENGINES", "/engines"),
        ("STEWARD", "/steward"),
        ("URGENT", "/state/urgent"),
        ("NORMAL", "/state/normal"),
        ("PATIENT", "/state/patient"),
        ("RUNNING", "/state/held"),
    ];
    output::list(format, &json!(cells), &fields);
    Ok(())
}
