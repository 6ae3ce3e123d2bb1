//! The placement table in the simulated data plane (design 5.3).

use super::{
    data_event::DataEvent,
    data_node::{ROUTERS, region, router_index, service},
    data_world::{BrokenData, CHURN_END_MS, DataWorld, PLACEMENT_TTL_MS},
};
use common::{FencingToken, Region, Tick};
use control_plane::state_machine::singleton;
use data_plane::placement_table::{PlacementOutcome, UserKey};
use rand::Rng;

impl DataWorld {
    /// The routers ranked for a shard by the given router's state: the owner, then its followers.
    pub(super) fn owners(&self, router: usize, shard: u16) -> Vec<usize> {
        let ranked =
            singleton::ranked_holders(&self.nodes[router].cluster_state, &format!("shard/{shard}"), None);
        ranked.iter().map(|holder| router_index(&holder.info.node)).collect()
    }

    /// For each shard that the router newly owns, it fetches the rows that the next three routers hold.
    pub(super) fn fetch_owned_rows(&mut self, router: usize) {
        for shard in 0..data_plane::placement_table::SHARDS {
            let owners = self.owners(router, shard);
            let owns = owners.first() == Some(&router);
            if owns && self.nodes[router].owned_shards.insert(shard, owns) != Some(true) {
                for follower in owners.into_iter().skip(1).take(3) {
                    let rows = self.nodes[follower].table.rows_of_shard(shard, Tick(self.time_ms));
                    let delay_ms = self.draw_delay_ms();
                    self.push(
                        delay_ms,
                        DataEvent::ReplicateRows { to: router, fencing_token: None, shard, rows },
                    );
                }
            }
            self.nodes[router].owned_shards.insert(shard, owns);
        }
    }

    /// A router asks the owner for the placement of a random user, and suggests a region.
    pub(super) fn request_placement(&mut self, router: usize) {
        let interval_ms = self.rng.random_range(5..100);
        self.push(interval_ms, DataEvent::RequestPlacement(router));
        let key = UserKey(self.rng.random_range(0..12));
        let pick = region(self.rng.random_range(0..ROUTERS));
        let Some(owner) = self.owners(router, key.shard(&service())).first().copied() else { return };
        let fencing_token = FencingToken(self.nodes[router].cluster_state.epoch.0);
        // Now and then a router has cause to move a user, and names the version that it rejects.
        let stored_version =
            self.nodes[owner].table.row(key, &service(), Tick(self.time_ms)).map(|row| row.version);
        let stale = stored_version.filter(|_| self.rng.random_bool(0.02) && self.time_ms < CHURN_END_MS);
        let delay_ms = self.draw_delay_ms();
        if self.rng.random_bool(0.99) {
            self.push(
                delay_ms,
                DataEvent::ResolvePlacement { to: owner, from: router, fencing_token, key, stale, pick },
            );
        }
    }

    /// The owner resolves a placement, and replicates the row to two followers.
    pub(super) fn resolve_placement(
        &mut self,
        owner: usize,
        from: usize,
        fencing_token: FencingToken,
        key: UserKey,
        stale: Option<u64>,
        pick: Region,
    ) -> Result<(), String> {
        let (shard, now) = (key.shard(&service()), Tick(self.time_ms));
        let owners = self.owners(owner, shard);
        if owners.first() != Some(&owner) {
            return Ok(());
        }
        let fenced = self.broken != Some(BrokenData::NoFencing);
        let epoch = FencingToken(self.nodes[owner].cluster_state.epoch.0);
        let table = &mut self.nodes[owner].table;
        if fenced && table.admit(shard, epoch, fencing_token).is_err() {
            return Ok(());
        }
        let stored_version = table.row(key, &service(), now).map(|row| row.version);
        let stale = if self.broken == Some(BrokenData::LastWriterWins) { stored_version } else { stale };
        let outcome = table.resolve(key, &service(), stale, Some(pick), PLACEMENT_TTL_MS, now);
        let row = table.row(key, &service(), now);
        for follower in owners.into_iter().skip(1).take(2) {
            let (rows, delay_ms) = (row.clone().into_iter().collect(), self.draw_delay_ms());
            self.push(
                delay_ms,
                DataEvent::ReplicateRows { to: follower, fencing_token: Some(fencing_token), shard, rows },
            );
        }
        self.check_answer(from, key, outcome)
    }

    /// Each version of a placement must have one region, and without a cause nobody may move a user.
    fn check_answer(&mut self, router: usize, key: UserKey, outcome: PlacementOutcome) -> Result<(), String> {
        let PlacementOutcome::Held { region, version, .. } = outcome else { return Ok(()) };
        self.resolved += 1;
        let known = self.reported_regions.entry((key, version)).or_insert_with(|| region.clone());
        if *known != region {
            return Err(format!(
                "p{router} was told {region} for {key:?} version {version}, another router was told {known}"
            ));
        }
        // 5 s after the last cause, all rows have settled.
        if self.time_ms > CHURN_END_MS + 5_000 {
            let settled = self.final_regions.entry(key).or_insert_with(|| region.clone());
            if *settled != region {
                return Err(format!("{key:?} moved from {settled} to {region} without a cause"));
            }
        }
        Ok(())
    }
}
