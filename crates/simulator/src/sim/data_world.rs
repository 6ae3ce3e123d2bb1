//! Placement and capacity grants under virtual time (design 5.3, 5.5, 7.1): the routers' own placement tables, grant
//! issuers and held grants, with delayed state updates, lost answers and shards that change their owner.

use super::{
    Violation,
    data_event::DataEvent,
    data_node::{Node, ROUTERS, node_info, region, service},
};
use common::{Region, Tick};
use control_plane::{Change, ClusterState};
use data_plane::{
    capacity_grant::{GrantIssuer, HeldGrants},
    placement_table::{PlacementTable, UserKey},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, HashMap};

/// Virtual time at which a run ends.
const END_MS: u64 = 60_000;
/// Virtual time after which nothing fails or restarts any more.
pub(super) const CHURN_END_MS: u64 = 40_000;
/// Lifetime of a grant.
pub(super) const GRANT_LIFETIME_MS: u64 = 3_000;
/// Time for which the region must have been healthy before it grants capacity.
pub(super) const MIN_HEALTHY_MS: u64 = 3_000;
/// Free capacity of the granting region.
pub(super) const FREE_CAPACITY: f64 = 9.0;
/// Time for which a placement is kept.
pub(super) const PLACEMENT_TTL_MS: u64 = 900_000;

/// Deliberately broken variants. Each must be caught by a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenData {
    /// A shard's owner lets each writer overwrite the placement, whichever version that writer knows.
    LastWriterWins,
    /// Shard owners and grant issuers do not check fencing tokens.
    NoFencing,
    /// A region grants capacity before it was healthy for long enough.
    GrantsBeforeHealthy,
}

/// State of one run.
pub struct DataWorld {
    seed: u64,
    /// Virtual time in milliseconds.
    pub(super) time_ms: u64,
    /// Random numbers of the run.
    pub(super) rng: SmallRng,
    /// The broken variant that is run, if any.
    pub(super) broken: Option<BrokenData>,
    /// The committed state, from which the routers' states lag behind.
    committed_state: ClusterState,
    /// All routers.
    pub(super) nodes: Vec<Node>,
    /// Events by due time and sequence number.
    queue: BTreeMap<(u64, u64), DataEvent>,
    last_sequence: u64,
    /// The region that was reported for each version of a user's placement.
    pub(super) reported_regions: HashMap<(UserKey, u64), Region>,
    /// Region of each user, from when there is no more cause to move it.
    pub(super) final_regions: HashMap<UserKey, Region>,
    /// When the health of the granting region last changed.
    pub(super) health_changed_at_ms: u64,
    /// Whether the granting region is healthy.
    pub(super) healthy: bool,
    /// When each redeemed grant was used.
    pub(super) used_at_ms: Vec<u64>,
    /// Number of grants redeemed.
    pub redeemed: u64,
    /// Number of placements resolved.
    pub resolved: u64,
    trace: Vec<String>,
}

impl DataWorld {
    /// Creates a world with all routers joined.
    pub fn new(seed: u64, broken: Option<BrokenData>) -> Self {
        let mut committed_state = ClusterState::bootstrapped("sim", vec![]);
        for n in 0..ROUTERS {
            let _ = committed_state.apply(committed_state.index.next(), &Change::Join(node_info(n, 1)));
        }
        let node = |n: usize| Node {
            info: node_info(n, 1),
            cluster_state: committed_state.clone(),
            table: PlacementTable::default(),
            issuer: GrantIssuer::default(),
            grants: HeldGrants::default(),
            owned_shards: BTreeMap::new(),
        };
        let nodes = (0..ROUTERS).map(node).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let (queue, reported_regions, final_regions, trace) = Default::default();
        let mut world = DataWorld {
            seed,
            time_ms: 0,
            rng,
            broken,
            committed_state,
            nodes,
            queue,
            last_sequence: 0,
            reported_regions,
            final_regions,
            health_changed_at_ms: 0,
            healthy: true,
            used_at_ms: vec![],
            redeemed: 0,
            resolved: 0,
            trace,
        };
        world.push(3_000, DataEvent::Churn);
        for n in 0..ROUTERS {
            world.push(n as u64, DataEvent::RequestPlacement(n));
            world.push(n as u64, DataEvent::ObserveHealth(n));
            world.push(n as u64, DataEvent::RequestGrant(n));
            world.push(n as u64, DataEvent::UseGrant(n));
        }
        world
    }

