//! One size under virtual time: opened, measured without and with changes, then losses.

use super::{
    ScalePlan,
    hollow::Hollow,
    layout::{Layout, VOTERS},
    rows::{DutyRow, RoleRow, StateRow, role, singletons, state},
    times::{Span, changes, lost, until},
    usage,
};
use crate::{
    node::{Life, Node, Yard},
    operator::Operator,
    standin::StandIn,
};
use common::runtime::Simulation;
use eyre::{Result, ensure, eyre};
use serde::Serialize;
use std::{
    collections::BTreeSet,
    net::IpAddr,
    path::Path,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Routers start one after the other, as in a rolling restart: a start asks all others for the last
/// figures, and opens lines to them.
const GAP: Duration = Duration::from_millis(100);
const JOINING: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Serialize)]
pub struct SizeRow {
    pub origin: &'static str,
    pub seed: u64,
    pub layout: Layout,
    pub seconds: f64,
    /// Without changes of configuration.
    pub roles: Vec<RoleRow>,
    #[serde(rename = "duties")]
    pub singletons: Vec<DutyRow>,
    pub state: StateRow,
    /// Bytes of the core's slot on disk.
    pub slot: f64,
    /// Of the thread that all nodes share, the world's own part with it.
    pub cpu_ms_a_node_second: f64,
    pub resident_a_node: f64,
    /// With changes: how many were told as accepted, and what one more costs.
    pub changes: usize,
    pub change_bytes_router: f64,
    pub change_bytes_leader: f64,
    pub governs_ms: Span,
    /// The newest router in its first second: what a start asks of the others.
    pub opening: RoleRow,
    pub lost_node_ms: Option<Span>,
    pub lost_zone_ms: Option<Span>,
    pub lost_region_ms: Option<Span>,
}

pub fn one(p: &ScalePlan, nodes: usize) -> Result<SizeRow> {
    let before = usage::resident(std::process::id()).unwrap_or(0);
    Simulation::run(p.seed, p.broken.clone(), |w| async move {
        Open::at(p, nodes, w).await?.measure(p, before).await
    })
}

struct Open {
    lay: Layout,
    voters: Vec<Node>,
    hollow: Vec<Hollow>,
    backs: Vec<Arc<StandIn>>,
    op: Operator,
    opening: RoleRow,
}

/// Lists all replicas, then applies the first document.
pub async fn furnish(op: &Operator, lay: &Layout, backs: &[Arc<StandIn>]) -> Result<()> {
    for b in backs {
        b.start().await?;
    }
    for b in backs {
        let mut listed = false;
        for _ in 0..60 {
            listed = op.list(&b.id, &b.shape.service, &b.shape.zone, b.addr).await;
            if listed {
                break;
            }
            sleep(Duration::from_millis(250)).await;
        }
        ensure!(listed, "the core did not list {}", b.id);
    }
    let res = op.apply(&lay.document(0), 0, "first").await;
    ensure!(res.as_ref().is_some_and(|r| r.0 == 200), "the first document was not accepted: {res:?}");
    Ok(())
}

pub fn operator(lay: &Layout, nodes: &[Node]) -> Operator {
    Operator { ip: lay.operator(), voters: nodes.iter().filter(|n| n.core).map(|n| n.http()).collect() }
}

impl Open {
    async fn at(p: &ScalePlan, nodes: usize, w: Arc<Simulation>) -> Result<Open> {
        let lay = Layout::of(p, nodes);
        let mut voters = lay.fleet(Path::new("nowhere"));
        let routers = voters.split_off(VOTERS);
        let (op, backs) = (operator(&lay, &voters), lay.backs());
        for n in &mut voters {
            n.start(&Yard::World(w.clone()))?;
        }
        furnish(&op, &lay, &backs).await?;
        let mut hollow = Vec::new();
        let mut opening = RoleRow::default();
        for (n, r) in routers.iter().enumerate() {
            let newest = n + 1 == routers.len();
            if newest {
                w.traffic.begin();
            }
            hollow.push(Hollow::start(&w, r, &lay).await?);
            sleep(if newest { JOINING } else { GAP }).await;
            if newest {
                opening = role("router that starts", &[r.ip], &w.traffic.end(), JOINING.as_secs_f64());
            }
        }
        let whole = |h: &Hollow| {
            h.router.member.revision_in_force.load(Ordering::Acquire) > 0
                && h.router.member.cluster_state.load().members.len() == nodes
        };
        let (_, never) = until(&hollow, Instant::now(), whole).await;
        ensure!(never == 0, "{never} of {nodes} nodes did not join");
        Ok(Open { lay, voters, hollow, backs, op, opening })
    }

    async fn leader(&self) -> Result<IpAddr> {
        let s = self.op.status().await.ok_or_else(|| eyre!("no status"))?;
        let at = self.voters.iter().find(|n| s["leader"] == n.name.as_str()).map(|n| n.ip);
        at.ok_or_else(|| eyre!("no leader"))
    }

