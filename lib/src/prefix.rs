//! Which engine has which prompt prefixes cached.
//!
//! A prompt is cut into blocks; each block's digest covers the blocks before it, so that equal
//! digests mean equal prefixes. Engines publish cache events late and some are lost. When one is
//! missing, all entries of that engine are dropped, because wrongly expecting a block to be cached
//! costs more than missing one that is.

use std::collections;

use xxhash_rust::xxh3;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block of a prefix.
pub const BLOCK_TOKENS: usize = 256;
/// Maximum number of blocks of a prompt that get a digest; the rest of a longer prompt is not looked up.
const MAX_BLOCKS: usize = 128;
/// Maximum number of blocks remembered for each engine; beyond that the ones stored first are forgotten.
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

/// A change in an engine's prefix cache. Blocks are given by their chained digests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The block was stored in the cache.
    Stored(u64),
    /// The block was evicted.
    Evicted(u64),
}

/// The blocks that one engine is believed to have cached.
#[derive(Debug, Default)]
pub struct Index {
    blocks: collections::HashSet<u64>,
    insertion_order: collections::VecDeque<u64>,
    next_event: Option<u64>,
}

impl Index {
    /// Applies the cache event with the given number. Events that were applied before are ignored.
    /// If events are missing before this one, all known blocks are dropped first.
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

    /// Adds the blocks of a prompt that the engine just prefilled, before its cache events say so.
    pub fn assume_cached(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.insert(*block);
        }
    }

    /// Returns how many tokens of the prompt with these blocks are expected to be cached.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        let hits = blocks
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count();
        u32::try_from(hits * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Forgets all blocks and the event number, as after a restart of the engine.
    pub fn reset(&mut self) {
        self.clear();
        self.next_event = None;
    }

    fn clear(&mut self) {
        self.blocks.clear();
        self.insertion_order.clear();
    }

    fn insert(&mut self, block: u64) {
        if !self.blocks.insert(block) {
            return;
        }
        self.insertion_order.push_back(block);
        if self.insertion_order.len() > MAX_BLOCKS_PER_ENGINE
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }
}
