//! How long a KV transfer between engines may take before it counts as stalled.

use std::time;

/// Bytes of KV cache for one prompt token.
pub const KV_BYTES_PER_TOKEN: u64 = 100_000;
/// A transfer counts as stalled after this many times its expected duration.
const STALL_FACTOR: u32 = 3;
/// Shortest time after which a transfer counts as stalled, unless the prefill engine's copy of the KV cache
/// (the export) expires too soon.
const MIN_STALL_LIMIT: time::Duration = time::Duration::from_millis(60);

/// Returns the expected duration of a transfer over a link of `link_mb_s` megabytes per second.
pub fn expected_duration(prompt_tokens: u32, link_mb_s: u32) -> time::Duration {
    let bytes = u64::from(prompt_tokens) * KV_BYTES_PER_TOKEN;
    let bytes_per_ms = u64::from(link_mb_s.max(1)) * 1_000;
    time::Duration::from_micros(bytes * 1_000 / bytes_per_ms)
}

/// Returns the time after which a transfer counts as stalled.
///
/// `export_left` is the time for which the prefill engine still keeps the KV cache to be fetched.
/// The limit is at most half of it, so that a second transfer can still be made from the same
/// export, but never less than one and a half times the expected duration.
pub fn stall_limit(expected: time::Duration, export_left: time::Duration) -> time::Duration {
    let usual_limit = (expected * STALL_FACTOR).max(MIN_STALL_LIMIT);
    let half_left = export_left / 2;
    usual_limit.min(half_left.max(expected + expected / 2))
}
