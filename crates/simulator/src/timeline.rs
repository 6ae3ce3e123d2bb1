//! What was out, and when, by the acts of a run (design 7.5): when a job could have been served.

use crate::{actions::Action, fake_replica::FakeReplica, fault::FaultKind};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// The fleet as the audit must know it.
pub struct Topology {
    /// Name, zone, and address of each router.
    pub routers: Vec<(String, &'static str, SocketAddr)>,
    pub zones: Vec<(&'static str, &'static str)>,
    pub model: &'static str,
}

impl Topology {
    pub fn region_of(&self, zone: &str) -> &'static str {
        self.zones.iter().find(|a| a.0 == zone).map_or("", |a| a.1)
    }
}

type Span = (Instant, Option<Instant>);

/// For each node, replica and evacuation (`evac/AREA`): when it was out.
#[derive(Default)]
pub struct Timeline(BTreeMap<String, Vec<Span>>);

fn evacuation_key(name: &str) -> String {
    format!("evac/{name}")
}

impl Timeline {
    pub fn from_actions(actions: &[Action], topology: &Topology, replicas: &[Arc<FakeReplica>]) -> Timeline {
        let mut t = Timeline::default();
        for a in actions {
            let target = a.fault.target.trim_end_matches('>').to_string();
            let nodes = || -> Vec<String> {
                let inside = |r: &&(String, &str, SocketAddr)| r.0 == target || r.1 == target;
                topology.routers.iter().filter(inside).map(|r| r.0.clone()).collect()
            };
            let reps = || -> Vec<String> {
                replicas
                    .iter()
                    .filter(|b| b.id == target || b.spec.zone == target)
                    .map(|b| b.id.clone())
                    .collect()
            };
            let all = || -> Vec<String> { replicas.iter().map(|b| b.id.clone()).collect() };
            match a.fault.kind {
                FaultKind::Kill | FaultKind::Stop | FaultKind::Freeze | FaultKind::Dark | FaultKind::Cut => {
                    t.mark_down(nodes(), a.started);
                }
                FaultKind::Start | FaultKind::Blank | FaultKind::Thaw | FaultKind::Mend => {
                    t.mark_up(nodes(), a.finished);
                }
                FaultKind::KillArea => t.mark_down([nodes(), reps()].concat(), a.started),
                FaultKind::StartArea => t.mark_up([nodes(), reps()].concat(), a.finished),
                FaultKind::Crash | FaultKind::Mute | FaultKind::Drain | FaultKind::Remove => {
                    t.mark_down(reps(), a.started);
                }
                FaultKind::Lose | FaultKind::Take | FaultKind::Swap => t.mark_down(reps(), a.started),
                FaultKind::Cold | FaultKind::Unmute => t.mark_up(reps(), a.finished),
                FaultKind::BrownOut | FaultKind::Sour => t.mark_down(all(), a.started),
                FaultKind::BrownOver | FaultKind::Sweet => t.mark_up(all(), a.finished),
                FaultKind::Evacuate | FaultKind::EvacuateAndPatch => {
                    t.mark_down(vec![evacuation_key(&target)], a.started);
                }
                FaultKind::Restore if a.ok => t.mark_up(vec![evacuation_key(&target)], a.finished),
                _ => {}
            }
        }
        t
    }

    fn mark_down(&mut self, names: Vec<String>, at: Instant) {
        for n in names {
            let v = self.0.entry(n).or_default();
            if v.last().is_none_or(|s| s.1.is_some()) {
                v.push((at, None));
            }
        }
    }

    fn mark_up(&mut self, names: Vec<String>, at: Instant) {
        for n in names {
            let open = self.0.get_mut(&n).and_then(|v| v.last_mut());
            open.into_iter().filter(|s| s.1.is_none()).for_each(|s| s.1 = Some(at));
        }
    }

    /// Whether something was out at any time between the two.
    pub fn was_down_during(&self, name: &str, from: Instant, to: Instant) -> bool {
        let spans = self.0.get(name).map(Vec::as_slice).unwrap_or(&[]);
        spans.iter().any(|s| s.0 <= to && s.1.is_none_or(|e| e >= from))
    }

    fn is_up(&self, name: &str, at: Instant) -> bool {
        !self.was_down_during(name, at, at)
    }

    /// Whether a job with these homes could be served at a time: a router and a replica of its
    /// service in one of them.
    pub fn can_serve(
        &self,
        topology: &Topology,
        replicas: &[Arc<FakeReplica>],
        service: &str,
        homes: &[&str],
        at: Instant,
    ) -> bool {
        let open = |zone: &str| self.is_up(&evacuation_key(zone), at);
        homes.iter().any(|h| {
            let router = topology
                .routers
                .iter()
                .any(|r| topology.region_of(r.1) == *h && open(r.1) && self.is_up(&r.0, at));
            let replica = replicas.iter().any(|b| {
                b.spec.service == service
                    && b.spec.region == *h
                    && open(&b.spec.zone)
                    && self.is_up(&b.id, at)
            });
            router && replica
        })
    }

    /// Since when it could be served without a break, looking back from a time at which it can.
    pub fn servable_since(
        &self,
        topology: &Topology,
        replicas: &[Arc<FakeReplica>],
        service: &str,
        homes: &[&str],
        at: Instant,
        began: Instant,
    ) -> Option<Instant> {
        let ok = |t: Instant| self.can_serve(topology, replicas, service, homes, t);
        if !ok(at) {
            return None;
        }
        let mut edges: Vec<Instant> =
            self.0.values().flatten().flat_map(|s| [Some(s.0), s.1]).flatten().collect();
        edges.retain(|e| *e <= at && *e >= began);
        edges.sort();
        let mut since = at;
        for e in edges.into_iter().rev() {
            if !ok(e) {
                return Some(since);
            }
            since = e;
        }
        Some(began)
    }
}
