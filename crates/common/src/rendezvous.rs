//! Rendezvous ranking, the same on every node (design 3.2).

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A keyed, stable 64-bit hash; not the standard library's, whose result may change.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut h = SipHasher13::new_with_keys(0x666f_6c64, 0x7368_756e);
    for p in parts {
        h.write_u64(p.len() as u64);
        h.write(p);
    }
    h.finish()
}

/// Orders `nodes` by their claim on `key`, the strongest first.
pub fn ranked<'a, T>(key: &str, nodes: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut v: Vec<(u64, &T)> =
        nodes.iter().map(|n| (stable_hash(&[key.as_bytes(), name(n).as_bytes()]), n)).collect();
    v.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    v.into_iter().map(|(_, n)| n).collect()
}

/// A draw in [0,1) that every node makes alike from the same seed.
pub fn seeded_unit(parts: &[&[u8]]) -> f64 {
    (stable_hash(parts) >> 11) as f64 / (1u64 << 53) as f64
}

/// Picks one of the weighted items with a point in [0,1).
pub fn pick_weighted<T: Clone>(items: &[(T, f64)], unit: f64) -> Option<T> {
    let total: f64 = items.iter().map(|(_, w)| w.max(0.0)).sum();
    let mut left = unit * total;
    items
        .iter()
        .find(|(_, w)| {
            left -= w.max(0.0);
            left < 0.0
        })
        .or(items.last())
        .map(|(t, _)| t.clone())
}
