//! `key`: makes the salted hash of a key.

use std::io;

use serde_json::json;
use walnuthaven_lib::auth;

use crate::failure;
use crate::output;

/// Arguments of `key`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// A name for the key.
    name: String,
}

/// Reads a key from standard input and prints what a document or a settings file needs.
///
/// # Errors
///
/// Returns a failure if no key is given.
pub fn run(args: &Args, format: output::Format) -> Result<(), failure::Failure> {
    let mut key = String::new();
    let read = io::stdin().read_line(&mut key);
    let key = key.trim();
    if read.is_err() || key.is_empty() {
        let message = "give the key as one line on standard input";
        return Err(failure::Failure::Usage(message.into()));
    }
    let salt = salt()?;
    let hashed = auth::HashedKey::new(&args.name, &salt, key);
    match format {
        output::Format::Json => output::json(&json!(hashed)),
        output::Format::Table => println!("salt = {}\nsha256 = {}", hashed.salt, hashed.sha256),
    }
    Ok(())
}

fn salt() -> Result<String, failure::Failure> {
    use std::io::Read as _;
    let mut bytes = [0_u8; 16];
    let random = std::fs::File::open("/dev/urandom");
    random
        .and_then(|mut random| random.read_exact(&mut bytes))
        .map_err(|error| failure::Failure::Unavailable(format!("random numbers: {error}")))?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
