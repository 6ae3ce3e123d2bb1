//! The cluster state: the result of all committed changes, applied in the same order on every node (design 2.1).

use super::AcceptedOperations;
use crate::types::{
    ApplyOutcome, Change, Document, LostMember, Member, NodeInfo, Replica, ReplicaChange, Role, VoterInfo,
};
use common::{Epoch, Incarnation, Index, NodeId, OpId, ReplicaId, Revision, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of outcomes that are kept of operations other than accepted documents. A repeated operation is answered
/// with its first outcome while that is kept.
pub const MAX_RECENT_OPERATIONS: usize = 512;

/// The state that the nodes of a cluster agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    /// Name of the cluster.
    pub cluster: String,
    /// Key that only members know; it signs requests that one router forwards to another (design 5.6).
    pub secret: u128,
    /// Index of the last change that was applied.
    #[serde(rename = "idx")]
    pub index: Index,
    /// Revision of the document in force.
    pub revision: Revision,
    /// The document in force.
    pub text: Option<Document>,
    /// Evacuated zones: they get no new work.
    pub evacuated: BTreeSet<Zone>,
    /// Index of the change that last began or ended the evacuation of each zone.
    pub evacuation_changes: BTreeMap<Zone, Index>,
    /// The replicas that are listed.
    pub replicas: BTreeMap<ReplicaId, Replica>,
    /// Nodes that hold a membership.
    pub members: BTreeMap<NodeId, Member>,
    /// Index of the last join or expiry. It is the fencing token of all singleton roles (design 3.2).
    pub epoch: Epoch,
    /// The voter set.
    pub voters: Vec<VoterInfo>,
    /// The voter that was replaced last, until a second entry shows that a majority of the voters knows of the
    /// replacement. Until then it must keep its state, and may have to vote (design 2.5).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_voter: Option<VoterInfo>,
    /// Lost members that may still be serving, in the order of their loss (design 3.7).
    pub lost: Vec<LostMember>,
    /// Outcomes of the newest operations other than accepted documents, oldest first.
    #[serde(rename = "ops")]
    pub recent_operations: VecDeque<(OpId, ApplyOutcome)>,
    /// Operations of accepted documents, kept separately so that other operations don't evict them.
    #[serde(rename = "accepted")]
    pub accepted_operations: AcceptedOperations,
}

impl ClusterState {
    /// The state of a new cluster, before any change.
    pub fn bootstrapped(cluster: &str, voters: Vec<VoterInfo>) -> Self {
        Self { cluster: cluster.into(), voters, ..Self::default() }
    }

    /// The outcome of an operation, if it is known.
    pub fn outcome(&self, op: &OpId) -> Option<ApplyOutcome> {
        let accepted = self.accepted_operations.revision_of(op, self.revision);
        let other = || {
            self.recent_operations.iter().find(|(known, _)| known == op).map(|(_, outcome)| outcome.clone())
        };
        accepted.map(|revision| ApplyOutcome::Accepted { revision }).or_else(other)
    }

    /// Applies a committed change. An operation whose outcome is already known is not applied again.
    pub fn apply(&mut self, index: Index, change: &Change) -> ApplyOutcome {
        self.index = index;
        if let Some(outcome) = change.op().and_then(|op| self.outcome(op)) {
            return outcome;
        }
        let outcome = self.apply_new(index, change);
        if let Some(op) = change.op() {
            self.record_outcome(op, change, &outcome);
        }
        outcome
    }

    /// Keeps the outcome of an operation, and drops the oldest one beyond the limit.
    fn record_outcome(&mut self, op: &OpId, change: &Change, outcome: &ApplyOutcome) {
        let created_revision =
            matches!((change, outcome), (Change::Apply { .. }, ApplyOutcome::Accepted { .. }));
        if created_revision && !common::mutation::enabled("verdicts-by-count") {
            return self.accepted_operations.record(op);
        }
        self.recent_operations.push_back((op.clone(), outcome.clone()));
        if self.recent_operations.len() > MAX_RECENT_OPERATIONS {
            self.recent_operations.pop_front();
        }
    }

    /// Applies a change whose operation has no outcome yet.
    fn apply_new(&mut self, index: Index, change: &Change) -> ApplyOutcome {
        match change {
            Change::Apply { base, text, .. } => return self.replace_document(*base, text),
            Change::Evacuate { zone, on, seen, .. } => return self.evacuate(index, zone, *on, *seen),
            Change::Replica { id, what, .. } => return self.change_replica(id, what),
            Change::ConfirmDown { node, .. } => return self.confirm_down(node),
            Change::Join(info) => self.join(index, info),
            Change::Expire { node, incarnation, left } => self.expire(index, node, *incarnation, *left),
            Change::ReplaceVoter(voter) => self.replace_voter(voter),
        }
        self.accepted()
    }

    fn accepted(&self) -> ApplyOutcome {
        ApplyOutcome::Accepted { revision: self.revision }
    }

    fn conflict(&self) -> ApplyOutcome {
        ApplyOutcome::Conflict { current: self.revision }
    }

