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
    let answer = client.get("pools")?;
    let pools = answer["pools"].as_array().cloned().unwrap_or_default();
    let mut all = Vec::new();
    for mut pool in pools {
        // Only the cell's steward knows its queue and the state of its engines.
        let steward = client.for_host(&output::text(&pool["steward_admin"]));
        if let Ok(answer) = steward.get("pools") {
            let cells = answer["cells_here"].as_array().cloned().unwrap_or_default();
            let cell = cells.into_iter().find(|cell| cell["name"] == pool["cell"]);
            pool["state"] = json!(cell);
        }
        all.push(pool);
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
    output::list(format, &json!(all), &fields);
    Ok(())
}
