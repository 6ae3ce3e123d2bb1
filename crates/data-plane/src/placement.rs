//! Placement of users in regions (design 5.1, 5.3): a user stays in the stored region while that is eligible. Otherwise
//! a region is drawn, and the owner of the user's shard decides between concurrent draws.

use crate::{
    placement_table::{PlacementOutcome, PlacementRow, UserKey},
    plan::Plan,
    region_choice::{candidates, draw, draw_by_key, is_eligible},
    router::{CachedPlacement, Router, lock},
    rpc::{RouterRequest, RouterResponse},
};
use common::{Region, Service, Tick};
use control_plane::{Member, state_machine::singleton};
use std::{collections::BTreeSet, sync::Arc};

/// The region that a request is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChoice {
    /// The region.
    pub region: Region,
    /// Whether the user was already placed there. Otherwise a request to another region needs a capacity grant.
    pub stored: bool,
}

/// The role of a shard's owner.
fn shard_role(shard: u16) -> String {
    format!("shard/{shard}")
}

impl Router {
    /// Routers in the order in which they own a shard: the first is its owner, the next are its followers.
    pub(crate) fn owners(&self, shard: u16) -> Vec<Member> {
        singleton::ranked_holders(&self.cluster_state(), &shard_role(shard), None)
    }

    /// Whether this node is the owner of a shard.
    pub(crate) fn owns(&self, shard: u16) -> bool {
        let owner = singleton::holder_of(&self.cluster_state(), &shard_role(shard), None);
        owner.is_some_and(|role| role.holder.info.node == *self.node())
    }

    /// Chooses the region for a request, other than those in `avoid`.
    pub async fn choose_region(
        self: &Arc<Self>,
        plan: &Plan,
        avoid: &BTreeSet<Region>,
    ) -> Option<PlacementChoice> {
        let (table, service) = (&plan.configuration.table, &plan.entry.service);
        let policy = table.policy(&plan.entry);
        let loads = self.region_loads(table, service);
        let own = self.own_region(table);
        let open_to = |region: &Region| {
            !avoid.contains(region)
                && (Some(region) == own.as_ref() || lock(&self.held_grants).has(region, service, self.now()))
        };
        let candidates = candidates(&loads, &plan.homes, policy, &open_to);
        let count = |how: &str| self.counters.placements.with_label_values(&[how]).inc();
        let Some(key) = plan.key else {
            count("no key");
            return draw(&candidates, common::runtime::random())
                .map(|region| PlacementChoice { region, stored: false });
        };
        let usable =
            |r: &Region| plan.homes.contains(r) && !avoid.contains(r) && is_eligible(loads.get(r), policy);
        let mut stale = None;
        if let Some(cached) = self.cached(key, service) {
            if usable(&cached.region) {
                count("cached");
                return Some(PlacementChoice { region: cached.region, stored: true });
            }
            stale = Some(cached.version);
        }
        let pick = draw(&candidates, common::runtime::random());
        for _ in 0..2 {
            let requested_at = self.now();
            match self
                .resolve(
                    key,
                    service,
                    stale,
                    pick.clone(),
                    policy.ttl_ms,
                    self.settings.timing.placement_timeout_ms(),
                )
                .await
            {
                Some(PlacementOutcome::Held { region, version, won }) => {
                    self.cache_placement(key, service, &region, version, policy.ttl_ms, requested_at);
                    if won {
                        count(if stale.is_some() { "moved" } else { "drawn" });
                        return Some(PlacementChoice { region, stored: false });
                    }
                    if usable(&region) {
                        count("stored");
                        return Some(PlacementChoice { region, stored: true });
                    }
                    stale = Some(version);
                }
                Some(PlacementOutcome::Empty) => return None,
                // The owner is unreachable: the placement that was cached last, else the draw by user key, on
                // which all routers agree.
                None => {
                    count("unreachable");
                    let cached = lock(&self.placement_cache).get(&(key, service.clone())).cloned();
                    let valid = cached.filter(|c| c.until > self.now() && usable(&c.region));
                    return valid.map(|c| PlacementChoice { region: c.region, stored: true }).or_else(|| {
                        draw_by_key(&candidates, key.0)
                            .map(|region| PlacementChoice { region, stored: false })
                    });
                }
            }
        }
        // The stored regions are not usable here, though others chose them: use the region drawn here, without
        // storing it.
        pick.map(|region| PlacementChoice { region, stored: false })
    }

