//! Which engine has which prompt prefixes cached.
//!
//! A prompt is cut into blocks; each block's digest covers the blocks before it, so that equal
//! digests mean equal prefixes. Engines publish cache events late and with gaps: after a gap the
//! entries of that engine are dropped, because a wrong hit costs more than a missed one.

use std::collections;

use xxhash_rust::xxh3;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block of a prefix.
pub const BLOCK_TOKENS: usize = 256;
const MAX_BLOCKS: usize = 128;
const MAX_BLOCKS_PER_ENGINE: usize = 8192;

/// Returns the estimated number of tokens of a prompt.
pub fn estimated_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the digest of a prompt's whole content.
pub fn digest(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Returns the chained digests of the whole blocks of a prompt, longest prefix last.
pub fn block_digests(prompt: &str) -> Vec<u64> {
    let mut previous = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN)
        .take(MAX_BLOCKS)
        .map(|block| {
            previous = xxh3::xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}

/// A change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The block is cached.
    Stored(u64),
    /// The block was evicted.
    Evicted(u64),
}

/// The cached blocks of one engine, as far as its events tell.
#[derive(Debug, Default)]
pub struct Index {
    blocks: collections::HashSet<u64>,
    order: collections::VecDeque<u64>,
    next_event: Option<u64>,
}

impl Index {
    /// Applies the event with the given number. After a gap the older entries are dropped.
    pub fn apply(&mut self, number: u64, change: Change) {
        match self.next_event {
            Some(next) if number < next => return,
            Some(next) if number > next => self.clear(),
            _ => {}
        }
        self.next_event = Some(number + 1);
        match change {
            Change::Stored(block) => self.insert(block),
            Change::Evicted(block) => {
                self.blocks.remove(&block);
            }
        }
    }

    /// Notes that a prompt was computed on the engine, ahead of the engine's own events.
    pub fn assume_cached(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.insert(*block);
        }
    }

    /// Returns how many tokens of the prompt are expected to be cached.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        let hits = blocks
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count();
        u32::try_from(hits * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Forgets everything, as after a restart of the engine.
    pub fn reset(&mut self) {
        self.clear();
        self.next_event = None;
    }

    fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    fn insert(&mut self, block: u64) {
        if !self.blocks.insert(block) {
            return;
        }
        self.order.push_back(block);
        if self.order.len() > MAX_BLOCKS_PER_ENGINE
            && let Some(oldest) = self.order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }
}
