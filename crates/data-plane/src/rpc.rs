//! What a router is asked by other processes (design 5.7).

use crate::{
    capacity_grant::{CapacityGrant, GrantUse},
    load::LoadReport,
    placement_table::{PlacementOutcome, PlacementRow, UserKey},
    serving::{
        prefill::PromptSent,
        replica_report::ReplicaReport,
        usage::{UsageRequest, UsageResponse},
    },
};
use common::{FencingToken, Incarnation, Index, NodeId, Region, Service, Zone};
use control_plane::state_machine::state_update::StateUpdate;
use serde::{Deserialize, Serialize};

/// Name of the service in a connection's handshake.
pub const SERVICE: &str = "points";

/// A request to a router.
#[derive(Debug, Serialize, Deserialize)]
pub enum RouterRequest {
    /// A sign of life.
    #[serde(rename = "Hail")]
    Heartbeat {
        /// Up to where the sender holds the cluster state.
        #[serde(rename = "idx")]
        index: Index,
    },
    /// Asks for changes after an index.
    #[serde(rename = "News")]
    FetchState {
        /// The last index that the asker has.
        have: Index,
    },
    /// Decides a miss or a failed placement at the owner of its shard: the first writer wins.
    #[serde(rename = "Settle")]
    ResolvePlacement {
        /// By which the asker knows the owner.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The user.
        key: UserKey,
        /// The service.
        service: Service,
        /// The version that the asker found wanting: only that one may be replaced.
        stale: Option<u64>,
        /// The region that the asker would choose.
        pick: Option<Region>,
        /// Time to live of the placement, in milliseconds.
        ttl_ms: u64,
    },
    /// From the owner of a shard to its followers.
    #[serde(rename = "Copy")]
    ReplicatePlacements {
        /// Under which the owner acts.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The shard.
        shard: u16,
        /// Its new placements.
        rows: Vec<PlacementRow>,
    },
    /// A new owner asks for what others hold of its shard.
    #[serde(rename = "Fetch")]
    FetchShard {
        /// The shard.
        shard: u16,
    },
    /// Asks the home of a service in a zone for its next load report.
    #[serde(rename = "Watch")]
    WatchLoad {
        /// The service.
        service: Service,
        /// The zone.
        #[serde(rename = "area")]
        zone: Zone,
        /// The last report that the asker has.
        seq: u64,
        /// Under which that was published.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// The newest load report that this node has, for a home that has just begun.
    #[serde(rename = "Last")]
    LastLoad {
        /// The service.
        service: Service,
        /// The zone.
        #[serde(rename = "area")]
        zone: Zone,
    },
    /// Asks for a capacity grant.
    #[serde(rename = "Passes")]
    RequestGrant {
        /// The region that is asked.
        region: Region,
        /// The service.
        service: Service,
        /// The asker.
        node: NodeId,
    },
    /// A grant is used.
    #[serde(rename = "Redeem")]
    RedeemGrant {
        /// Its use.
        spent: GrantUse,
    },
    /// A long prompt was sent to a replica.
    #[serde(rename = "Note")]
    AnnouncePrompt {
        /// The prompt.
        note: PromptSent,
    },
    /// Asks for the next report of a zone's replicas; being asked makes a router publish it.
    #[serde(rename = "Board")]
    WatchReplicas {
        /// The zone.
        #[serde(rename = "area")]
        zone: Zone,
        /// The last report that the asker has.
        seq: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Asks a router of the same zone for the next report of another zone's replicas, as it was told it.
    RelayReplicas {
        /// The zone.
        zone: Zone,
        /// Publisher and number of the last report that the asker has.
        last: Option<(NodeId, u64)>,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// From the holder of the duty to report usage.
    Usage(UsageRequest),
}

/// A router's answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum RouterResponse {
    /// Alive, as this incarnation: another one at the same address is no sign of life of the first.
    #[serde(rename = "Hailed")]
    HeartbeatAck {
        /// Up to where it holds the cluster state.
        #[serde(rename = "idx")]
        index: Index,
        /// Its incarnation.
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        /// Whether it takes new work now.
        fit: bool,
    },
    /// What the asker lacks.
    #[serde(rename = "News")]
    StateUpdate(StateUpdate),
    /// The placement that is in force.
    #[serde(rename = "Settled")]
    Placement(PlacementOutcome),
    /// Placements of a shard.
    #[serde(rename = "Rows")]
    Placements(Vec<PlacementRow>),
    /// The load of a service's replicas.
    #[serde(rename = "Figures")]
    LoadReport(LoadReport),
    /// A capacity grant, if there is one to be had.
    #[serde(rename = "Pass")]
    Grant(Option<CapacityGrant>),
    /// The replicas of a zone, if there is a newer report.
    #[serde(rename = "Board")]
    ReplicaReport(Option<Box<ReplicaReport>>),
    /// Done.
    Done,
    /// Not done, for a named reason.
    #[serde(rename = "Bounced")]
    Rejected(String),
    /// To the holder of the duty to report usage.
    Usage(UsageResponse),
}

impl tarpc::RequestName for RouterRequest {
    fn name(&self) -> &str {
        match self {
            RouterRequest::Heartbeat { .. } => "router.heartbeat",
            RouterRequest::FetchState { .. } => "router.fetch-state",
            RouterRequest::ResolvePlacement { .. } => "router.resolve-placement",
            RouterRequest::ReplicatePlacements { .. } => "router.replicate-placements",
            RouterRequest::FetchShard { .. } => "router.fetch-shard",
            RouterRequest::WatchLoad { .. } => "router.watch-load",
            RouterRequest::LastLoad { .. } => "router.last-load",
            RouterRequest::RequestGrant { .. } => "router.request-grant",
            RouterRequest::RedeemGrant { .. } => "router.redeem-grant",
            RouterRequest::AnnouncePrompt { .. } => "router.announce-prompt",
            RouterRequest::WatchReplicas { .. } => "router.watch-replicas",
            RouterRequest::RelayReplicas { .. } => "router.relay-replicas",
            RouterRequest::Usage(_) => "router.usage",
        }
    }
}
