//! Rendezvous hashing: each key is assigned to the node with the highest score for it.
//!
//! When a node joins or leaves, only the keys that are assigned to it, before or after, move.

use xxhash_rust::xxh3;

/// Returns the score of a node for a key.
pub fn score(key: &str, node: &str) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    hasher.digest()
}

/// Returns the node with the highest score for the key, or `None` if there are no nodes.
pub fn choose<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    nodes.max_by_key(|node| (score(key, node), *node))
}

/// Returns up to `count` nodes in descending order of their score for the key.
pub fn ranked<'a>(key: &str, nodes: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut scored: Vec<_> = nodes.map(|node| (score(key, node), node)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.truncate(count);
    scored.into_iter().map(|(_, node)| node).collect()
}
