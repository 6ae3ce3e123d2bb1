//! Choice of a user's region (design 5.1): the conditions under which a region is eligible, and the weighted draw among
//! eligible regions.

use crate::load::RegionLoad;
use common::{Region, rendezvous};
use configuration::Policy;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a region is healthy for the service and not overloaded by the policy.
pub fn is_eligible(load: Option<&RegionLoad>, policy: &Policy) -> bool {
    load.is_some_and(|p| p.healthy && p.capacity > 0.0 && p.ratio() <= policy.max_load_ratio)
}

/// Weight of a region in the draw: its capacity by its consumption, both raised by `smooth` times the capacity.
pub fn weight(load: &RegionLoad, smooth: f64) -> f64 {
    let offset = load.capacity * smooth;
    if load.capacity > 0.0 { (load.capacity + offset) / (load.consumption.max(0.0) + offset) } else { 0.0 }
}

/// Regions that may be drawn, with their weights: eligible homes that `open_to` admits. It admits the router's own
/// region, and those for which the router holds a grant.
pub fn candidates(
    loads: &BTreeMap<Region, RegionLoad>,
    homes: &BTreeSet<Region>,
    policy: &Policy,
    open_to: &dyn Fn(&Region) -> bool,
) -> Vec<(Region, f64)> {
    homes
        .iter()
        .filter(|region| open_to(region))
        .filter_map(|region| {
            loads
                .get(region)
                .filter(|load| is_eligible(Some(load), policy))
                .map(|load| (region.clone(), weight(load, policy.smoothing)))
        })
        .collect()
}

/// Draws a region by weight; `unit` is a random number from 0 to 1.
pub fn draw(candidates: &[(Region, f64)], unit: f64) -> Option<Region> {
    rendezvous::pick_weighted(candidates, unit)
}

/// Draws by the same weights, with the user key in place of a random number (weighted rendezvous hashing). Routers that
/// can't reach the placement table agree without communication, and a change of weights moves few users.
pub fn draw_by_key(candidates: &[(Region, f64)], key: u64) -> Option<Region> {
    let score = |region: &Region, weight: f64| {
        let unit = rendezvous::seeded_unit(&[&key.to_le_bytes(), region.as_str().as_bytes()]);
        -weight / unit.max(f64::MIN_POSITIVE).ln()
    };
    candidates
        .iter()
        .max_by(|a, b| score(&a.0, a.1).total_cmp(&score(&b.0, b.1)))
        .map(|(region, _)| region.clone())
}
