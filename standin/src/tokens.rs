//! The tokens that a stand-in engine generates. They are a function of prompt and position, so that
//! an answer can be compared byte for byte with the expected one.

use walnuthaven_lib::prefix;
use xxhash_rust::xxh3;

/// Returns the token at a position of the answer to a prompt with the given digest.
pub fn token(digest: u64, position: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), digest);
    format!(" {:05x}", hash & 0xf_ffff)
}

/// Returns the complete answer to a prompt, of `tokens` tokens.
pub fn answer(prompt: &str, tokens: u32) -> String {
    let digest = prefix::digest(prompt);
    (0..tokens)
        .map(|position| token(digest, position))
        .collect()
}