    fn roles(&self, leader: IpAddr, t: &common::runtime::Traffic, secs: f64) -> Vec<RoleRow> {
        let followers: Vec<IpAddr> = self.voters.iter().map(|n| n.ip).filter(|ip| *ip != leader).collect();
        let routers: Vec<IpAddr> = self.hollow.iter().map(|h| h.router.set.rpc_addr.ip()).collect();
        vec![
            role("core leader", &[leader], t, secs),
            role("core follower", &followers, t, secs),
            role("router", &routers, t, secs),
        ]
    }

    async fn measure(mut self, p: &ScalePlan, before: u64) -> Result<SizeRow> {
        let w = common::runtime::simulation().ok_or_else(|| eyre!("no world"))?;
        let (lay, span) = (self.lay, Duration::from_secs_f64(p.seconds));
        // Figures, passes and placements are there after a full set of checks.
        sleep(Duration::from_secs(5)).await;
        let leader = self.leader().await?;
        // Long polls that are open when a span begins count too.
        w.traffic.begin();
        sleep(Duration::from_secs(3)).await;
        let cpu = usage::thread_ms();
        w.traffic.begin();
        sleep(span).await;
        let calm = w.traffic.end();
        let cpu = usage::thread_ms() - cpu;
        let roles = self.roles(leader, &calm, p.seconds);
        w.traffic.begin();
        sleep(Duration::from_secs(3)).await;
        w.traffic.begin();
        let gap = Duration::from_secs_f64(3_600.0 / p.changes);
        let (governs, made) = changes(&self.op, &lay, &self.hollow, gap, span).await;
        let open_count = self.roles(leader, &w.traffic.end(), p.seconds);
        let a_change = |n: usize| {
            let more = |r: &RoleRow| r.sent + r.received;
            (more(&open_count[n]) - more(&roles[n])) * p.seconds / made.max(1) as f64
        };
        let resident = usage::resident(std::process::id()).unwrap_or(0).saturating_sub(before);
        let slot = {
            let d = self.voters[0].disk.lock().unwrap_or_else(|e| e.into_inner());
            d.kept.as_ref().and_then(|i| common::wire::encode(i).ok()).map_or(0, |b| b.len()) as f64
        };
        let mut row = SizeRow {
            origin: "hollow",
            seed: p.seed,
            layout: lay,
            seconds: p.seconds,
            singletons: singletons(&self.hollow, &calm, p.seconds),
            state: state(&self.hollow),
            slot,
            cpu_ms_a_node_second: cpu / p.seconds / lay.nodes as f64,
            resident_a_node: resident as f64 / lay.nodes as f64,
            changes: made,
            change_bytes_router: a_change(2),
            change_bytes_leader: a_change(0),
            governs_ms: governs,
            opening: self.opening.clone(),
            roles,
            lost_node_ms: None,
            lost_zone_ms: None,
            lost_region_ms: None,
        };
        if !p.calm {
            self.lose(&mut row).await;
        }
        self.backs.iter().for_each(|b| b.crash());
        Ok(row)
    }

    /// A node; then a zone and a region, such as hold no voter where there are any.
    async fn lose(&mut self, row: &mut SizeRow) {
        if let Some(h) = self.hollow.pop() {
            row.lost_node_ms = Some(lost(&[&h], &self.hollow).await);
        }
        row.lost_zone_ms = self.lose_one_of(&|a| a.to_string()).await;
        let lay = self.lay;
        let region = |a: &str| a[1..].parse().map(|z| lay.region(z)).unwrap_or_default();
        row.lost_region_ms = self.lose_one_of(&region).await;
    }

    /// None where the core would lose its majority: then it is the core that is lost.
    async fn lose_one_of(&mut self, group: &dyn Fn(&str) -> String) -> Option<Span> {
        let runs: Vec<&str> = self.voters.iter().filter(|n| n.runs()).map(|n| n.zone).collect();
        let with = |name: &str| runs.iter().filter(|a| group(a) == name).count();
        let all: BTreeSet<String> = self.hollow.iter().map(|h| group(h.zone)).collect();
        let whole = all.into_iter().filter(|g| runs.len() - with(g) > VOTERS / 2).min_by_key(|g| with(g))?;
        let (gone, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.hollow).into_iter().partition(|h| group(h.zone) == whole);
        self.hollow = left;
        for n in self.voters.iter_mut().filter(|n| group(n.zone) == whole) {
            if let Some(Life::Hosted(h)) = n.process.take() {
                h.power_off(&n.disk).await;
            }
        }
        self.backs.iter().filter(|b| group(&b.shape.zone) == whole).for_each(|b| b.mute());
        Some(lost(&gone.iter().collect::<Vec<_>>(), &self.hollow).await)
    }
}
