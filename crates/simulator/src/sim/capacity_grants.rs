//! Capacity grants in the simulated data plane (design 5.5), and the check of the placement tables at the end of a
//! run.

use super::{
    data_event::DataEvent,
    data_node::{ROUTERS, region, router_index, service},
    data_world::{BrokenData, DataWorld, FREE_CAPACITY, GRANT_LIFETIME_MS, MIN_HEALTHY_MS},
};
use common::{FencingToken, NodeId, Tick};
use control_plane::state_machine::singleton;
use data_plane::{capacity_grant::GrantUse, placement_table::UserKey};
use rand::Rng;
use std::collections::BTreeSet;

impl DataWorld {
    /// The grant issuer of the granting region, by the given router's state.
    fn grant_issuer(&self, router: usize) -> Option<usize> {
        let ranked = singleton::ranked_holders(&self.nodes[router].cluster_state, "lender/quiet", None);
        ranked
            .iter()
            .map(|holder| router_index(&holder.info.node))
            .find(|holder| region(*holder) == region(5))
    }

    /// A router observes the health of its region, for the case that it issues grants.
    pub(super) fn observe_health(&mut self, router: usize) {
        self.push(250, DataEvent::ObserveHealth(router));
        let is_issuer = self.grant_issuer(router) == Some(router);
        let (now, healthy) = (Tick(self.time_ms), self.healthy && is_issuer);
        let node = &mut self.nodes[router];
        if is_issuer && self.broken != Some(BrokenData::NoFencing) {
            node.issuer.set_fencing_token(FencingToken(node.cluster_state.epoch.0));
        }
        node.issuer.observe(healthy, now);
    }

    /// A router of the other region asks for a grant.
    pub(super) fn request_grant(&mut self, router: usize) {
        self.push(GRANT_LIFETIME_MS / 3, DataEvent::RequestGrant(router));
        if region(router) == region(5) {
            return;
        }
        let Some(issuer) = self.grant_issuer(router) else { return };
        let node = NodeId::new(format!("p{router}"));
        let (requested_at, delay_ms) = (Tick(self.time_ms), self.draw_delay_ms());
        // The asked node answers only if it is the issuer by its own state too.
        if self.grant_issuer(issuer) != Some(issuer) {
            return;
        }
        let issuer_node = &mut self.nodes[issuer];
        let may_grant = issuer_node.issuer.is_healthy(requested_at, MIN_HEALTHY_MS)
            || self.broken == Some(BrokenData::GrantsBeforeHealthy);
        let grant = may_grant
            .then(|| {
                issuer_node.issuer.grant(
                    &region(5),
                    &service(),
                    &node,
                    FREE_CAPACITY,
                    ROUTERS / 2,
                    GRANT_LIFETIME_MS,
                    requested_at,
                )
            })
            .flatten();
        self.push(delay_ms, DataEvent::GrantReply { to: router, grant, requested_at });
    }

    /// A router uses a part of a grant, if it has one.
    pub(super) fn use_grant(&mut self, router: usize) {
        let delay_ms = self.rng.random_range(20..400);
        self.push(delay_ms, DataEvent::UseGrant(router));
        let now = Tick(self.time_ms);
        let node = NodeId::new(format!("p{router}"));
        if let Some(grant_use) = self.nodes[router].grants.spend(&region(5), &service(), &node, now) {
            let (receiver, delay_ms) = (self.rng.random_range(ROUTERS / 2..ROUTERS), self.draw_delay_ms());
            self.push(delay_ms, DataEvent::RedeemGrant { at: receiver, grant_use });
        }
    }

    /// A router of the granting region asks the issuer, which decides whether the grant may be used.
    pub(super) fn redeem_grant(&mut self, receiver: usize, grant_use: GrantUse) -> Result<(), String> {
        let Some(issuer) = self.grant_issuer(receiver) else { return Ok(()) };
        let now = Tick(self.time_ms);
        if self.grant_issuer(issuer) != Some(issuer)
            || self.nodes[issuer].issuer.redeem(&grant_use, now).is_err()
        {
            return Ok(());
        }
        self.redeemed += 1;
        self.used_at_ms.push(self.time_ms);
        // The issuer observes the health at intervals of 250 ms, so it may learn of a change that late.
        if !self.healthy && self.time_ms > self.health_changed_at_ms + 250 {
            return Err(format!(
                "a grant of an unhealthy region was used, {} ms after its health changed",
                self.time_ms - self.health_changed_at_ms
            ));
        }
        if self.healthy
            && self.health_changed_at_ms > 0
            && self.time_ms < self.health_changed_at_ms + MIN_HEALTHY_MS
        {
            return Err(format!(
                "a grant was used {} ms after the region was unhealthy",
                self.time_ms - self.health_changed_at_ms
            ));
        }
        let recent =
            self.used_at_ms.iter().filter(|used_at| self.time_ms - **used_at < GRANT_LIFETIME_MS).count();
        if recent as f64 > FREE_CAPACITY {
            return Err(format!(
                "{recent} grants were used within the lifetime of one; the free capacity is {FREE_CAPACITY}"
            ));
        }
        Ok(())
    }

    /// At the end of a run all routers must know the same owner of each user's shard, and the owner and its followers
    /// the same region of that user.
    pub(super) fn check_agreement(&mut self) -> Result<(), String> {
        for user in 0..12 {
            let (key, now) = (UserKey(user), Tick(self.time_ms));
            let owners: BTreeSet<Option<usize>> = (0..ROUTERS)
                .map(|router| self.owners(router, key.shard(&service())).first().copied())
                .collect();
            let [Some(owner)] = owners.iter().copied().collect::<Vec<_>>()[..] else {
                return Err(format!("{key:?} has owners {owners:?}"));
            };
            let Some(row) = self.nodes[owner].table.row(key, &service(), now) else {
                return Err(format!("{key:?} is lost"));
            };
            for follower in self.owners(owner, key.shard(&service())).into_iter().skip(1).take(2) {
                let copy = self.nodes[follower].table.row(key, &service(), now);
                if copy.as_ref().map(|row| &row.region) != Some(&row.region) {
                    let (shard, epoch) = (key.shard(&service()), self.nodes[owner].cluster_state.epoch);
                    return Err(format!(
                        "{key:?} of shard {shard} is {row:?} at its owner p{owner} of {epoch} and {copy:?} at its follower p{follower}"
                    ));
                }
            }
        }
        Ok(())
    }
}
