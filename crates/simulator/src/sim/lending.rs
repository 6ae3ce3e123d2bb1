//! Lending within the simulated data plane (design 5.5), and the last look at its table.

use super::data::{BrokenData, Data, FULL_SET, LIFE, ROOM, ROUTERS, What, number, region, svc};
use common::{FencingToken, NodeId, Tick};
use control_plane::state_machine::singleton;
use data_plane::{capacity_grant::GrantUse, placement_table::UserKey};
use rand::Rng;
use std::collections::BTreeSet;

impl Data {
    fn lender(&self, n: usize) -> Option<usize> {
        let line = singleton::ranked_holders(&self.nodes[n].cluster_state, "lender/quiet", None);
        line.iter().map(|m| number(&m.info.node)).find(|m| region(*m) == region(5))
    }

    pub(super) fn look(&mut self, n: usize) {
        self.push(250, What::Look(n));
        let holds = self.lender(n) == Some(n);
        let (now, well) = (Tick(self.t), self.well && holds);
        let me = &mut self.nodes[n];
        if holds && self.broken != Some(BrokenData::NoFence) {
            me.lender.set_fencing_token(FencingToken(me.cluster_state.epoch.0));
        }
        me.lender.observe(well, now);
    }

    pub(super) fn ask_pass(&mut self, n: usize) {
        self.push(LIFE / 3, What::AskPass(n));
        if region(n) == region(5) {
            return;
        }
        let Some(at) = self.lender(n) else { return };
        let node = NodeId::new(format!("p{n}"));
        let (asked, lag) = (Tick(self.t), self.lag());
        // The lender answers by its own term of who lends.
        if self.lender(at) != Some(at) {
            return;
        }
        let me = &mut self.nodes[at];
        let well = me.lender.is_healthy(asked, FULL_SET) || self.broken == Some(BrokenData::LendsCold);
        let pass = well
            .then(|| me.lender.grant(&region(5), &svc(), &node, ROOM, ROUTERS / 2, LIFE, asked))
            .flatten();
        self.push(lag, What::CapacityGrant { to: n, pass, asked });
    }

    pub(super) fn spend(&mut self, n: usize) {
        let gap = self.rng.random_range(20..400);
        self.push(gap, What::Spend(n));
        let now = Tick(self.t);
        let node = NodeId::new(format!("p{n}"));
        if let Some(spent) = self.nodes[n].purse.spend(&region(5), &svc(), &node, now) {
            let (at, lag) = (self.rng.random_range(ROUTERS / 2..ROUTERS), self.lag());
            self.push(lag, What::Redeem { at, spent });
        }
    }

    /// A router of the lending region asks its lender, which has the last word.
    pub(super) fn redeem(&mut self, at: usize, spent: GrantUse) -> Result<(), String> {
        let Some(l) = self.lender(at) else { return Ok(()) };
        let now = Tick(self.t);
        if self.lender(l) != Some(l) || self.nodes[l].lender.redeem(&spent, now).is_err() {
            return Ok(());
        }
        self.redeemed += 1;
        self.used.push(self.t);
        // A look may lag by its interval behind what befell the region.
        if !self.well && self.t > self.unwell + 250 {
            return Err(format!("a pass of an unwell region was used, {} ms after", self.t - self.unwell));
        }
        if self.well && self.unwell > 0 && self.t < self.unwell + FULL_SET {
            return Err(format!("a pass was used {} ms after the region was unwell", self.t - self.unwell));
        }
        let lately = self.used.iter().filter(|t| self.t - **t < LIFE).count();
        if lately as f64 > ROOM {
            return Err(format!("{lately} passes were used within the life of one; room is {ROOM}"));
        }
        Ok(())
    }

    /// After the churn all routers name the same owner, and its table names one region for each
    /// user that its followers also name.
    pub(super) fn agree(&mut self) -> Result<(), String> {
        for k in 0..12 {
            let (key, now) = (UserKey(k), Tick(self.t));
            let owners: BTreeSet<Option<usize>> =
                (0..ROUTERS).map(|n| self.owners(n, key.shard(&svc())).first().copied()).collect();
            let [Some(o)] = owners.iter().copied().collect::<Vec<_>>()[..] else {
                return Err(format!("{key:?} has owners {owners:?}"));
            };
            let Some(row) = self.nodes[o].tab.row(key, &svc(), now) else {
                return Err(format!("{key:?} is lost"));
            };
            for m in self.owners(o, key.shard(&svc())).into_iter().skip(1).take(2) {
                let copy = self.nodes[m].tab.row(key, &svc(), now);
                if copy.as_ref().map(|c| &c.region) != Some(&row.region) {
                    let (shard, own) = (key.shard(&svc()), self.nodes[o].cluster_state.epoch);
                    return Err(format!(
                        "{key:?} of shard {shard} is {row:?} at its owner p{o} of {own} and {copy:?} at its follower p{m}"
                    ));
                }
            }
        }
        Ok(())
    }
}
