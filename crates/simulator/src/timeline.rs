//! What was down and when, derived from the actions of a run, and so when a request could have been served
//! (design 7.5).

use crate::{actions::Action, fake_replica::FakeReplica, fault::FaultKind};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// What the audit needs to know of the fleet.
pub struct Topology {
    /// Name, zone, and address of each router.
    pub routers: Vec<(String, &'static str, SocketAddr)>,
    /// Each zone and its region.
    pub zones: Vec<(&'static str, &'static str)>,
    /// The service that runs the model.
    pub model: &'static str,
}

impl Topology {
    /// Region of a zone; empty if the zone is unknown.
    pub fn region_of(&self, zone: &str) -> &'static str {
        self.zones.iter().find(|(name, _)| *name == zone).map_or("", |(_, region)| *region)
    }
}

/// When something went down and when it was back; `None` while it is down.
type Span = (Instant, Option<Instant>);

/// The downtimes of each router and replica, by name, and of each evacuated zone (`evac/ZONE`).
#[derive(Default)]
pub struct Timeline(BTreeMap<String, Vec<Span>>);

fn evacuation_key(name: &str) -> String {
    format!("evac/{name}")
}

impl Timeline {
    /// The downtimes that these actions caused.
    pub fn from_actions(actions: &[Action], topology: &Topology, replicas: &[Arc<FakeReplica>]) -> Timeline {
        let mut timeline = Timeline::default();
        for action in actions {
            let target = action.fault.target.trim_end_matches('>').to_string();
            let routers = || -> Vec<String> {
                let inside =
                    |(name, zone, _): &&(String, &str, SocketAddr)| *name == target || *zone == target;
                topology.routers.iter().filter(inside).map(|(name, _, _)| name.clone()).collect()
            };
            let replica_ids = || -> Vec<String> {
                replicas
                    .iter()
                    .filter(|replica| replica.id == target || replica.spec.zone == target)
                    .map(|replica| replica.id.clone())
                    .collect()
            };
            let all_replicas =
                || -> Vec<String> { replicas.iter().map(|replica| replica.id.clone()).collect() };
            match action.fault.kind {
                FaultKind::Kill
                | FaultKind::Stop
                | FaultKind::Freeze
                | FaultKind::PowerOff
                | FaultKind::Cut => {
                    timeline.mark_down(routers(), action.started);
                }
                FaultKind::Start | FaultKind::Blank | FaultKind::Thaw | FaultKind::Heal => {
                    timeline.mark_up(routers(), action.finished);
                }
                FaultKind::KillZone => {
                    timeline.mark_down([routers(), replica_ids()].concat(), action.started);
                }
                FaultKind::StartZone => {
                    timeline.mark_up([routers(), replica_ids()].concat(), action.finished);
                }
                FaultKind::Crash | FaultKind::Mute | FaultKind::Drain | FaultKind::Remove => {
                    timeline.mark_down(replica_ids(), action.started);
                }
                FaultKind::Lose | FaultKind::Take | FaultKind::Swap => {
                    timeline.mark_down(replica_ids(), action.started);
                }
                FaultKind::Cold | FaultKind::Unmute => timeline.mark_up(replica_ids(), action.finished),
                FaultKind::BrownOut | FaultKind::RejectAll => {
                    timeline.mark_down(all_replicas(), action.started);
                }
                FaultKind::BrownOver | FaultKind::AcceptAll => {
                    timeline.mark_up(all_replicas(), action.finished);
                }
                FaultKind::Evacuate | FaultKind::EvacuateAndPatch => {
                    timeline.mark_down(vec![evacuation_key(&target)], action.started);
                }
                FaultKind::Restore if action.succeeded => {
                    timeline.mark_up(vec![evacuation_key(&target)], action.finished);
                }
                _ => {}
            }
        }
        timeline
    }

    fn mark_down(&mut self, names: Vec<String>, at: Instant) {
        for name in names {
            let spans = self.0.entry(name).or_default();
            if spans.last().is_none_or(|span| span.1.is_some()) {
                spans.push((at, None));
            }
        }
    }

    fn mark_up(&mut self, names: Vec<String>, at: Instant) {
        for name in names {
            let last = self.0.get_mut(&name).and_then(|spans| spans.last_mut());
            last.into_iter().filter(|span| span.1.is_none()).for_each(|span| span.1 = Some(at));
        }
    }

    /// Whether something was down at any time between the two instants.
    pub fn was_down_during(&self, name: &str, from: Instant, to: Instant) -> bool {
        let spans = self.0.get(name).map(Vec::as_slice).unwrap_or(&[]);
        spans.iter().any(|span| span.0 <= to && span.1.is_none_or(|end| end >= from))
    }

    fn is_up(&self, name: &str, at: Instant) -> bool {
        !self.was_down_during(name, at, at)
    }

    /// Whether a request with these home regions could be served at that time: one of them had a router and a
    /// replica of the service.
    pub fn can_serve(
        &self,
        topology: &Topology,
        replicas: &[Arc<FakeReplica>],
        service: &str,
        homes: &[&str],
        at: Instant,
    ) -> bool {
        let in_use = |zone: &str| self.is_up(&evacuation_key(zone), at);
        homes.iter().any(|home| {
            let has_router = topology.routers.iter().any(|(name, zone, _)| {
                topology.region_of(zone) == *home && in_use(zone) && self.is_up(name, at)
            });
            let has_replica = replicas.iter().any(|replica| {
                replica.spec.service == service
                    && replica.spec.region == *home
                    && in_use(&replica.spec.zone)
                    && self.is_up(&replica.id, at)
            });
            has_router && has_replica
        })
    }

    /// The earliest time, not before `began`, from which such a request could be served without interruption up to `at`;
    /// `None` if it could not be served at `at`.
    pub fn servable_since(
        &self,
        topology: &Topology,
        replicas: &[Arc<FakeReplica>],
        service: &str,
        homes: &[&str],
        at: Instant,
        began: Instant,
    ) -> Option<Instant> {
        let servable = |time: Instant| self.can_serve(topology, replicas, service, homes, time);
        if !servable(at) {
            return None;
        }
        let mut edges: Vec<Instant> =
            self.0.values().flatten().flat_map(|span| [Some(span.0), span.1]).flatten().collect();
        edges.retain(|edge| *edge <= at && *edge >= began);
        edges.sort();
        let mut since = at;
        for edge in edges.into_iter().rev() {
            if !servable(edge) {
                return Some(since);
            }
            since = edge;
        }
        Some(began)
    }
}
