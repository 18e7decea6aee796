//! `requests show`: shows the state of a request.

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `requests show`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The request id.
    id: String,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the host can't be reached or the request's home host is gone.
pub fn run(
    client: &client::Client,
    args: &Args,
    format: output::Format,
) -> Result<(), failure::Failure> {
    let request = client.get(&format!("requests/{}", args.id))?;
    match format {
        output::Format::Json => output::json(&request),
        output::Format::Table => {
            let state = output::text(&request["state"]);
            let state = if state.is_empty() {
                "not known"
            } else {
                &state
            };
            println!("{}: {state}", args.id);
        }
    }
    Ok(())
}
