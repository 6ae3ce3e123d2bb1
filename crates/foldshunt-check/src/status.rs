//! The status that a control node reports, as far as the checks need it.

use common::Zone;
use control_plane::Replica;
use serde::Deserialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The parts of `/v1/status` that the checks need.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Status {
    /// Name of the cluster.
    #[serde(default)]
    pub cluster: String,
    /// The leader among the control nodes, if one is known.
    #[serde(default)]
    pub leader: Option<String>,
    /// Revision of the newest accepted document.
    #[serde(default)]
    pub revision: u64,
    /// Evacuated zones.
    #[serde(default)]
    pub evacuated: BTreeSet<Zone>,
    /// Nodes that hold a lease.
    #[serde(default)]
    pub members: Vec<MemberRow>,
    /// The list of replicas, by id.
    #[serde(default)]
    pub replicas: BTreeMap<String, Replica>,
    /// Control nodes that vote.
    #[serde(default)]
    pub voters: Vec<VoterRow>,
}

/// A node that holds a lease.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberRow {
    /// Name of the node.
    pub node: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// `Router`, or `Core` for a control node.
    pub role: String,
    /// Whether it uses an older document than the newest; unknown to all but the leader.
    #[serde(default)]
    pub lags: Option<bool>,
    /// Version of the document language that it reads.
    #[serde(default)]
    pub lang: u32,
}

/// A control node that votes.
#[derive(Clone, Debug, Deserialize)]
pub struct VoterRow {
    /// Name of the node.
    pub node: String,
    /// Its HTTP address.
    #[serde(default)]
    pub http: Option<SocketAddr>,
}
