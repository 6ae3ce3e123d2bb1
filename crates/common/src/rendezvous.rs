//! Rendezvous hashing (design 3.2) and pseudorandom draws that give the same result on every node without messages.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Keys of [`stable_hash`]. They must never change, because nodes of different versions must compute the same hashes.
const HASH_KEYS: (u64, u64) = (0x666f_6c64, 0x7368_756e);

/// A keyed 64-bit hash that is the same in all versions, unlike the standard library's default hasher.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

/// The rendezvous weight of a node for a key.
fn weight(key: &str, node: &str) -> u64 {
    stable_hash(&[key.as_bytes(), node.as_bytes()])
}

/// Orders `nodes` by their rendezvous weight for `key`, highest first; ties are broken by name.
pub fn ranked<'a, T>(key: &str, nodes: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut weighted: Vec<(u64, &T)> = nodes.iter().map(|node| (weight(key, name(node)), node)).collect();
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// The first node in the order of [`ranked`], found without sorting.
pub fn first_ranked<'a, T: ?Sized>(
    key: &str,
    nodes: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let weighted = nodes.map(|node| (weight(key, name(node)), node));
    let first = weighted.max_by(|a, b| a.0.cmp(&b.0).then_with(|| name(b.1).cmp(name(a.1))));
    first.map(|(_, node)| node)
}

/// A pseudorandom number in \[0, 1) that depends only on the seed, so that every node gets the same one.
pub fn seeded_unit(seed: &[&[u8]]) -> f64 {
    (stable_hash(seed) >> 11) as f64 / (1u64 << 53) as f64
}

/// Picks an item by weight; `unit` is a random number in \[0, 1).
pub fn pick_weighted<T: Clone>(items: &[(T, f64)], unit: f64) -> Option<T> {
    let total: f64 = items.iter().map(|(_, weight)| weight.max(0.0)).sum();
    let mut remaining = unit * total;
    let picked = items.iter().find(|(_, weight)| {
        remaining -= weight.max(0.0);
        remaining < 0.0
    });
    picked.or(items.last()).map(|(item, _)| item.clone())
}
