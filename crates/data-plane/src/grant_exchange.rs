//! Lending at work (design 5.5): the grant issuer's singleton role, and the held grants that is kept filled.

use crate::{
    capacity_grant::{CapacityGrant, GrantUse},
    router::{Router, is_active_in, lock},
    rpc::{RouterRequest, RouterResponse},
};
use common::{NodeId, Region, Service};
use configuration::RoutingTable;
use control_plane::{Member, state_machine::singleton};
use std::{sync::Arc, time::Duration};

impl Router {
    /// The one router that lends for a region.
    pub fn issuer_for(&self, t: &RoutingTable, region: &Region) -> Option<Member> {
        let l = self.cluster_state();
        singleton::ranked_holders(&l, &format!("lender/{region}"), None)
            .into_iter()
            .find(|m| is_active_in(&l, t, m, region))
    }

    fn region_issued_here(&self, t: &RoutingTable) -> Option<Region> {
        let own = self.own_region(t)?;
        self.issuer_for(t, &own).filter(|m| m.info.node == *self.node()).map(|_| own)
    }

    /// Watches the own region while this node lends for it.
    pub async fn run_grant_issuer(self: Arc<Self>) {
        let mut wakeup =
            tokio::time::interval(Duration::from_millis(self.settings.timing.report_interval_ms()));
        loop {
            wakeup.tick().await;
            let Some(g) = self.configuration.load_full() else { continue };
            let fencing_token = self.fencing_token();
            let holds = self.region_issued_here(&g.table).is_some();
            let well = holds
                && self.member.has_lease()
                && g.table.services.keys().any(|s| !self.own_replicas(&g.table, s).is_empty());
            let mut l = lock(&self.grant_issuer);
            if holds {
                l.set_fencing_token(fencing_token);
            }
            l.observe(well, self.now());
        }
    }

    /// Grants from measured headroom; nothing until the region was well for a full set of checks.
    pub fn grant(
        &self,
        region: &Region,
        svc: &Service,
        node: &NodeId,
    ) -> Result<Option<CapacityGrant>, &'static str> {
        let g = self.configuration.load_full().ok_or("no configuration")?;
        if self.region_issued_here(&g.table).as_ref() != Some(region) {
            return Err("not the lender");
        }
        let now = self.now();
        let full_set = self.settings.timing.report_max_age_ms();
        let over = g.table.policies.iter().map(|p| p.overload).fold(1.0, f64::min);
        // A cold replica lends nothing.
        let room: f64 = self
            .own_replicas(&g.table, svc)
            .iter()
            .filter(|c| c.load.allowance.is_none())
            .map(|c| c.load.capacity * over - c.consumption())
            .sum();
        let l = self.cluster_state();
        let askers =
            l.routers().into_iter().filter(|m| g.table.region_of(&m.info.zone) != Some(region)).count();
        let tun = &g.table.tuning;
        let mut grant_issuer = lock(&self.grant_issuer);
        if !grant_issuer.is_healthy(now, full_set) {
            return Ok(None);
        }
        let pass = grant_issuer.grant(region, svc, node, room * tun.lend_share, askers, tun.grant_ms, now);
        self.counters.grants.inc_by(&["granted"], pass.as_ref().map_or(0, |p| u64::from(p.count)));
        Ok(pass)
    }

    pub async fn redeem(&self, s: &GrantUse) -> Result<(), &'static str> {
        let g = self.configuration.load_full().ok_or("no configuration")?;
        let grant_issuer = self.issuer_for(&g.table, &s.region).ok_or("no lender")?;
        let res = if grant_issuer.info.node == *self.node() {
            self.redeem_locally(s)
        } else {
            let ask = RouterRequest::RedeemGrant { spent: s.clone() };
            match self.rpc_client.call("redeem grant", grant_issuer.info.rpc_addr, ask).await {
                Ok(RouterResponse::Done) => Ok(()),
                Ok(RouterResponse::Rejected(_)) => Err("pass not good"),
                _ => Err("lender unreachable"),
            }
        };
        self.counters.grants.inc(&[res.err().unwrap_or("redeemed")]);
        res
    }

    pub fn redeem_locally(&self, s: &GrantUse) -> Result<(), &'static str> {
        let g = self.configuration.load_full().ok_or("no configuration")?;
        self.region_issued_here(&g.table).ok_or("not the lender")?;
        lock(&self.grant_issuer).redeem(s, self.now())
    }

    /// Asks each other region for grants, three times within the life of one.
    pub async fn renew_held_grants(self: Arc<Self>) {
        loop {
            let Some(g) = self.configuration.load_full() else {
                tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms())).await;
                continue;
            };
            let own = self.own_region(&g.table);
            for region in g.table.regions().into_iter().filter(|r| Some(r) != own.as_ref()) {
                let Some(grant_issuer) = self.issuer_for(&g.table, &region) else { continue };
                for svc in g.table.services.keys() {
                    let (me, region, svc) = (self.clone(), region.clone(), svc.clone());
                    let to = grant_issuer.info.rpc_addr;
                    common::runtime::spawn(async move {
                        let asked = me.now();
                        let ask = RouterRequest::RequestGrant {
                            region: region.clone(),
                            service: svc.clone(),
                            node: me.node().clone(),
                        };
                        if let Ok(RouterResponse::Grant(p)) =
                            me.rpc_client.call("request grant", to, ask).await
                        {
                            lock(&me.held_grants).put(&region, &svc, p, asked);
                        }
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(g.table.tuning.grant_ms / 3)).await;
        }
    }
}