    /// Schedules an event in `after` milliseconds.
    pub(super) fn push(&mut self, after: u64, event: DataEvent) {
        self.last_sequence += 1;
        self.queue.insert((self.time_ms + after, self.last_sequence), event);
    }

    /// Draws the delay of a message, in milliseconds.
    pub(super) fn draw_delay_ms(&mut self) -> u64 {
        if self.rng.random_bool(0.05) {
            self.rng.random_range(100..800)
        } else {
            self.rng.random_range(1..20)
        }
    }

    /// Processes all events up to the end of the run, and checks the invariants.
    pub fn run(&mut self) -> Result<(), Violation> {
        while let Some(((due_ms, _), event)) =
            self.queue.pop_first().filter(|((due_ms, _), _)| *due_ms < END_MS)
        {
            self.time_ms = due_ms;
            self.handle(event).map_err(|what| self.violation(what))?;
        }
        self.check_agreement().map_err(|what| self.violation(what))
    }

    fn violation(&self, what: String) -> Violation {
        let trace = self.trace.iter().rev().take(20).rev().cloned().collect();
        Violation { seed: self.seed, at_ms: self.time_ms, what, trace }
    }

    fn handle(&mut self, event: DataEvent) -> Result<(), String> {
        match event {
            DataEvent::Churn => self.churn(),
            DataEvent::StateUpdate(router, state) => self.install_update(router, *state),
            DataEvent::RequestPlacement(router) => self.request_placement(router),
            DataEvent::ResolvePlacement { to, from, fencing_token, key, stale, pick } => {
                return self.resolve_placement(to, from, fencing_token, key, stale, pick);
            }
            DataEvent::ReplicateRows { to, fencing_token, shard, rows } => {
                let now = Tick(self.time_ms);
                let table = &mut self.nodes[to].table;
                if fencing_token.is_none_or(|f| table.check_fencing_token(shard, f).is_ok()) {
                    rows.into_iter().for_each(|c| table.install_row(c, now));
                }
            }
            DataEvent::ObserveHealth(router) => self.observe_health(router),
            DataEvent::RequestGrant(router) => self.request_grant(router),
            DataEvent::GrantReply { to, grant, requested_at } => {
                self.nodes[to].grants.put(&region(5), &service(), grant, requested_at);
            }
            DataEvent::UseGrant(router) => self.use_grant(router),
            DataEvent::RedeemGrant { at, grant_use } => return self.redeem_grant(at, grant_use),
        }
        Ok(())
    }

    /// Restarts a router, or changes the health of the granting region.
    fn churn(&mut self) {
        if self.time_ms > CHURN_END_MS {
            self.healthy = true;
            return;
        }
        let delay_ms = self.rng.random_range(500..5_000);
        self.push(delay_ms, DataEvent::Churn);
        if self.rng.random_bool(0.3) {
            self.healthy = !self.healthy;
            self.health_changed_at_ms = self.time_ms;
            self.trace.push(format!("{} region quiet is healthy: {}", self.time_ms, self.healthy));
            return;
        }
        let router = self.rng.random_range(0..ROUTERS);
        let old = self.nodes[router].info.clone();
        let new = node_info(router, old.incarnation.0 + 1);
        self.trace.push(format!("{} restart p{router}", self.time_ms));
        let _ = self.committed_state.apply(
            self.committed_state.index.next(),
            &Change::Expire { node: old.node, incarnation: old.incarnation, left: true },
        );
        let _ = self.committed_state.apply(self.committed_state.index.next(), &Change::Join(new.clone()));
        let cluster_state = self.committed_state.clone();
        let (table, issuer, grants, owned_shards) = Default::default();
        self.nodes[router] =
            Node { info: new, cluster_state: cluster_state.clone(), table, issuer, grants, owned_shards };
        for other in (0..ROUTERS).filter(|other| *other != router) {
            let delay_ms = self.draw_delay_ms();
            self.push(delay_ms, DataEvent::StateUpdate(other, Box::new(cluster_state.clone())));
        }
        self.fetch_owned_rows(router);
    }

    fn install_update(&mut self, router: usize, state: ClusterState) {
        if state.index > self.nodes[router].cluster_state.index {
            self.nodes[router].cluster_state = state;
            self.fetch_owned_rows(router);
        }
    }
}
