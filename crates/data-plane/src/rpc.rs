//! What a router is asked by other processes (design 5.7).

use crate::{
    capacity_grant::{CapacityGrant, GrantUse},
    load::LoadReport,
    placement_table::{Copy, PlacementOutcome, UserKey},
    serving::{prefill::PromptSent, replica_report::ReplicaReport},
};
use common::{FencingToken, Incarnation, Index, NodeId, Region, Service, Zone};
use control_plane::state_machine::state_update::StateUpdate;
use serde::{Deserialize, Serialize};

pub const SERVICE: &str = "points";

#[derive(Debug, Serialize, Deserialize)]
pub enum RouterRequest {
    /// A sign of life, with what this node has seen.
    #[serde(rename = "Hail")]
    Heartbeat {
        #[serde(rename = "idx")]
        index: Index,
    },
    #[serde(rename = "News")]
    FetchState {
        have: Index,
    },
    /// Settles a miss or a failed placement at the shard's owner: first writer wins.
    Settle {
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        key: UserKey,
        service: Service,
        stale: Option<u64>,
        pick: Option<Region>,
        ttl_ms: u64,
    },
    /// From an owner to its followers.
    Copy {
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        shard: u16,
        rows: Vec<Copy>,
    },
    /// A new owner asks for what others hold of its shard.
    Fetch {
        shard: u16,
    },
    Watch {
        service: Service,
        #[serde(rename = "area")]
        zone: Zone,
        seq: u64,
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        wait_ms: u64,
    },
    /// What this node last heard of a service in a zone, for a home that has just begun.
    Last {
        service: Service,
        #[serde(rename = "area")]
        zone: Zone,
    },
    Passes {
        region: Region,
        service: Service,
        node: NodeId,
    },
    Redeem {
        spent: GrantUse,
    },
    /// A long prompt was sent to a replica.
    #[serde(rename = "Note")]
    PromptSent {
        note: PromptSent,
    },
    /// What this node publishes of a zone's replicas; being asked makes it publish.
    #[serde(rename = "Board")]
    ReplicaReport {
        #[serde(rename = "area")]
        zone: Zone,
        seq: u64,
        wait_ms: u64,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub enum RouterResponse {
    /// Alive, as this incarnation: another one at the same address is no sign of life of the first.
    #[serde(rename = "Hailed")]
    HeartbeatAck {
        #[serde(rename = "idx")]
        index: Index,
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        /// Takes new work now.
        fit: bool,
    },
    #[serde(rename = "News")]
    StateUpdate(StateUpdate),
    #[serde(rename = "Settled")]
    PlacementOutcome(PlacementOutcome),
    Rows(Vec<Copy>),
    #[serde(rename = "Figures")]
    LoadReport(LoadReport),
    #[serde(rename = "Pass")]
    CapacityGrant(Option<CapacityGrant>),
    #[serde(rename = "Board")]
    ReplicaReport(Option<Box<ReplicaReport>>),
    Done,
    /// Not done, for a named reason.
    #[serde(rename = "Bounced")]
    Rejected(String),
}

impl tarpc::RequestName for RouterRequest {
    fn name(&self) -> &str {
        match self {
            RouterRequest::Heartbeat { .. } => "points.hail",
            RouterRequest::FetchState { .. } => "points.news",
            RouterRequest::Settle { .. } => "points.settle",
            RouterRequest::Copy { .. } => "points.copy",
            RouterRequest::Fetch { .. } => "points.fetch",
            RouterRequest::Watch { .. } => "points.watch",
            RouterRequest::Last { .. } => "points.last",
            RouterRequest::Passes { .. } => "points.passes",
            RouterRequest::Redeem { .. } => "points.redeem",
            RouterRequest::PromptSent { .. } => "points.note",
            RouterRequest::ReplicaReport { .. } => "points.board",
        }
    }
}
