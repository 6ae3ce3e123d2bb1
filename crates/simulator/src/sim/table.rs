//! The placement table within the simulated data plane (design 5.3).

use super::data::{BrokenData, CHURN_END, Data, ROUTERS, TTL, What, number, region, svc};
use common::{FencingToken, Region, Tick};
use control_plane::state_machine::singleton;
use data_plane::placement_table::{PlacementOutcome, UserKey};
use rand::Rng;

impl Data {
    pub(super) fn owners(&self, n: usize, shard: u16) -> Vec<usize> {
        let line = singleton::ranked_holders(&self.nodes[n].cluster_state, &format!("shard/{shard}"), None);
        line.iter().map(|m| number(&m.info.node)).collect()
    }

    /// A new owner asks the next in line for what they hold.
    pub(super) fn gather(&mut self, n: usize) {
        for shard in 0..data_plane::placement_table::SHARDS {
            let owners = self.owners(n, shard);
            let owns = owners.first() == Some(&n);
            if owns && self.nodes[n].owns.insert(shard, owns) != Some(true) {
                for m in owners.into_iter().skip(1).take(3) {
                    let rows = self.nodes[m].tab.rows_of_shard(shard, Tick(self.t));
                    let lag = self.lag();
                    self.push(lag, What::Rows { to: n, fencing_token: None, shard, rows });
                }
            }
            self.nodes[n].owns.insert(shard, owns);
        }
    }

    pub(super) fn ask(&mut self, n: usize) {
        let gap = self.rng.random_range(5..100);
        self.push(gap, What::Ask(n));
        let key = UserKey(self.rng.random_range(0..12));
        let pick = region(self.rng.random_range(0..ROUTERS));
        let Some(to) = self.owners(n, key.shard(&svc())).first().copied() else { return };
        let fencing_token = FencingToken(self.nodes[n].cluster_state.epoch.0);
        // Now and then a router finds what is stored wanting, and names its version.
        let held = self.nodes[to].tab.row(key, &svc(), Tick(self.t)).map(|c| c.version);
        let stale = held.filter(|_| self.rng.random_bool(0.02) && self.t < CHURN_END);
        let lag = self.lag();
        if self.rng.random_bool(0.99) {
            self.push(lag, What::Settle { to, from: n, fencing_token, key, stale, pick });
        }
    }

    pub(super) fn settle(
        &mut self,
        to: usize,
        from: usize,
        fencing_token: FencingToken,
        key: UserKey,
        stale: Option<u64>,
        pick: Region,
    ) -> Result<(), String> {
        let (shard, now) = (key.shard(&svc()), Tick(self.t));
        let owners = self.owners(to, shard);
        if owners.first() != Some(&to) {
            return Ok(());
        }
        let fenced = self.broken != Some(BrokenData::NoFence);
        let epoch = FencingToken(self.nodes[to].cluster_state.epoch.0);
        let tab = &mut self.nodes[to].tab;
        if fenced && tab.admit(shard, epoch, fencing_token).is_err() {
            return Ok(());
        }
        let last = tab.row(key, &svc(), now).map(|c| c.version);
        let stale = if self.broken == Some(BrokenData::LastWriter) { last } else { stale };
        let res = tab.resolve(key, &svc(), stale, Some(pick), TTL, now);
        let row = tab.row(key, &svc(), now);
        for m in owners.into_iter().skip(1).take(2) {
            let (rows, lag) = (row.clone().into_iter().collect(), self.lag());
            self.push(lag, What::Rows { to: m, fencing_token: Some(fencing_token), shard, rows });
        }
        self.told(from, key, res)
    }

    /// One version is one region; and a racer without a cause to move never moves a user.
    fn told(&mut self, n: usize, key: UserKey, s: PlacementOutcome) -> Result<(), String> {
        let PlacementOutcome::Held { region, version, .. } = s else { return Ok(()) };
        self.settled += 1;
        let known = self.seen.entry((key, version)).or_insert_with(|| region.clone());
        if *known != region {
            return Err(format!("p{n} was told {region} for {key:?} version {version}, another {known}"));
        }
        // Well after the last cause, nobody moves a user any more.
        if self.t > CHURN_END + 5_000 {
            let rest = self.rest.entry(key).or_insert_with(|| region.clone());
            if *rest != region {
                return Err(format!("{key:?} moved from {rest} to {region} without a cause"));
            }
        }
        Ok(())
    }
}
