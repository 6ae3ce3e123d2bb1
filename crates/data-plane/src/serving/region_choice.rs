//! The choice of the region that serves a request (design 9.4): the region in the placement table if it is healthy and
//! not overloaded, else a weighted draw among the regions that may serve it.

use super::{plan::Plan, replica_view::Candidate, state::Serving};
use crate::{
    load::RegionLoad,
    placement_table::{PlacementOutcome, UserKey},
    region_choice::{draw, draw_by_key, weight},
    router::{CachedPlacement, lock},
};
use common::Region;
use std::{collections::BTreeMap, sync::Arc};

/// How long a user stays placed in a region without being confirmed: 15 minutes.
pub const PLACEMENT_TTL_MS: u64 = 15 * 60_000;
/// A region is overloaded if its consumption is more than this fraction of its capacity.
pub const OVERLOAD_RATIO: f64 = 0.95;
/// Fraction of a region's capacity that is added to capacity and consumption in its weight, so that an idle region
/// does not get an infinite one.
pub const WEIGHT_SMOOTHING: f64 = 0.05;

/// The regions among which may be drawn, with their weights: those that are open, healthy and not overloaded.
pub fn candidates(
    seen: &BTreeMap<Region, RegionLoad>,
    open_to: &dyn Fn(&Region) -> bool,
) -> Vec<(Region, f64)> {
    let eligible = seen.iter().filter(|(r, l)| open_to(r) && l.is_eligible(OVERLOAD_RATIO));
    eligible.map(|(r, l)| (r.clone(), weight(l, WEIGHT_SMOOTHING))).collect()
}

impl Serving {
    /// Whether this router may send a request to a region: to its own, or to one that lends it capacity which is not
    /// used up. If the own region is not a home of the request, its home regions take it without lent capacity.
    fn open_to(&self, plan: &Plan, region: &Region, own_is_home: bool) -> bool {
        if *region == self.site.region || !own_is_home {
            return true;
        }
        let key = (region.clone(), plan.service.clone());
        let open = lock(&self.forwarded_open).get(&key).copied().unwrap_or(0);
        let view = self.replica_view.load();
        view.lending_grants.get(&key).is_some_and(|(n, until)| *until > self.now() && open < i64::from(*n))
    }

    /// The regions to try, in order; none that is not a home of the request.
    pub fn ranked_regions(self: &Arc<Self>, plan: &Plan, usable: &dyn Fn(&Candidate) -> bool) -> Vec<Region> {
        let home = |r: &Region| plan.is_home(r);
        let view = self.replica_view.load();
        let mut seen = view.region_loads(&plan.service, usable);
        seen.retain(|r, _| home(r));
        let own_is_home = home(&self.site.region);
        let open = |r: &Region| self.open_to(plan, r, own_is_home);
        let candidates = candidates(&seen, &open);
        // The own region first if it can take the request: lent capacity is for what it can't.
        let own: Vec<_> = candidates.iter().filter(|c| c.0 == self.site.region).cloned().collect();
        let candidates = if own.is_empty() { candidates } else { own };
        let first = match plan.user_key {
            Some(key) => self.placed_region(key, plan, &seen, &candidates),
            None => draw(&candidates, common::runtime::random()),
        };
        let mut rest: Vec<Region> =
            seen.keys().filter(|r| Some(*r) != first.as_ref() && open(r)).cloned().collect();
        rest.sort_by_key(|r| *r != self.site.region);
        first.into_iter().chain(rest).collect()
    }

    /// The region in which a user is placed, from the cached entry of the placement table. Without a valid entry all
    /// routers draw the same region by the user's key. The table is asked in the background, so that no request waits
    /// for it.
    fn placed_region(
        self: &Arc<Self>,
        key: UserKey,
        plan: &Plan,
        seen: &BTreeMap<Region, RegionLoad>,
        candidates: &[(Region, f64)],
    ) -> Option<Region> {
        let now = self.now();
        let cached = lock(&self.router.placement_cache).get(&(key, plan.service.clone())).cloned();
        let eligible = |r: &Region| seen.get(r).is_some_and(|l| l.is_eligible(OVERLOAD_RATIO));
        let valid = cached.as_ref().filter(|c| c.until > now && eligible(&c.region));
        let confirmed_lately =
            valid.is_some_and(|c| now.since(c.confirmed_at) < (PLACEMENT_TTL_MS / 180).min(5_000));
        let region = valid.map(|c| c.region.clone()).or_else(|| draw_by_key(candidates, key.0))?;
        if !confirmed_lately {
            let stale = cached.filter(|c| c.until > now && !eligible(&c.region)).map(|c| c.version);
            self.remember(
                key,
                plan,
                CachedPlacement {
                    region: region.clone(),
                    version: 0,
                    confirmed_at: now,
                    until: now + PLACEMENT_TTL_MS,
                },
            );
            let (me, service, proposed) = (self.clone(), plan.service.clone(), region.clone());
            common::runtime::spawn(async move {
                let asked_at = me.now();
                let outcome = me
                    .router
                    .resolve(
                        key,
                        &service,
                        stale,
                        Some(proposed),
                        PLACEMENT_TTL_MS,
                        me.router.settings.timing.rpc_timeout_ms,
                    )
                    .await;
                if let Some(PlacementOutcome::Held { region, version, .. }) = outcome {
                    let entry = CachedPlacement {
                        region,
                        version,
                        confirmed_at: asked_at,
                        until: asked_at + PLACEMENT_TTL_MS,
                    };
                    lock(&me.router.placement_cache).insert((key, service), entry);
                }
            });
        }
        Some(region)
    }

    /// Caches an entry; if the cache is large, drops those that have expired.
    fn remember(&self, key: UserKey, plan: &Plan, entry: CachedPlacement) {
        let mut cache = lock(&self.router.placement_cache);
        if cache.len() >= crate::placement_table::MAX_ROWS / 64 {
            cache.retain(|_, x| x.until > entry.confirmed_at);
        }
        cache.insert((key, plan.service.clone()), entry);
    }
}
