//! How long a KV transfer between engines may take before it counts as stalled.

use std::time;

/// Bytes of KV cache for one prompt token.
pub const KV_BYTES_PER_TOKEN: u64 = 100_000;
const STALL_FACTOR: u32 = 3;
const MIN_STALL: time::Duration = time::Duration::from_millis(60);

/// Returns the expected duration of a transfer over a link of `link_mb_s` megabytes per second.
pub fn expected_duration(prompt_tokens: u32, link_mb_s: u32) -> time::Duration {
    let bytes = u64::from(prompt_tokens) * KV_BYTES_PER_TOKEN;
    let bytes_per_ms = u64::from(link_mb_s.max(1)) * 1_000;
    time::Duration::from_micros(bytes * 1_000 / bytes_per_ms)
}

/// Returns the time after which a transfer counts as stalled. It stays below what is left of the
/// export's life, so that a second transfer can still be made from the same export.
pub fn stall_limit(expected: time::Duration, export_left: time::Duration) -> time::Duration {
    let patient = (expected * STALL_FACTOR).max(MIN_STALL);
    let half_left = export_left / 2;
    patient.min(half_left.max(expected + expected / 2))
}
