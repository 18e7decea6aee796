//! `requests preview`: shows where a request would go now, and why, without sending it.

use std::fmt::Write as _;

use serde_json::Value;

use crate::client;
use crate::failure;
use crate::output;

/// Arguments of `requests preview`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The name of the request's route.
    route: String,
    /// The caller's workspace.
    #[arg(long)]
    workspace: Option<String>,
    /// The length of the prompt in tokens.
    #[arg(long)]
    prompt: Option<u32>,
    /// The maximum length of the answer in tokens.
    #[arg(long)]
    max_output: Option<u32>,
    /// The caller's estimate of the length of the answer in tokens.
    #[arg(long)]
    length_hint: Option<u32>,
    /// The availability zone of the host that gets the request; that of the asked host if not given.
    #[arg(long)]
    zone: Option<String>,
}

/// Runs the query.
///
/// # Errors
///
/// Returns a failure if the host can't be reached, or knows no such route or workspace.
pub fn run(
    client: &client::Client,
    args: &Args,
    format: output::Format,
) -> Result<(), failure::Failure> {
    let preview = client.get(&path(args))?;
    match format {
        output::Format::Json => output::json(&preview),
        output::Format::Table => {
            print!("{}", summary(&preview));
            let fields = [
                ("SERVER", "/server"),
                ("ZONE", "/zone"),
                ("STAGE", "/stage"),
                ("VERSION", "/version"),
                ("WORK", "/work"),
                ("EXPECTED MS", "/expected_ms"),
                ("RESULT", "/result"),
            ];
            output::list(format, &preview["candidates"], &fields);
        }
    }
    Ok(())
}

/// Returns the path of the call with its query.
fn path(args: &Args) -> String {
    let number = |value: Option<u32>| value.map(|value| value.to_string());
    let parameters = [
        ("route", Some(args.route.clone())),
        ("workspace", args.workspace.clone()),
        ("prompt", number(args.prompt)),
        ("max_output", number(args.max_output)),
        ("length_hint", number(args.length_hint)),
        ("zone", args.zone.clone()),
    ];
    let mut path = "preview".to_owned();
    for (name, value) in parameters {
        let Some(value) = value else {
            continue;
        };
        let separator = if path.contains('?') { '&' } else { '?' };
        // Writing to a string never fails.
        let _ = write!(path, "{separator}{name}={}", encoded(&value));
    }
    path
}

/// Percent-encodes a value for use in a query.
fn encoded(value: &str) -> String {
    let mut text = String::new();
    for byte in value.bytes() {
        match byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            true => text.push(char::from(byte)),
            false => {
                let _ = write!(text, "%{byte:02X}");
            }
        }
    }
    text
}

/// Describes the request and what would happen to it.
fn summary(preview: &Value) -> String {
    let text = |pointer: &str| {
        preview
            .pointer(pointer)
            .map(output::text)
            .unwrap_or_default()
    };
    let mut lines = vec![
        format!(
            "host       {}, configuration {}",
            text("/host"),
            text("/configuration")
        ),
        format!(
            "route      {} to {}, {}, priority {}, target {} ms",
            text("/route"),
            text("/service"),
            text("/kind"),
            text("/priority"),
            text("/target_ms")
        ),
    ];
    if !preview["workspace"].is_null() {
        lines.push(format!("workspace  {}", text("/workspace")));
    }
    if !preview["limit"].is_null() {
        lines.push(format!(
            "limit      {} a second, {} can be used now, the request uses {}",
            text("/limit/per_second"),
            text("/limit/level"),
            text("/limit/cost")
        ));
    }
    if !preview["queue"].is_null() {
        lines.push(format!(
            "queue      {} ahead here, {} at other hosts",
            text("/queue/ahead"),
            text("/queue/elsewhere")
        ));
    }
    let mut outcome = format!("outcome    {}", text("/outcome"));
    for (name, pointer, unit) in [
        ("", "/cause", ""),
        ("wait ", "/wait_ms", " ms"),
        ("retry after ", "/retry_after_ms", " ms"),
        ("read by ", "/read_by", ""),
        ("answered by ", "/answered_by", ""),
    ] {
        let value = text(pointer);
        if !value.is_empty() {
            let _ = write!(outcome, ", {name}{value}{unit}");
        }
    }
    lines.push(outcome);
    lines.push(format!(
        "news of other hosts are at most {} ms old",
        text("/news_age_ms")
    ));
    lines.join("\n") + "\n"
}
