//! `key`: computes the salted hash of a key.

use std::io;

use serde_json::json;
use walnuthaven_lib::auth;

use crate::failure;
use crate::output;

/// Arguments of `key`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Name of the key.
    name: String,
}

/// Reads a key from standard input and prints the salt and hash for a document or a settings file.
///
/// # Errors
///
/// Returns a failure if no key is given or no random salt can be read.
pub fn run(args: &Args, format: output::Format) -> Result<(), failure::Failure> {
    let mut key = String::new();
    let read = io::stdin().read_line(&mut key);
    let key = key.trim();
    if read.is_err() || key.is_empty() {
        let message = "give the key as one line on standard input";
        return Err(failure::Failure::Usage(message.into()));
    }
    let salt = random_salt()?;
    let hashed = auth::HashedKey::new(&args.name, &salt, key);
    match format {
        output::Format::Json => output::json(&json!(hashed)),
        output::Format::Table => println!("salt = {}\nsha256 = {}", hashed.salt, hashed.sha256),
    }
    Ok(())
}

/// Returns 16 random bytes in hexadecimal.
fn random_salt() -> Result<String, failure::Failure> {
    use std::io::Read as _;
    let mut bytes = [0_u8; 16];
    let random = std::fs::File::open("/dev/urandom");
    random
        .and_then(|mut random| random.read_exact(&mut bytes))
        .map_err(|error| {
            failure::Failure::Unavailable(format!("reading random numbers: {error}"))
        })?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
