//! Nodes, as they present themselves and as the cluster state keeps them.

use common::{Epoch, Incarnation, NodeId, Zone, settings::Settings};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Votes on changes and keeps them on disk.
    #[serde(rename = "Core")]
    Control,
    /// Carries traffic.
    Router,
}

/// A voter's identity. A lost disk or a new machine makes another incarnation (design 2.5).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Position in the voter set; terms are numbered by it (design 2.2).
    pub number: u8,
    /// Drawn once for each data folder.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// Name of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// Address for RPCs from other nodes.
    #[serde(rename = "rail")]
    pub rpc_addr: SocketAddr,
    /// Address for operators' HTTP.
    pub http: SocketAddr,
}

/// A node as it presents itself when it asks for a lease (design 3.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the node.
    pub node: NodeId,
    /// Drawn at each start of a router, and once for each data folder of a control node.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// What the node does.
    pub role: Role,
    /// Version of the document's language that this node can compile.
    pub lang: u32,
    /// Failure domain of the node.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// Address for RPCs from other nodes.
    #[serde(rename = "rail")]
    pub rpc_addr: SocketAddr,
    /// Address for clients (router) or operators (control node).
    pub http: SocketAddr,
}

impl NodeInfo {
    /// The node that these settings describe.
    pub fn of(settings: &Settings, role: Role, incarnation: Incarnation) -> Self {
        Self {
            node: settings.node.as_str().into(),
            incarnation,
            role,
            lang: configuration::LANGUAGE_VERSION,
            zone: settings.zone.as_str().into(),
            rpc_addr: settings.rpc_addr(),
            http: settings.advertised_http(),
        }
    }
}

/// A node that holds a membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// As it presented itself when it joined.
    pub info: NodeInfo,
    /// Number of this membership: the index of the join that began it (design 3.1).
    pub epoch: Epoch,
}

/// A member whose lease expired without its leaving: it may be serving on (design 3.7).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostMember {
    /// Name of the node.
    pub node: NodeId,
    /// How many members there were before it was lost.
    #[serde(rename = "of")]
    pub members_before: u32,
}
