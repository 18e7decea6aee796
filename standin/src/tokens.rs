//! The tokens that a stand-in engine generates: a function of content and position, so that every
//! byte of an answer can be compared with what the engine produced.

use walnuthaven_lib::prefix;
use xxhash_rust::xxh3;

/// Returns a token of the answer to a prompt with the given digest.
pub fn token(digest: u64, position: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), digest);
    format!(" {:05x}", hash & 0xf_ffff)
}

/// Returns the whole answer to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    let digest = prefix::digest(prompt);
    (0..tokens)
        .map(|position| token(digest, position))
        .collect()
}
