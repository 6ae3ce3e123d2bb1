//! Nodes: how they describe themselves, and what the cluster state records of them.

use common::{Epoch, Incarnation, NodeId, Zone, settings::Settings};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Control node: takes part in replicating the log, as a voter or as a learner.
    #[serde(rename = "Core")]
    Control,
    /// Router: carries traffic.
    Router,
}

/// A voter's identity. A voter that lost its disk or runs on a new machine is another incarnation (design 2.5).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Position in the voter set; part of the number of each term that the voter leads (design 2.2).
    pub number: u8,
    /// Random number, chosen when the data folder is created.
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
    /// Address of the operators' HTTP API.
    pub http: SocketAddr,
}

/// A node as it describes itself when it asks for a lease (design 3.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the node.
    pub node: NodeId,
    /// Random number, chosen at each start of a router, and once for each data folder of a control node.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// Role of the node.
    pub role: Role,
    /// Newest version of the document language that this node can compile.
    pub lang: u32,
    /// Failure domain of the node.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// Address for RPCs from other nodes.
    #[serde(rename = "rail")]
    pub rpc_addr: SocketAddr,
    /// HTTP address for clients (router) or operators (control node).
    pub http: SocketAddr,
}

impl NodeInfo {
    /// Describes the node that has these settings.
    pub fn of(settings: &Settings, role: Role, incarnation: Incarnation) -> Self {
        Self {
            node: settings.node.as_str().into(),
            incarnation,
            role,
            lang: configuration::LANGUAGE_VERSION,
            zone: settings.zone.as_str().into(),
            rpc_addr: settings.advertised_rpc(),
            http: settings.advertised_http(),
        }
    }
}

/// A member: a node that has joined and whose membership has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node as it described itself when it joined.
    pub info: NodeInfo,
    /// Index of the join that began this membership (design 3.1).
    pub epoch: Epoch,
}

/// A former member whose lease expired without a planned stop: it may still be serving traffic (design 3.7).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostMember {
    /// Name of the node.
    pub node: NodeId,
    /// Number of members before this one was lost.
    #[serde(rename = "of")]
    pub members_before: u32,
}
