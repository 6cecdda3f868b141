//! Rendezvous (highest random weight) hashing.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

/// Returns the score of `node` for `key`; it is the same in every process.
pub fn rendezvous_score(key: impl Hash, node: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one((key, node))
}

/// Returns the `count` nodes with the highest scores for `key`, highest first.
pub fn rendezvous_top<T: Hash>(key: impl Hash + Copy, nodes: impl Iterator<Item = T>, count: usize) -> Vec<T> {
    let mut scored: Vec<_> = nodes.map(|node| (rendezvous_score(key, &node), node)).collect();
    scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.truncate(count);
    scored.into_iter().map(|(_, node)| node).collect()
}
