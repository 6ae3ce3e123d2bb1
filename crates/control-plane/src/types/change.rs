//! Changes of the cluster state (design 2.1) and what becomes of them (design 4.6).

use super::{Document, NodeInfo, VoterInfo, size::MAX_NAME_BYTES};
use common::{Incarnation, Index, NodeId, OpId, ReplicaId, Revision, Service, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A replica of a service, as operators list it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The service that it serves.
    pub service: Service,
    /// Its failure domain.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// Where it listens.
    pub addr: SocketAddr,
    /// It finishes what it has and gets nothing new.
    pub draining: bool,
}

/// A change of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// Adds it, or replaces what was listed under its name.
    List {
        /// The service that it serves.
        service: Service,
        /// Its failure domain.
        #[serde(rename = "area")]
        zone: Zone,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// It gets nothing new from now on.
    Drain,
    /// It is listed no more.
    Remove,
}

/// One change of the cluster state: the payload of a log entry.
///
/// `op` names an operator's change, so that the same one sent again has the outcome of the first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the document, if `base` is still the current revision.
    Apply {
        /// Name of the operation.
        op: OpId,
        /// The revision that the document builds on.
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
        /// Whether it is begun.
        on: bool,
        /// Newest index known when the order was decided: an evacuation of the zone that was begun or
        /// ended since then stands.
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
    /// A node begins a membership.
    Join(NodeInfo),
    /// A membership ends.
    Expire {
        /// The member.
        node: NodeId,
        /// The incarnation whose membership ends; another one's is left alone.
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        /// The lease was given back on a planned stop, so the node serves nobody.
        left: bool,
    },
    /// An operator confirms that a lost member is down and serves nobody.
    #[serde(rename = "Down")]
    ConfirmDown {
        /// Name of the operation.
        op: OpId,
        /// The lost member.
        node: NodeId,
    },
    /// Another holder takes the voter's number (design 2.5).
    ReplaceVoter(VoterInfo),
}

/// What a change takes besides its names and its document, at most.
const CHANGE_OVERHEAD_BYTES: usize = 64;
/// What a listed replica takes besides its names.
const LISTING_OVERHEAD_BYTES: usize = 64;
/// What a member takes besides its names.
const MEMBER_OVERHEAD_BYTES: usize = 128;
/// What the outcome of an accepted document takes in the state besides the operation's name.
const ACCEPTED_OUTCOME_BYTES: usize = 128;
/// What the outcome of any other change takes besides the change itself.
const OTHER_OUTCOME_BYTES: usize = 96;

impl Change {
    /// The operator's name for it, if an operator made it.
    pub fn op(&self) -> Option<&OpId> {
        match self {
            Change::Apply { op, .. }
            | Change::Evacuate { op, .. }
            | Change::Replica { op, .. }
            | Change::ConfirmDown { op, .. } => Some(op),
            Change::Join(_) | Change::Expire { .. } | Change::ReplaceVoter(_) => None,
        }
    }

    /// Whether it may take something away from traffic, so that a router that does not learn of it serves
    /// wrongly (design 3.7).
    pub fn restricts_traffic(&self) -> bool {
        match self {
            Change::Apply { .. } | Change::Evacuate { on: true, .. } => true,
            Change::Replica { what, .. } => !matches!(what, ReplicaChange::List { .. }),
            _ => false,
        }
    }

    /// Upper bound on its encoded length, in bytes; a test holds it to that.
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

    /// Upper bound on what applying it adds to the state beyond the entry itself, in bytes: its outcome.
    pub(crate) fn max_state_growth(&self) -> usize {
        match self {
            Change::Apply { op, .. } => op.as_str().len() + ACCEPTED_OUTCOME_BYTES,
            other => other.max_encoded_len() + OTHER_OUTCOME_BYTES,
        }
    }

    /// Whether applying it may make the state larger.
    pub(crate) fn may_grow_state(&self) -> bool {
        match self {
            Change::Apply { .. } | Change::Evacuate { on: true, .. } => true,
            Change::Replica { what, .. } => matches!(what, ReplicaChange::List { .. }),
            _ => false,
        }
    }

    /// Whether no name in it is longer than a name may be.
    pub(crate) fn names_within_limit(&self) -> bool {
        self.op().is_none_or(|op| fits(op.as_str())) && self.other_names_fit()
    }

    fn other_names_fit(&self) -> bool {
        match self {
            Change::Apply { .. } => true,
            Change::Evacuate { zone, .. } => fits(zone.as_str()),
            Change::Replica { id, what, .. } => fits(id.as_str()) && what.names_within_limit(),
            Change::Join(info) => fits(info.node.as_str()) && fits(info.zone.as_str()),
            Change::Expire { node, .. } | Change::ConfirmDown { node, .. } => fits(node.as_str()),
            Change::ReplaceVoter(voter) => fits(voter.node.as_str()) && fits(voter.zone.as_str()),
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
            ReplicaChange::List { service, zone, .. } => fits(service.as_str()) && fits(zone.as_str()),
            ReplicaChange::Drain | ReplicaChange::Remove => true,
        }
    }
}

fn fits(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// What became of a change once it was committed (design 4.6).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[must_use]
pub enum ApplyOutcome {
    /// It is in force.
    Accepted {
        /// The revision of the document after it.
        revision: Revision,
    },
    /// Another change was committed first; this one never takes effect.
    Conflict {
        /// The revision of the document in force.
        current: Revision,
    },
    /// It asks for what can't be done; it never takes effect.
    #[serde(rename = "Bounced")]
    Rejected {
        /// For the operator.
        reason: String,
    },
}
