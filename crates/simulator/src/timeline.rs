//! What was out, and when, by the acts of a run (design 7.5): when a job could have been served.

use crate::{acts::Act, fault::What, standin::StandIn};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// The fleet as the audit must know it.
pub struct Scene {
    /// Name, zone, and address of each router.
    pub routers: Vec<(String, &'static str, SocketAddr)>,
    pub zones: Vec<(&'static str, &'static str)>,
    pub model: &'static str,
}

impl Scene {
    pub fn region_of(&self, zone: &str) -> &'static str {
        self.zones.iter().find(|a| a.0 == zone).map_or("", |a| a.1)
    }
}

type Span = (Instant, Option<Instant>);

/// For each node, replica and evacuation (`evac/AREA`): when it was out.
#[derive(Default)]
pub struct Timeline(BTreeMap<String, Vec<Span>>);

fn area_of(name: &str) -> String {
    format!("evac/{name}")
}

impl Timeline {
    pub fn of(acts: &[Act], scene: &Scene, backs: &[Arc<StandIn>]) -> Timeline {
        let mut t = Timeline::default();
        for a in acts {
            let whom = a.fault.whom.trim_end_matches('>').to_string();
            let nodes = || -> Vec<String> {
                let inside = |r: &&(String, &str, SocketAddr)| r.0 == whom || r.1 == whom;
                scene.routers.iter().filter(inside).map(|r| r.0.clone()).collect()
            };
            let reps = || -> Vec<String> {
                backs.iter().filter(|b| b.id == whom || b.shape.zone == whom).map(|b| b.id.clone()).collect()
            };
            let all = || -> Vec<String> { backs.iter().map(|b| b.id.clone()).collect() };
            match a.fault.what {
                What::Kill | What::Stop | What::Freeze | What::Dark | What::Cut => t.out(nodes(), a.at),
                What::Start | What::Blank | What::Thaw | What::Mend => t.back(nodes(), a.done),
                What::KillArea => t.out([nodes(), reps()].concat(), a.at),
                What::StartArea => t.back([nodes(), reps()].concat(), a.done),
                What::Crash | What::Mute | What::Drain | What::Remove => t.out(reps(), a.at),
                What::Lose | What::Take | What::Swap => t.out(reps(), a.at),
                What::Cold | What::Unmute => t.back(reps(), a.done),
                What::BrownOut | What::Sour => t.out(all(), a.at),
                What::BrownOver | What::Sweet => t.back(all(), a.done),
                What::Evacuate | What::EvacuateAndPatch => t.out(vec![area_of(&whom)], a.at),
                What::Restore if a.ok => t.back(vec![area_of(&whom)], a.done),
                _ => {}
            }
        }
        t
    }

    fn out(&mut self, names: Vec<String>, at: Instant) {
        for n in names {
            let v = self.0.entry(n).or_default();
            if v.last().is_none_or(|s| s.1.is_some()) {
                v.push((at, None));
            }
        }
    }

    fn back(&mut self, names: Vec<String>, at: Instant) {
        for n in names {
            let open = self.0.get_mut(&n).and_then(|v| v.last_mut());
            open.into_iter().filter(|s| s.1.is_none()).for_each(|s| s.1 = Some(at));
        }
    }

    /// Whether something was out at any time between the two.
    pub fn touched(&self, name: &str, from: Instant, to: Instant) -> bool {
        let spans = self.0.get(name).map(Vec::as_slice).unwrap_or(&[]);
        spans.iter().any(|s| s.0 <= to && s.1.is_none_or(|e| e >= from))
    }

    fn up(&self, name: &str, at: Instant) -> bool {
        !self.touched(name, at, at)
    }

    /// Whether a job with these homes could be served at a time: a router and a replica of its
    /// service in one of them.
    pub fn servable(
        &self,
        scene: &Scene,
        backs: &[Arc<StandIn>],
        service: &str,
        homes: &[&str],
        at: Instant,
    ) -> bool {
        let open = |zone: &str| self.up(&area_of(zone), at);
        homes.iter().any(|h| {
            let router =
                scene.routers.iter().any(|r| scene.region_of(r.1) == *h && open(r.1) && self.up(&r.0, at));
            let replica = backs.iter().any(|b| {
                b.shape.service == service
                    && b.shape.region == *h
                    && open(&b.shape.zone)
                    && self.up(&b.id, at)
            });
            router && replica
        })
    }

    /// Since when it could be served without a break, looking back from a time at which it can.
    pub fn servable_since(
        &self,
        scene: &Scene,
        backs: &[Arc<StandIn>],
        service: &str,
        homes: &[&str],
        at: Instant,
        began: Instant,
    ) -> Option<Instant> {
        let ok = |t: Instant| self.servable(scene, backs, service, homes, t);
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
