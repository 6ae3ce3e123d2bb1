//! Changes of the cluster state (design 2.1) and the outcomes of applying them (design 4.6).

use super::{Document, NodeInfo, VoterInfo, size::MAX_NAME_BYTES};
use common::{Incarnation, Index, NodeId, OpId, ReplicaId, Revision, Service, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A replica of a service, as an operator registered it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the service.
    pub service: Service,
    /// Failure domain of the replica.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// Address for requests.
    pub addr: SocketAddr,
    /// The replica finishes the requests that it has and gets no new ones.
    pub draining: bool,
}

/// A change of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// Adds the replica, or replaces the one of this name.
    List {
        /// Name of the service.
        service: Service,
        /// Failure domain of the replica.
        #[serde(rename = "area")]
        zone: Zone,
        /// Address for requests.
        addr: SocketAddr,
    },
    /// The replica gets no new requests from now on.
    Drain,
    /// The replica is deleted.
    Remove,
}

/// One change of the cluster state: the payload of a log entry.
///
/// `op` identifies an operator's change: if the same change is sent again, it has the outcome of the first one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the document, if `base` is still the current revision.
    Apply {
        /// Name of the operation.
        op: OpId,
        /// The revision that the document is based on.
        base: Revision,
        /// The new document.
        text: Document,
    },
    /// Begins or ends the evacuation of a zone.
    Evacuate {
        /// Name of the operation.
        op: OpId,
        /// The zone.
        #[serde(rename = "area")]
        zone: Zone,
        /// Whether the evacuation begins; otherwise it ends.
        on: bool,
        /// Newest index that was known when this change was made. If an evacuation of the zone began or ended
        /// after it, this change has no effect.
        seen: Index,
    },
    /// Changes one replica.
    Replica {
        /// Name of the operation.
        op: OpId,
        /// The replica.
        id: ReplicaId,
        /// What changes.
        what: ReplicaChange,
    },
    /// A node becomes a member.
    Join(NodeInfo),
    /// The membership of a node ends.
    Expire {
        /// The member.
        node: NodeId,
        /// The incarnation whose membership ends; that of any other incarnation stays.
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        /// The node gave up its lease on a planned stop, so it serves no traffic.
        left: bool,
    },
    /// An operator confirms that a lost member is down and serves no traffic.
    #[serde(rename = "Down")]
    ConfirmDown {
        /// Name of the operation.
        op: OpId,
        /// The lost member.
        node: NodeId,
    },
    /// The voter with this number is replaced by this one. The entry is logged a second time once it is committed,
    /// which completes the replacement (design 2.5).
    ReplaceVoter(VoterInfo),
}

/// Upper bound on the encoded length of a change without its names and its document.
const CHANGE_OVERHEAD_BYTES: usize = 64;
/// Upper bound on the encoded length of a listed replica without its names.
const LISTING_OVERHEAD_BYTES: usize = 64;
/// Upper bound on the encoded length of a member without its names.
const MEMBER_OVERHEAD_BYTES: usize = 128;
/// Upper bound on the encoded length of an accepted document's outcome, without the operation's name.
const ACCEPTED_OUTCOME_BYTES: usize = 128;
/// Upper bound on the encoded length of any other change's outcome beyond that of the change itself.
const OTHER_OUTCOME_BYTES: usize = 96;

impl Change {
    /// Name of the operation, if an operator made the change.
    pub fn op(&self) -> Option<&OpId> {
        match self {
            Change::Apply { op, .. }
            | Change::Evacuate { op, .. }
            | Change::Replica { op, .. }
            | Change::ConfirmDown { op, .. } => Some(op),
            Change::Join(_) | Change::Expire { .. } | Change::ReplaceVoter(_) => None,
        }
    }

