//! Placement and lending under virtual time (design 5.3, 5.5, 7.1): the routers' own tables,
//! lenders and purses, with state updates that lags, answers that are lost, and owners that move.

use super::Violation;
use common::{NodeId, Region, Service, Tick};
use control_plane::{Change, ClusterState, Role, types::NodeInfo};
use data_plane::{
    capacity_grant::{GrantIssuer, HeldGrants},
    placement_table::{PlacementTable, UserKey},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, HashMap};

pub(super) const ROUTERS: usize = 6;
const END: u64 = 60_000;
pub(super) const CHURN_END: u64 = 40_000;
pub(super) const LIFE: u64 = 3_000;
pub(super) const FULL_SET: u64 = 3_000;
pub(super) const ROOM: f64 = 9.0;
pub(super) const TTL: u64 = 900_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenData {
    /// The last writer wins at the owner.
    LastWriter,
    /// Owners and lenders do not look at fences.
    NoFence,
    /// A region lends as soon as it is up.
    LendsCold,
}

pub(super) struct Node {
    info: NodeInfo,
    pub cluster_state: ClusterState,
    pub tab: PlacementTable,
    pub lender: GrantIssuer,
    pub purse: HeldGrants,
    pub owns: BTreeMap<u16, bool>,
}

pub(super) use super::data_event::What;

pub struct Data {
    seed: u64,
    pub(super) t: u64,
    pub(super) rng: SmallRng,
    pub(super) broken: Option<BrokenData>,
    truth: ClusterState,
    pub(super) nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), What>,
    serial: u64,
    pub(super) seen: HashMap<(UserKey, u64), Region>,
    /// Where each user was, once nothing gives a cause to move any more.
    pub(super) rest: HashMap<UserKey, Region>,
    /// When the lending region was last unwell, and its uses of passes.
    pub(super) unwell: u64,
    pub(super) well: bool,
    pub(super) used: Vec<u64>,
    pub redeemed: u64,
    pub settled: u64,
    trace: Vec<String>,
}

pub(super) fn svc() -> Service {
    Service::new("m")
}

/// The second half of the routers stands in the region that lends.
pub(super) fn region(n: usize) -> Region {
    Region::new(if n < ROUTERS / 2 { "busy" } else { "quiet" })
}

fn info(n: usize, incarnation: u64) -> NodeInfo {
    let addr = ([127, 0, 0, 1], 7000 + n as u16).into();
    let (node, zone) = (format!("p{n}").as_str().into(), region(n).as_str().into());
    NodeInfo {
        node,
        incarnation: common::Incarnation(incarnation),
        role: Role::Router,
        lang: 1,
        zone,
        rpc_addr: addr,
        http: addr,
    }
}

pub(super) fn number(n: &NodeId) -> usize {
    n.as_str()[1..].parse().unwrap_or(0)
}

impl Data {
    pub fn new(seed: u64, broken: Option<BrokenData>) -> Self {
        let mut truth = ClusterState::bootstrapped("sim", vec![]);
        for n in 0..ROUTERS {
            let _ = truth.apply(truth.index.next(), &Change::Join(info(n, 1)));
        }
        let node = |n: usize| Node {
            info: info(n, 1),
            cluster_state: truth.clone(),
            tab: PlacementTable::default(),
            lender: GrantIssuer::default(),
            purse: HeldGrants::default(),
            owns: BTreeMap::new(),
        };
        let nodes = (0..ROUTERS).map(node).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let (queue, seen, rest, trace) = Default::default();
        let mut d = Data {
            seed,
            t: 0,
            rng,
            broken,
            truth,
            nodes,
            queue,
            serial: 0,
            seen,
            rest,
            unwell: 0,
            well: true,
            used: vec![],
            redeemed: 0,
            settled: 0,
            trace,
        };
        d.push(3_000, What::Churn);
        for n in 0..ROUTERS {
            d.push(n as u64, What::Ask(n));
            d.push(n as u64, What::Look(n));
            d.push(n as u64, What::AskPass(n));
            d.push(n as u64, What::Spend(n));
        }
        d
    }

    pub(super) fn push(&mut self, after: u64, w: What) {
        self.serial += 1;
        self.queue.insert((self.t + after, self.serial), w);
    }

    pub(super) fn lag(&mut self) -> u64 {
        if self.rng.random_bool(0.05) {
            self.rng.random_range(100..800)
        } else {
            self.rng.random_range(1..20)
        }
    }

    pub fn run(&mut self) -> Result<(), Violation> {
        while let Some(((t, _), w)) = self.queue.pop_first().filter(|((t, _), _)| *t < END) {
            self.t = t;
            self.one(w).map_err(|what| self.fail(what))?;
        }
        self.agree().map_err(|what| self.fail(what))
    }

    fn fail(&self, what: String) -> Violation {
        let trace = self.trace.iter().rev().take(20).rev().cloned().collect();
        Violation { seed: self.seed, at_ms: self.t, what, trace }
    }

    fn one(&mut self, w: What) -> Result<(), String> {
        match w {
            What::Churn => self.churn(),
            What::StateUpdate(n, l) => self.state_update(n, *l),
            What::Ask(n) => self.ask(n),
            What::Settle { to, from, fencing_token, key, stale, pick } => {
                return self.settle(to, from, fencing_token, key, stale, pick);
            }
            What::Rows { to, fencing_token, shard, rows } => {
                let now = Tick(self.t);
                let tab = &mut self.nodes[to].tab;
                if fencing_token.is_none_or(|f| tab.check_fencing_token(shard, f).is_ok()) {
                    rows.into_iter().for_each(|c| tab.install_row(c, now));
                }
            }
            What::Look(n) => self.look(n),
            What::AskPass(n) => self.ask_pass(n),
            What::CapacityGrant { to, pass, asked } => {
                self.nodes[to].purse.put(&region(5), &svc(), pass, asked);
            }
            What::Spend(n) => self.spend(n),
            What::Redeem { at, spent } => return self.redeem(at, spent),
        }
        Ok(())
    }

    /// A router is restarted, or the quiet region falls ill and recovers.
    fn churn(&mut self) {
        if self.t > CHURN_END {
            self.well = true;
            return;
        }
        let gap = self.rng.random_range(500..5_000);
        self.push(gap, What::Churn);
        if self.rng.random_bool(0.3) {
            self.well = !self.well;
            self.unwell = self.t;
            self.trace.push(format!("{} quiet is well: {}", self.t, self.well));
            return;
        }
        let n = self.rng.random_range(0..ROUTERS);
        let old = self.nodes[n].info.clone();
        let new = info(n, old.incarnation.0 + 1);
        self.trace.push(format!("{} restart p{n}", self.t));
        let _ = self.truth.apply(
            self.truth.index.next(),
            &Change::Expire { node: old.node, incarnation: old.incarnation, left: true },
        );
        let _ = self.truth.apply(self.truth.index.next(), &Change::Join(new.clone()));
        let cluster_state = self.truth.clone();
        let (tab, lender, purse, owns) = Default::default();
        self.nodes[n] = Node { info: new, cluster_state: cluster_state.clone(), tab, lender, purse, owns };
        for m in (0..ROUTERS).filter(|m| *m != n) {
            let lag = self.lag();
            self.push(lag, What::StateUpdate(m, Box::new(cluster_state.clone())));
        }
        self.gather(n);
    }

    fn state_update(&mut self, n: usize, l: ClusterState) {
        if l.index > self.nodes[n].cluster_state.index {
            self.nodes[n].cluster_state = l;
            self.gather(n);
        }
    }
}
