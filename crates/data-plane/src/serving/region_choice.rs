//! Which region serves a request (design 9.4): the table's entry where it grants the tests, else
//! the weighted draw among the regions that may.

use super::{plan::Plan, replica_view::Candidate, state::Serving};
use crate::{
    load::RegionLoad,
    placement_table::{PlacementOutcome, UserKey},
    region_choice::{draw, draw_by_key, weight},
    router::{CachedPlacement, lock},
};
use common::Region;
use std::{collections::BTreeMap, sync::Arc};

/// The source's values (design 0): 15 minutes, 0.95 and 0.05.
pub const TTL_MS: u64 = 15 * 60_000;
pub const OVERLOAD: f64 = 0.95;
pub const SMOOTH: f64 = 0.05;

/// Regions that a draw may take, with their weights.
pub fn candidates(
    seen: &BTreeMap<Region, RegionLoad>,
    open_to: &dyn Fn(&Region) -> bool,
) -> Vec<(Region, f64)> {
    let fit = seen.iter().filter(|(r, l)| open_to(r) && l.is_eligible(OVERLOAD));
    fit.map(|(r, l)| (r.clone(), weight(l, SMOOTH))).collect()
}

impl Serving {
    /// Whether this router may send work to a region: its own, or one whose pass is in hand. Where
    /// the homes leave the own region out, the others are home.
    fn open_to(&self, p: &Plan, r: &Region, own_is_home: bool) -> bool {
        if *r == self.site.region || !own_is_home {
            return true;
        }
        let at = (r.clone(), p.service.clone());
        let open = lock(&self.forwarded_open).get(&at).copied().unwrap_or(0);
        let fleet = self.replica_view.load();
        fleet.lending_grants.get(&at).is_some_and(|(n, until)| *until > self.now() && open < i64::from(*n))
    }

    /// Regions in the order in which they should be tried; none outside the homes.
    pub fn ranked_regions(self: &Arc<Self>, p: &Plan, usable: &dyn Fn(&Candidate) -> bool) -> Vec<Region> {
        let home = |r: &Region| p.is_home(r);
        let fleet = self.replica_view.load();
        let mut seen = fleet.region_loads(&p.service, usable);
        seen.retain(|r, _| home(r));
        let own_is_home = home(&self.site.region);
        let open = |r: &Region| self.open_to(p, r, own_is_home);
        let cands = candidates(&seen, &open);
        // The own region first, where it is among them: a pass is for what it cannot take.
        let own: Vec<_> = cands.iter().filter(|c| c.0 == self.site.region).cloned().collect();
        let cands = if own.is_empty() { cands } else { own };
        let first = match p.user_key {
            Some(key) => self.placed(key, p, &seen, &cands),
            None => draw(&cands, common::runtime::random()),
        };
        let mut rest: Vec<Region> =
            seen.keys().filter(|r| Some(*r) != first.as_ref() && open(r)).cloned().collect();
        rest.sort_by_key(|r| *r != self.site.region);
        first.into_iter().chain(rest).collect()
    }

    /// The table's word for a user; a miss is drawn alike by all routers and settled behind the
    /// request, so that nobody waits for the table.
    fn placed(
        self: &Arc<Self>,
        key: UserKey,
        p: &Plan,
        seen: &BTreeMap<Region, RegionLoad>,
        cands: &[(Region, f64)],
    ) -> Option<Region> {
        let now = self.now();
        let known = lock(&self.router.placement_cache).get(&(key, p.service.clone())).cloned();
        let good = |r: &Region| seen.get(r).is_some_and(|l| l.is_eligible(OVERLOAD));
        let valid = known.as_ref().filter(|c| c.until > now && good(&c.region));
        let fresh = valid.is_some_and(|c| now.since(c.confirmed_at) < (TTL_MS / 180).min(5_000));
        let pick = valid.map(|c| c.region.clone()).or_else(|| draw_by_key(cands, key.0))?;
        if !fresh {
            let stale = known.filter(|c| c.until > now && !good(&c.region)).map(|c| c.version);
            self.remember(
                key,
                p,
                CachedPlacement { region: pick.clone(), version: 0, confirmed_at: now, until: now + TTL_MS },
            );
            let (me, svc, pick) = (self.clone(), p.service.clone(), pick.clone());
            common::runtime::spawn(async move {
                let asked = me.now();
                let told = me
                    .router
                    .resolve(key, &svc, stale, Some(pick), TTL_MS, me.router.settings.timing.rpc_timeout_ms)
                    .await;
                if let Some(PlacementOutcome::Held { region, version, .. }) = told {
                    let c = CachedPlacement { region, version, confirmed_at: asked, until: asked + TTL_MS };
                    lock(&me.router.placement_cache).insert((key, svc), c);
                }
            });
        }
        Some(pick)
    }

    fn remember(&self, key: UserKey, p: &Plan, c: CachedPlacement) {
        let mut g = lock(&self.router.placement_cache);
        if g.len() >= crate::placement_table::MAX_ROWS / 64 {
            g.retain(|_, x| x.until > c.confirmed_at);
        }
        g.insert((key, p.service.clone()), c);
    }
}
