//! Exchange of capacity grants between regions (design 5.5): the singleton role of a region's grant issuer, and the
//! renewal of the grants that this node holds.

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
    /// The one router that issues grants for a region.
    pub fn issuer_for(&self, table: &RoutingTable, region: &Region) -> Option<Member> {
        let state = self.cluster_state();
        singleton::ranked_holders(&state, &format!("lender/{region}"), None)
            .into_iter()
            .find(|m| is_active_in(&state, table, m, region))
    }

    /// The region that this node issues grants for, if any.
    fn region_as_issuer(&self, table: &RoutingTable) -> Option<Region> {
        let own = self.own_region(table)?;
        self.issuer_for(table, &own).filter(|m| m.info.node == *self.node()).map(|_| own)
    }

    /// Observes the health of this node's region while it is the region's grant issuer.
    pub async fn run_grant_issuer(self: Arc<Self>) {
        let mut ticks =
            tokio::time::interval(Duration::from_millis(self.settings.timing.report_interval_ms()));
        loop {
            ticks.tick().await;
            let Some(configuration) = self.configuration.load_full() else { continue };
            let table = &configuration.table;
            let fencing_token = self.fencing_token();
            let holds = self.region_as_issuer(table).is_some();
            let healthy = holds
                && self.member.has_lease()
                && table.services.keys().any(|service| !self.own_replicas(table, service).is_empty());
            let mut issuer = lock(&self.grant_issuer);
            if holds {
                issuer.set_fencing_token(fencing_token);
            }
            issuer.observe(healthy, self.now());
        }
    }

    /// Grants a router a share of the region's measured free capacity; nothing before the region was healthy for as
    /// long as a load report is valid.
    pub fn grant(
        &self,
        region: &Region,
        service: &Service,
        node: &NodeId,
    ) -> Result<Option<CapacityGrant>, &'static str> {
        let configuration = self.configuration.load_full().ok_or("no configuration")?;
        let table = &configuration.table;
        if self.region_as_issuer(table).as_ref() != Some(region) {
            return Err("not the lender");
        }
        let now = self.now();
        let min_healthy_ms = self.settings.timing.report_max_age_ms();
        let overload = table.policies.iter().map(|p| p.max_load_ratio).fold(1.0, f64::min);
        // Replicas in slow start have no capacity to grant.
        let free_capacity: f64 = self
            .own_replicas(table, service)
            .iter()
            .filter(|c| c.load.allowance.is_none())
            .map(|c| c.load.capacity * overload - c.consumption())
            .sum();
        let state = self.cluster_state();
        let requesters =
            state.routers().into_iter().filter(|m| table.region_of(&m.info.zone) != Some(region)).count();
        let tuning = &table.tuning;
        let mut issuer = lock(&self.grant_issuer);
        if !issuer.is_healthy(now, min_healthy_ms) {
            return Ok(None);
        }
        let share = free_capacity * tuning.lend_share;
        let granted = issuer.grant(region, service, node, share, requesters, tuning.grant_ttl_ms, now);
        self.counters.grants.inc_by(&["granted"], granted.as_ref().map_or(0, |p| u64::from(p.count)));
        Ok(granted)
    }

    /// Has the region's grant issuer check one use of a grant.
    pub async fn redeem(&self, used: &GrantUse) -> Result<(), &'static str> {
        let configuration = self.configuration.load_full().ok_or("no configuration")?;
        let issuer = self.issuer_for(&configuration.table, &used.region).ok_or("no lender")?;
        let result = if issuer.info.node == *self.node() {
            self.redeem_locally(used)
        } else {
            let request = RouterRequest::RedeemGrant { spent: used.clone() };
            match self.rpc_client.call("redeem grant", issuer.info.rpc_addr, request).await {
                Ok(RouterResponse::Done) => Ok(()),
                Ok(RouterResponse::Rejected(_)) => Err("pass not good"),
                _ => Err("lender unreachable"),
            }
        };
        self.counters.grants.inc(&[result.err().unwrap_or("redeemed")]);
        result
    }

    /// Checks one use of a grant as the region's grant issuer.
    pub fn redeem_locally(&self, used: &GrantUse) -> Result<(), &'static str> {
        let configuration = self.configuration.load_full().ok_or("no configuration")?;
        self.region_as_issuer(&configuration.table).ok_or("not the lender")?;
        lock(&self.grant_issuer).redeem(used, self.now())
    }

    /// Requests grants from each other region, three times within the lifetime of one.
    pub async fn renew_held_grants(self: Arc<Self>) {
        loop {
            let Some(configuration) = self.configuration.load_full() else {
                tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms())).await;
                continue;
            };
            let table = &configuration.table;
            let own = self.own_region(table);
            for region in table.regions().into_iter().filter(|r| Some(r) != own.as_ref()) {
                let Some(issuer) = self.issuer_for(table, &region) else { continue };
                for service in table.services.keys() {
                    let (me, region, service) = (self.clone(), region.clone(), service.clone());
                    let address = issuer.info.rpc_addr;
                    common::runtime::spawn(async move {
                        let requested_at = me.now();
                        let request = RouterRequest::RequestGrant {
                            region: region.clone(),
                            service: service.clone(),
                            node: me.node().clone(),
                        };
                        let response = me.rpc_client.call("request grant", address, request).await;
                        if let Ok(RouterResponse::Grant(grant)) = response {
                            lock(&me.held_grants).put(&region, &service, grant, requested_at);
                        }
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(table.tuning.grant_ttl_ms / 3)).await;
        }
    }
}