    fn replace_document(&mut self, base: Revision, text: &Document) -> ApplyOutcome {
        if base != self.revision {
            return self.conflict();
        }
        self.revision = self.revision.next();
        self.text = Some(text.clone());
        self.accepted()
    }

    /// Begins or ends the evacuation of a zone. A request that changes nothing is accepted. One that is based on an
    /// older state than the zone's last such change is not: it may have been delayed on its way.
    fn evacuate(&mut self, index: Index, zone: &Zone, on: bool, seen: Index) -> ApplyOutcome {
        if self.evacuated.contains(zone) == on {
            return self.accepted();
        }
        let is_outdated = self.evacuation_changes.get(zone).is_some_and(|at| *at > seen);
        if is_outdated && !common::mutation::enabled("late-evacuations") {
            return self.conflict();
        }
        if on {
            self.evacuated.insert(zone.clone());
        } else {
            self.evacuated.remove(zone);
        }
        self.evacuation_changes.insert(zone.clone(), index);
        self.accepted()
    }

    fn change_replica(&mut self, id: &ReplicaId, change: &ReplicaChange) -> ApplyOutcome {
        match (change, self.replicas.get_mut(id)) {
            (ReplicaChange::List { service, zone, addr }, _) => {
                let (service, zone) = (service.clone(), zone.clone());
                let replica = Replica { service, zone, addr: *addr, draining: false };
                self.replicas.insert(id.clone(), replica);
            }
            (ReplicaChange::Drain, Some(replica)) => replica.draining = true,
            (ReplicaChange::Remove, Some(_)) => {
                self.replicas.remove(id);
            }
            (_, None) => {
                return ApplyOutcome::Rejected { reason: format!("no replica '{id}' is listed") };
            }
        }
        self.accepted()
    }

    fn confirm_down(&mut self, node: &NodeId) -> ApplyOutcome {
        if !self.lost.iter().any(|lost| lost.node == *node) {
            return ApplyOutcome::Rejected { reason: format!("'{node}' is not among the lost") };
        }
        self.lost.retain(|lost| lost.node != *node);
        self.accepted()
    }

    fn join(&mut self, index: Index, info: &NodeInfo) {
        self.epoch = Epoch(index.0);
        self.lost.retain(|lost| lost.node != info.node);
        let member = Member { info: info.clone(), epoch: self.epoch };
        self.members.insert(info.node.clone(), member);
    }

    fn expire(&mut self, index: Index, node: &NodeId, incarnation: Incarnation, left: bool) {
        if self.members.get(node).is_none_or(|member| member.info.incarnation != incarnation) {
            return;
        }
        if !left {
            let members_before = self.members.len() as u32;
            self.lost.push(LostMember { node: node.clone(), members_before });
        }
        self.members.remove(node);
        self.epoch = Epoch(index.0);
    }

    /// The members that are routers: those that carry traffic.
    pub fn routers(&self) -> Vec<&Member> {
        self.members.values().filter(|member| member.info.role == Role::Router).collect()
    }

    /// Whether a member, voter or replica is in the zone, or the zone is evacuated.
    pub fn knows_zone(&self, zone: &Zone) -> bool {
        self.members.values().any(|member| member.info.zone == *zone)
            || self.voters.iter().any(|voter| voter.zone == *zone)
            || self.replicas.values().any(|replica| replica.zone == *zone)
            || self.evacuated.contains(zone)
    }

    /// Upper bound on the encoded length of the state, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        let length = |name: &str, overhead: usize| name.len() + overhead;
        let text = self.text.as_ref().map_or(0, Document::packed_len);
        let evacuated: usize = self.evacuated.iter().map(|zone| length(zone.as_str(), 16)).sum();
        let changes: usize = self.evacuation_changes.keys().map(|zone| length(zone.as_str(), 24)).sum();
        let replica = |(id, replica): (&ReplicaId, &Replica)| {
            id.as_str().len() + replica.service.as_str().len() + replica.zone.as_str().len() + 96
        };
        let member =
            |member: &Member| 2 * member.info.node.as_str().len() + member.info.zone.as_str().len() + 160;
        let operation =
            |(op, outcome): &(OpId, ApplyOutcome)| length(op.as_str(), 16) + outcome.max_encoded_len();
        256 + self.cluster.len()
            + text
            + evacuated
            + changes
            + self.lost.iter().map(|lost| length(lost.node.as_str(), 16)).sum::<usize>()
            + self.replicas.iter().map(replica).sum::<usize>()
            + self.members.values().map(member).sum::<usize>()
            + self.voters.iter().chain(&self.leaving_voter).map(VoterInfo::max_encoded_len).sum::<usize>()
            + self.recent_operations.iter().map(operation).sum::<usize>()
            + self.accepted_operations.max_encoded_len()
    }
}

impl ApplyOutcome {
    /// Upper bound on the encoded length of the outcome, in bytes.
    fn max_encoded_len(&self) -> usize {
        match self {
            ApplyOutcome::Rejected { reason } => reason.len() + 32,
            ApplyOutcome::Accepted { .. } | ApplyOutcome::Conflict { .. } => 32,
        }
    }
}
