//! `explain`: shows the steps of a request and where it was sent.

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `explain`.
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
    if format == output::Format::Json {
        output::json(&request);
        return Ok(());
    }
    let steps = request["steps"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    if steps.is_empty() {
        println!("no steps are recorded for {}", args.id);
    }
    for step in steps {
        match step["what"].as_str() {
            Some(what) => println!("{}  {what}", step["unix_ms"]),
            None => println!("{}", output::text(step)),
        }
    }
    Ok(())
}