    /// Whether the change may withdraw routes or replicas from traffic, so that a router that misses it serves
    /// wrongly (design 3.7).
    pub fn restricts_traffic(&self) -> bool {
        match self {
            Change::Apply { .. } | Change::Evacuate { on: true, .. } => true,
            Change::Replica { what, .. } => !matches!(what, ReplicaChange::List { .. }),
            _ => false,
        }
    }

    /// Upper bound on the encoded length, in bytes; a test checks it.
    pub fn max_encoded_len(&self) -> usize {
        CHANGE_OVERHEAD_BYTES + self.payload_bytes()
    }

    fn payload_bytes(&self) -> usize {
        match self {
            Change::Apply { op, text, .. } => op.as_str().len() + text.packed_len(),
            Change::Evacuate { op, zone, .. } => op.as_str().len() + zone.as_str().len(),
            Change::Replica { op, id, what } => op.as_str().len() + id.as_str().len() + what.payload_bytes(),
            Change::Join(info) => info.node.as_str().len() + info.zone.as_str().len() + MEMBER_OVERHEAD_BYTES,
            Change::Expire { node, .. } => node.as_str().len(),
            Change::ConfirmDown { op, node } => op.as_str().len() + node.as_str().len(),
            Change::ReplaceVoter(voter) => voter.max_encoded_len(),
        }
    }

    /// Upper bound on what applying the change adds to the state beyond the encoded entry, in bytes: its outcome.
    pub(crate) fn max_state_growth(&self) -> usize {
        match self {
            Change::Apply { op, .. } => op.as_str().len() + ACCEPTED_OUTCOME_BYTES,
            other => other.max_encoded_len() + OTHER_OUTCOME_BYTES,
        }
    }

    /// Whether applying the change may make the state larger.
    pub(crate) fn may_grow_state(&self) -> bool {
        match self {
            Change::Apply { .. } | Change::Evacuate { on: true, .. } => true,
            Change::Replica { what, .. } => matches!(what, ReplicaChange::List { .. }),
            _ => false,
        }
    }

    /// Whether each name in the change is within the length limit.
    pub(crate) fn names_within_limit(&self) -> bool {
        self.op().is_none_or(|op| name_fits(op.as_str())) && self.target_names_within_limit()
    }

    fn target_names_within_limit(&self) -> bool {
        match self {
            Change::Apply { .. } => true,
            Change::Evacuate { zone, .. } => name_fits(zone.as_str()),
            Change::Replica { id, what, .. } => name_fits(id.as_str()) && what.names_within_limit(),
            Change::Join(info) => name_fits(info.node.as_str()) && name_fits(info.zone.as_str()),
            Change::Expire { node, .. } | Change::ConfirmDown { node, .. } => name_fits(node.as_str()),
            Change::ReplaceVoter(voter) => name_fits(voter.node.as_str()) && name_fits(voter.zone.as_str()),
        }
    }
}

impl ReplicaChange {
    fn payload_bytes(&self) -> usize {
        match self {
            ReplicaChange::List { service, zone, .. } => {
                service.as_str().len() + zone.as_str().len() + LISTING_OVERHEAD_BYTES
            }
            ReplicaChange::Drain | ReplicaChange::Remove => 0,
        }
    }

    fn names_within_limit(&self) -> bool {
        match self {
            ReplicaChange::List { service, zone, .. } => {
                name_fits(service.as_str()) && name_fits(zone.as_str())
            }
            ReplicaChange::Drain | ReplicaChange::Remove => true,
        }
    }
}

fn name_fits(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// Outcome of applying a committed change (design 4.6).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[must_use]
pub enum ApplyOutcome {
    /// The change took effect.
    Accepted {
        /// Revision of the document after the change.
        revision: Revision,
    },
    /// A change that this one does not take into account was committed first; this one never takes effect.
    Conflict {
        /// Current revision of the document.
        current: Revision,
    },
    /// The change is not possible in this state; it never takes effect.
    #[serde(rename = "Bounced")]
    Rejected {
        /// Why, in words for the operator.
        reason: String,
    },
}
