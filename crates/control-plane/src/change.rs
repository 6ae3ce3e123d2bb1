//! What the log can hold (design 2.1): every change of the shared state.

use crate::document::Document;
use common::{Incarnation, Index, NodeId, OpId, ReplicaId, Revision, Service, Zone, settings::Settings};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    Core,
    Router,
}

/// VoterInfo of a voter; a lost disk or a new machine has another incarnation (design 2.5).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterInfo {
    pub number: u8,
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    pub node: NodeId,
    #[serde(rename = "area")]
    pub zone: Zone,
    #[serde(rename = "rail")]
    pub rpc_addr: SocketAddr,
    pub http: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    pub service: Service,
    #[serde(rename = "area")]
    pub zone: Zone,
    pub addr: SocketAddr,
    pub draining: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMove {
    List {
        service: Service,
        #[serde(rename = "area")]
        zone: Zone,
        addr: SocketAddr,
    },
    Drain,
    Remove,
}

/// A node as it presents itself when it asks for a lease (design 3.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    pub node: NodeId,
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    pub role: Role,
    /// Version of the document's language that this node can compile.
    pub lang: u32,
    #[serde(rename = "area")]
    pub zone: Zone,
    #[serde(rename = "rail")]
    pub rpc_addr: SocketAddr,
    pub http: SocketAddr,
}

impl NodeInfo {
    pub fn of(set: &Settings, role: Role, incarnation: Incarnation) -> Self {
        Self {
            node: set.node.as_str().into(),
            incarnation,
            role,
            lang: configuration::LANG,
            zone: set.zone.as_str().into(),
            rpc_addr: set.rpc_addr(),
            http: set.advertised_http(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Apply {
        op: OpId,
        base: Revision,
        text: Document,
    },
    Evacuate {
        op: OpId,
        #[serde(rename = "area")]
        zone: Zone,
        on: bool,
        /// Newest place known when it was decided: an evacuation of the zone that was begun or taken
        /// back since then stands.
        seen: Index,
    },
    Replica {
        op: OpId,
        id: ReplicaId,
        what: ReplicaMove,
    },
    Join(NodeInfo),
    /// `left`: given back on a planned stop.
    Expire {
        node: NodeId,
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        left: bool,
    },
    /// An operator says that a lost node is down, and serves nobody.
    Down {
        op: OpId,
        node: NodeId,
    },
    ReplaceVoter(VoterInfo),
}

impl Change {
    pub fn op(&self) -> Option<&OpId> {
        match self {
            Change::Apply { op, .. }
            | Change::Evacuate { op, .. }
            | Change::Replica { op, .. }
            | Change::Down { op, .. } => Some(op),
            _ => None,
        }
    }
}

/// What became of a change once it had its place in the order (design 4.6).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    Accepted {
        revision: Revision,
    },
    /// Lost a race: it never takes effect.
    Conflict {
        current: Revision,
    },
    #[serde(rename = "Bounced")]
    Rejected {
        reason: String,
    },
}
