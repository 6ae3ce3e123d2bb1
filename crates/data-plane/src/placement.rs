//! Placing a user (design 5.1, 5.3): the stored region where it grants the tests, else a draw
//! that is settled at the owner of the shard.

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

/// Where a request is to go, and whether it needs a pass to be there.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChoice {
    pub region: Region,
    pub stored: bool,
}

impl Router {
    fn owners(&self, shard: u16) -> Vec<Member> {
        singleton::ranked_holders(&self.cluster_state(), &format!("shard/{shard}"), None)
    }

    pub async fn choose_region(
        self: &Arc<Self>,
        p: &Plan,
        avoid: &BTreeSet<Region>,
    ) -> Option<PlacementChoice> {
        let g = &p.configuration;
        let pol = g.table.policy(&p.entry);
        let seen = self.region_loads(&g.table, &p.entry.to);
        let own = self.own_region(&g.table);
        let open_to = |r: &Region| {
            !avoid.contains(r)
                && (Some(r) == own.as_ref() || lock(&self.held_grants).has(r, &p.entry.to, self.now()))
        };
        let cands = candidates(&seen, &p.homes, pol, &open_to);
        let count = |how: &str| self.counters.placements.with_label_values(&[how]).inc();
        let Some(key) = p.key else {
            count("no key");
            return draw(&cands, common::runtime::random())
                .map(|region| PlacementChoice { region, stored: false });
        };
        let good = |r: &Region| p.homes.contains(r) && !avoid.contains(r) && is_eligible(seen.get(r), pol);
        let mut stale = None;
        if let Some(c) = self.cached(key, &p.entry.to) {
            if good(&c.region) {
                count("cached");
                return Some(PlacementChoice { region: c.region, stored: true });
            }
            stale = Some(c.version);
        }
        let pick = draw(&cands, common::runtime::random());
        for _ in 0..2 {
            let asked = self.now();
            match self
                .resolve(
                    key,
                    &p.entry.to,
                    stale,
                    pick.clone(),
                    pol.ttl_ms,
                    self.settings.timing.placement_timeout_ms(),
                )
                .await
            {
                Some(PlacementOutcome::Held { region, version, won }) => {
                    self.remember(key, &p.entry.to, &region, version, pol.ttl_ms, asked);
                    if won {
                        count(if stale.is_some() { "moved" } else { "drawn" });
                        return Some(PlacementChoice { region, stored: false });
                    }
                    if good(&region) {
                        count("stored");
                        return Some(PlacementChoice { region, stored: true });
                    }
                    stale = Some(version);
                }
                Some(PlacementOutcome::Empty) => return None,
                // The table is out of reach: what was heard last, else the draw that all
                // routers make alike.
                None => {
                    count("unreachable");
                    let last = lock(&self.placement_cache).get(&(key, p.entry.to.clone())).cloned();
                    let known = last.filter(|c| c.until > self.now() && good(&c.region));
                    return known.map(|c| PlacementChoice { region: c.region, stored: true }).or_else(|| {
                        draw_by_key(&cands, key.0).map(|region| PlacementChoice { region, stored: false })
                    });
                }
            }
        }
        // Others settled on regions that fail the tests here: go by the own draw, store nothing.
        pick.map(|region| PlacementChoice { region, stored: false })
    }

    /// A cached placement serves for a small part of its life without asking the owner, so
    /// that refreshes are coalesced and moves are heard of soon.
    fn cached(&self, key: UserKey, svc: &Service) -> Option<CachedPlacement> {
        let now = self.now();
        let c = lock(&self.placement_cache).get(&(key, svc.clone())).cloned()?;
        let fresh = (c.until.since(c.confirmed_at) / 180).min(5_000);
        (now.since(c.confirmed_at) < fresh).then_some(c)
    }

    fn remember(
        &self,
        key: UserKey,
        svc: &Service,
        region: &Region,
        version: u64,
        ttl_ms: u64,
        confirmed_at: Tick,
    ) {
        let c =
            CachedPlacement { region: region.clone(), version, confirmed_at, until: confirmed_at + ttl_ms };
        let mut g = lock(&self.placement_cache);
        if g.len() >= crate::placement_table::MAX_ROWS / 4 {
            g.retain(|_, c| c.until > confirmed_at);
        }
        g.insert((key, svc.clone()), c);
    }

    /// Asks the owner of the shard; `None` where it can't be reached within the small bound.
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
        let ask = RouterRequest::ResolvePlacement {
            fencing_token,
            key,
            service: service.clone(),
            stale,
            pick,
            ttl_ms,
        };
        match self.rpc_client.call_within(wait_ms, "resolve placement", owner.info.rpc_addr, ask).await {
            Ok(RouterResponse::Placement(s)) => Some(s),
            _ => None,
        }
    }

    /// The owner's side: settles and tells the followers of what it won.
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
        let (res, row) = {
            let mut t = lock(&self.placements);
            t.admit(shard, self.fencing_token(), fencing_token)
                .map_err(|f| format!("stale fence: {f} is known"))?;
            let res = t.resolve(key, service, stale, pick, ttl_ms, now);
            (res, t.row(key, service, now))
        };
        if let Some(row) = row {
            self.replicate_row(shard, fencing_token, owners, row);
        }
        Ok(res)
    }

    /// Two followers, in other zones where that can be had.
    fn replicate_row(
        self: &Arc<Self>,
        shard: u16,
        fencing_token: common::FencingToken,
        owners: Vec<Member>,
        row: PlacementRow,
    ) {
        let (far, near): (Vec<_>, Vec<_>) =
            owners.into_iter().skip(1).partition(|m| m.info.zone != *self.zone());
        for m in far.into_iter().chain(near).take(2) {
            let (me, rows) = (self.clone(), vec![row.clone()]);
            common::runtime::spawn(async move {
                let ask = RouterRequest::ReplicatePlacements { fencing_token, shard, rows };
                let _ = me.rpc_client.call("replicate placement", m.info.rpc_addr, ask).await;
            });
        }
    }

    /// A new owner gathers what the others hold of the shards that came to it.
    pub async fn fetch_shards(self: Arc<Self>) {
        let mut known: Vec<Option<String>> = vec![None; crate::placement_table::SHARDS as usize];
        let mut moved = self.member.applied.subscribe();
        loop {
            for shard in 0..crate::placement_table::SHARDS {
                let owners = self.owners(shard);
                let first = owners.first().map(|m| m.info.node.to_string());
                let was = std::mem::replace(&mut known[shard as usize], first.clone());
                if first == was || first.as_deref() != Some(self.node().as_str()) {
                    continue;
                }
                for m in owners.into_iter().skip(1).take(3) {
                    let (me, to) = (self.clone(), m.info.rpc_addr);
                    common::runtime::spawn(async move {
                        if let Ok(RouterResponse::Placements(rows)) =
                            me.rpc_client.call("fetch shard", to, RouterRequest::FetchShard { shard }).await
                        {
                            me.install_rows(rows);
                        }
                    });
                }
            }
            if moved.changed().await.is_err() {
                return;
            }
        }
    }

    pub fn install_rows(&self, rows: Vec<PlacementRow>) {
        let now: Tick = self.now();
        let mut t = lock(&self.placements);
        rows.into_iter().for_each(|c| t.install_row(c, now));
    }
}
