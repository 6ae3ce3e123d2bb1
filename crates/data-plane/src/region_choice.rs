//! The source's rule (design 5.1): tests for reuse, and the weighted draw.

use crate::load::RegionLoad;
use common::{Region, rendezvous};
use configuration::Policy;
use std::collections::{BTreeMap, BTreeSet};

/// Region healthy, model healthy there, and not overloaded.
pub fn is_eligible(p: Option<&RegionLoad>, pol: &Policy) -> bool {
    p.is_some_and(|p| p.healthy && p.capacity > 0.0 && p.ratio() <= pol.overload)
}

pub fn weight(p: &RegionLoad, smooth: f64) -> f64 {
    let s = p.capacity * smooth;
    if p.capacity > 0.0 { (p.capacity + s) / (p.consumption.max(0.0) + s) } else { 0.0 }
}

/// Regions that a draw may take: inside the homes, passing the tests, and either the own one
/// or one whose lending pass is in hand.
pub fn candidates(
    seen: &BTreeMap<Region, RegionLoad>,
    homes: &BTreeSet<Region>,
    pol: &Policy,
    open_to: &dyn Fn(&Region) -> bool,
) -> Vec<(Region, f64)> {
    homes
        .iter()
        .filter(|r| open_to(r))
        .filter_map(|r| {
            seen.get(r).filter(|p| is_eligible(Some(p), pol)).map(|p| (r.clone(), weight(p, pol.smooth)))
        })
        .collect()
}

pub fn draw(cands: &[(Region, f64)], unit: f64) -> Option<Region> {
    rendezvous::pick_weighted(cands, unit)
}

/// The same weights, but drawn by the user key: routers that cannot reach the table agree
/// without talking, and a change of weights moves few users (weighted rendezvous).
pub fn draw_by_key(cands: &[(Region, f64)], key: u64) -> Option<Region> {
    let score = |r: &Region, w: f64| {
        let u = rendezvous::seeded_unit(&[&key.to_le_bytes(), r.as_str().as_bytes()]).max(f64::MIN_POSITIVE);
        -w / u.ln()
    };
    cands.iter().max_by(|a, b| score(&a.0, a.1).total_cmp(&score(&b.0, b.1))).map(|(r, _)| r.clone())
}
