//! The shared state, folded from accepted changes alike on every node (design 2.1).

use crate::change::{ApplyOutcome, Change, NodeInfo, Replica, ReplicaMove, VoterInfo};
use crate::document::Document;
use crate::operations::AcceptedOperations;
use crate::partition_risk::LostMember;
use common::{Epoch, Index, NodeId, OpId, ReplicaId, Revision, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Verdicts kept of operations other than accepted documents, so that a repeated one answers as it
/// did at first.
pub const OPS_KEPT: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub info: NodeInfo,
    /// Number of this membership; the fencing token of every singleton role that it grants (design 3.2).
    pub epoch: Epoch,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    pub cluster: String,
    /// Known to members only: signs what one router tells another over HTTP (design 5.6).
    pub secret: u128,
    #[serde(rename = "idx")]
    pub index: Index,
    pub revision: Revision,
    pub text: Option<Document>,
    pub evacuated: BTreeSet<Zone>,
    /// Where a zone's evacuation was last begun or taken back.
    pub evacuation_changes: BTreeMap<Zone, Index>,
    pub replicas: BTreeMap<ReplicaId, Replica>,
    pub members: BTreeMap<NodeId, Member>,
    pub epoch: Epoch,
    pub voters: Vec<VoterInfo>,
    /// Lost members that may be serving on, in the order of their loss (design 3.7).
    pub lost: Vec<LostMember>,
    #[serde(rename = "ops")]
    pub recent_operations: VecDeque<(OpId, ApplyOutcome)>,
    /// Operations of accepted documents: kept apart, so that nothing else pushes them out.
    pub accepted: AcceptedOperations,
}

impl ClusterState {
    pub fn bootstrapped(cluster: &str, voters: Vec<VoterInfo>) -> Self {
        Self { cluster: cluster.into(), voters, ..Self::default() }
    }

    pub fn outcome(&self, op: &OpId) -> Option<ApplyOutcome> {
        let accepted = self.accepted.revision_of(op, self.revision);
        let other = || self.recent_operations.iter().find(|(o, _)| o == op).map(|(_, v)| v.clone());
        accepted.map(|revision| ApplyOutcome::Accepted { revision }).or_else(other)
    }

    /// Folds the change at its place; the order is the core's alone.
    pub fn fold(&mut self, index: Index, ch: &Change) -> ApplyOutcome {
        self.index = index;
        if let Some(v) = ch.op().and_then(|op| self.outcome(op)) {
            return v;
        }
        let v = self.effect(index, ch);
        if let Some(op) = ch.op() {
            self.record(op, ch, &v);
        }
        v
    }

    fn record(&mut self, op: &OpId, ch: &Change, v: &ApplyOutcome) {
        let made_a_revision = matches!((ch, v), (Change::Apply { .. }, ApplyOutcome::Accepted { .. }));
        if made_a_revision && !common::runtime::broken("verdicts-by-count") {
            return self.accepted.record(op);
        }
        self.recent_operations.push_back((op.clone(), v.clone()));
        if self.recent_operations.len() > OPS_KEPT {
            self.recent_operations.pop_front();
        }
    }

    fn effect(&mut self, index: Index, ch: &Change) -> ApplyOutcome {
        match ch {
            Change::Apply { base, text, .. } => {
                if *base != self.revision {
                    return ApplyOutcome::Conflict { current: self.revision };
                }
                self.revision = self.revision.next();
                self.text = Some(text.clone());
            }
            Change::Evacuate { zone, on, seen, .. } => return self.evacuate(index, zone, *on, *seen),
            Change::Replica { id, what, .. } => return self.replica(id, what),
            Change::Join(info) => {
                self.epoch = Epoch(index.0);
                let epoch = self.epoch;
                let m = Member { info: info.clone(), epoch };
                self.lost.retain(|x| x.node != info.node);
                self.members.insert(info.node.clone(), m);
            }
            Change::Expire { node, incarnation, left } => {
                if self.members.get(node).is_some_and(|m| m.info.incarnation == *incarnation) {
                    if !left {
                        let of = self.members.len() as u32;
                        self.lost.push(LostMember { node: node.clone(), of });
                    }
                    self.members.remove(node);
                    self.epoch = Epoch(index.0);
                }
            }
            Change::Down { node, .. } => {
                if !self.lost.iter().any(|x| x.node == *node) {
                    return ApplyOutcome::Rejected { reason: format!("'{node}' is not among the lost") };
                }
                self.lost.retain(|x| x.node != *node);
            }
            Change::ReplaceVoter(h) => {
                self.voters.iter_mut().filter(|o| o.number == h.number).for_each(|o| *o = h.clone());
            }
        }
        ApplyOutcome::Accepted { revision: self.revision }
    }

    /// One that changes nothing is accepted; one that is overtaken by a newer one is not.
    fn evacuate(&mut self, index: Index, zone: &Zone, on: bool, seen: Index) -> ApplyOutcome {
        if self.evacuated.contains(zone) == on {
            return ApplyOutcome::Accepted { revision: self.revision };
        }
        let overtaken = self.evacuation_changes.get(zone).is_some_and(|at| *at > seen);
        if overtaken && !common::runtime::broken("late-evacuations") {
            return ApplyOutcome::Conflict { current: self.revision };
        }
        if on {
            self.evacuated.insert(zone.clone());
        } else {
            self.evacuated.remove(zone);
        }
        self.evacuation_changes.insert(zone.clone(), index);
        ApplyOutcome::Accepted { revision: self.revision }
    }

    fn replica(&mut self, id: &ReplicaId, what: &ReplicaMove) -> ApplyOutcome {
        let known = self.replicas.get_mut(id);
        match (what, known) {
            (ReplicaMove::List { service, zone, addr }, _) => {
                let r =
                    Replica { service: service.clone(), zone: zone.clone(), addr: *addr, draining: false };
                self.replicas.insert(id.clone(), r);
            }
            (ReplicaMove::Drain, Some(r)) => r.draining = true,
            (ReplicaMove::Remove, Some(_)) => {
                self.replicas.remove(id);
            }
            (_, None) => {
                return ApplyOutcome::Rejected { reason: format!("no replica '{id}' is listed") };
            }
        }
        ApplyOutcome::Accepted { revision: self.revision }
    }

    pub fn routers(&self) -> Vec<&Member> {
        self.members.values().filter(|m| m.info.role == crate::change::Role::Router).collect()
    }
}