    /// A cached placement that needs no confirmation by the owner yet. That holds for 1/180 of its time to live, and
    /// 5 s at most, so that refreshes are coalesced, and moves of the user become known soon.
    fn cached(&self, key: UserKey, service: &Service) -> Option<CachedPlacement> {
        let now = self.now();
        let cached = lock(&self.placement_cache).get(&(key, service.clone())).cloned()?;
        let fresh_ms = (cached.until.since(cached.confirmed_at) / 180).min(5_000);
        (now.since(cached.confirmed_at) < fresh_ms).then_some(cached)
    }

    fn cache_placement(
        &self,
        key: UserKey,
        service: &Service,
        region: &Region,
        version: u64,
        ttl_ms: u64,
        confirmed_at: Tick,
    ) {
        let until = confirmed_at + ttl_ms;
        let placement = CachedPlacement { region: region.clone(), version, confirmed_at, until };
        let mut cache = lock(&self.placement_cache);
        if cache.len() >= crate::placement_table::MAX_ROWS / 4 {
            cache.retain(|_, cached| cached.until > confirmed_at);
        }
        cache.insert((key, service.clone()), placement);
    }

    /// Asks the owner of the shard where a user is placed; `None` if it gives no answer within `wait_ms`.
    pub(crate) async fn resolve(
        self: &Arc<Self>,
        key: UserKey,
        service: &Service,
        stale: Option<u64>,
        pick: Option<Region>,
        ttl_ms: u64,
        wait_ms: u64,
    ) -> Option<PlacementOutcome> {
        let shard = key.shard(service);
        let owner = self.owners(shard).into_iter().next()?;
        let fencing_token = self.fencing_token();
        if owner.info.node == *self.node() {
            return self.resolve_locally(fencing_token, key, service, stale, pick, ttl_ms).ok();
        }
        let request = RouterRequest::ResolvePlacement {
            fencing_token,
            key,
            service: service.clone(),
            stale,
            pick,
            ttl_ms,
        };
        match self.rpc_client.call_within(wait_ms, "resolve placement", owner.info.rpc_addr, request).await {
            Ok(RouterResponse::Placement(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Answers as the owner of the shard, and replicates the row to the followers.
    pub fn resolve_locally(
        self: &Arc<Self>,
        fencing_token: common::FencingToken,
        key: UserKey,
        service: &Service,
        stale: Option<u64>,
        pick: Option<Region>,
        ttl_ms: u64,
    ) -> Result<PlacementOutcome, String> {
        let shard = key.shard(service);
        let owners = self.owners(shard);
        if owners.first().is_none_or(|m| m.info.node != *self.node()) {
            return Err("not the owner".into());
        }
        let now = self.now();
        let (outcome, row) = {
            let mut table = lock(&self.placements);
            table
                .admit(shard, self.fencing_token(), fencing_token)
                .map_err(|f| format!("stale fence: {f} is known"))?;
            let outcome = table.resolve(key, service, stale, pick, ttl_ms, now);
            (outcome, table.row(key, service, now))
        };
        if let Some(row) = row {
            self.replicate_row(shard, fencing_token, owners, row);
        }
        Ok(outcome)
    }

    /// Sends a row to two followers, in other zones where there are such.
    fn replicate_row(
        self: &Arc<Self>,
        shard: u16,
        fencing_token: common::FencingToken,
        owners: Vec<Member>,
        row: PlacementRow,
    ) {
        let (other_zones, own_zone): (Vec<_>, Vec<_>) =
            owners.into_iter().skip(1).partition(|m| m.info.zone != *self.zone());
        for follower in other_zones.into_iter().chain(own_zone).take(2) {
            let (me, rows) = (self.clone(), vec![row.clone()]);
            common::runtime::spawn(async move {
                let request = RouterRequest::ReplicatePlacements { fencing_token, shard, rows };
                let _ = me.rpc_client.call("replicate placement", follower.info.rpc_addr, request).await;
            });
        }
    }

    /// Stores copies of rows from another router.
    pub fn install_rows(&self, rows: Vec<PlacementRow>) {
        let now: Tick = self.now();
        let mut table = lock(&self.placements);
        rows.into_iter().for_each(|row| table.install_row(row, now));
    }
}
