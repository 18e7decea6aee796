//! Measures the time that a host adds to the first token.
//!
//! Requests of the same size are sent alternately to the engines directly and through a host, so
//! that other load on the machine affects both alike.

use std::time;

use anyhow::Context as _;
use serde_json::json;
use walnuthaven_daemon::engine as protocol;
use walnuthaven_lib::engines;

use crate::client;
use crate::daemon_fleet;
use crate::experiment;
use crate::load;
use crate::report;
use crate::world;

const HOST_COUNT: usize = 3;
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const OUTPUT_TOKENS: u32 = 2;
const PROMPT_WORDS: usize = 100;

/// Sends `requests` requests each way and prints the percentiles of both, and the differences between
/// these percentiles, as one JSON object. Always returns `true`.
///
/// # Errors
///
/// Returns an error if a request fails.
pub async fn run(requests: u32) -> anyhow::Result<bool> {
    let world = world::World::start(&[world::User::Coop]).await?;
    let mut fleet = daemon_fleet::Fleet::new(&world.platform_url, "current", "overhead")?;
    for at in 0..HOST_COUNT {
        fleet.start(&format!("host-{at}"), world.zones()[at])?;
    }
    experiment::wait_until_ready(&fleet, HOST_COUNT).await?;
    let host_client = client::Client::new(world::User::Coop, "jabal", fleet.api_addresses())?;
    let client = protocol::Client::new()?;
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    for number in 0..requests {
        direct.push(first_token_direct(&world, &client, number).await?);
        routed.push(first_token_through_host(&host_client, number).await?);
    }
    let direct = report::percentiles(direct.into_iter());
    let routed = report::percentiles(routed.into_iter());
    let added = [0, 1, 2].map(|index| routed[index] - direct[index]);
    let body = json!({
        "requests": requests,
        "direct_ms": direct,
        "routed_ms": routed,
        "added_ms": added,
    });
    println!("{body}");
    Ok(true)
}

/// Returns a prompt that is different for each path (`direct` or `routed`) and number.
fn prompt(path: &str, number: u32) -> String {
    format!("{path} {number} ").repeat(PROMPT_WORDS / 3)
}

/// Runs a request on the engines directly. Returns the time to its first token.
async fn first_token_direct(
    world: &world::World,
    client: &protocol::Client,
    number: u32,
) -> anyhow::Result<time::Duration> {
    let find_engine = |role| {
        let mut engines = world.engines.iter().filter(move |e| e.spec.role == role);
        engines.next().context("no engine has the role")
    };
    let prefill = find_engine(engines::Role::Prefill)?.addr.to_string();
    let decode = find_engine(engines::Role::Decode)?.addr.to_string();
    let request = format!("direct-{number}");
    let to_error = |failure| anyhow::anyhow!("{request}: {failure:?}");
    let began = time::Instant::now();
    let call = protocol::Prefill {
        request: request.clone(),
        attempt: 1,
        home: "direct.1".into(),
        prompt: prompt("direct", number),
        generated: Vec::new(),
        priority: "normal".into(),
        repeatable: true,
    };
    let exported = client
        .prefill(&prefill, &call, CALL_TIMEOUT)
        .await
        .map_err(to_error)?;
    let call = protocol::Import {
        request: request.clone(),
        attempt: 1,
        home: "direct.1".into(),
        source: prefill,
        export: exported.export,
        tokens: exported.tokens,
        wait: false,
    };
    client
        .import(&decode, &call, CALL_TIMEOUT)
        .await
        .map_err(to_error)?;
    let call = protocol::Decode {
        request: request.clone(),
        attempt: 1,
        offset: 0,
        max_tokens: OUTPUT_TOKENS,
    };
    let mut stream = client
        .decode(&decode, &call, CALL_TIMEOUT)
        .await
        .map_err(to_error)?;
    stream.next().await.map_err(to_error)?;
    let first = began.elapsed();
    while stream
        .next()
        .await
        .map_err(to_error)?
        .iter()
        .all(|frame| !frame.done)
    {}
    Ok(first)
}

/// Sends a request to a host. Returns the time to its first token.
async fn first_token_through_host(
    client: &client::Client,
    number: u32,
) -> anyhow::Result<time::Duration> {
    let call = load::ModelRequest {
        service: "summary",
        priority: "normal",
        repeatable: true,
        prompt: prompt("routed", number),
        max_tokens: OUTPUT_TOKENS,
        disconnects_after: None,
    };
    let (host, id) = client
        .host_and_id(None)
        .await
        .context("no host is reachable")?;
    let to_error = |failure| anyhow::anyhow!("{id}: {failure:?}");
    let began = time::Instant::now();
    let mut events = client
        .generate(&host, &id, &call, 0)
        .await
        .map_err(to_error)?;
    events.next().await.map_err(to_error)?;
    let first = began.elapsed();
    while let Ok(events) = events.next().await {
        if events
            .iter()
            .any(|event| matches!(event, client::Event::Done))
        {
            break;
        }
    }
    Ok(first)
}
