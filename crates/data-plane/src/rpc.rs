//! Requests between routers, and their responses (design 5.7).

use crate::{
    capacity_grant::{CapacityGrant, GrantUse},
    contact_ages::ContactAges,
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

/// Name of this protocol in a connection's handshake.
pub const SERVICE: &str = "points";

/// A request to a router.
#[derive(Debug, Serialize, Deserialize)]
pub enum RouterRequest {
    /// Checks that a router is alive.
    #[serde(rename = "Hail")]
    Heartbeat {
        /// Index of the sender's cluster state.
        #[serde(rename = "idx")]
        index: Index,
    },
    /// Requests the changes of the cluster state after an index.
    #[serde(rename = "News")]
    FetchState {
        /// Index of the requester's cluster state.
        have: Index,
    },
    /// Asks the owner of a shard where a user is placed, when the requester knows no usable placement. The first writer
    /// wins.
    #[serde(rename = "Settle")]
    ResolvePlacement {
        /// By which the requester determined the owner.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The user.
        key: UserKey,
        /// The service.
        service: Service,
        /// The version that the requester found ineligible: only that one may be replaced.
        stale: Option<u64>,
        /// The region that the requester proposes.
        pick: Option<Region>,
        /// Time to live of the placement, in milliseconds.
        ttl_ms: u64,
    },
    /// Copies placements from the owner of a shard to its followers.
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
    /// Requests the placements of a shard that another router holds, for the shard's new owner.
    #[serde(rename = "Fetch")]
    FetchShard {
        /// The shard.
        shard: u16,
    },
    /// Waits for the next load report of a service in a zone, at the router that probes its replicas.
    #[serde(rename = "Watch")]
    WatchLoad {
        /// The service.
        service: Service,
        /// The zone.
        #[serde(rename = "area")]
        zone: Zone,
        /// Number of the last report that the requester has.
        seq: u64,
        /// Under which that report was published.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Requests the newest load report that the receiver has, for a router that begins to probe the replicas.
    #[serde(rename = "Last")]
    LastLoad {
        /// The service.
        service: Service,
        /// The zone.
        #[serde(rename = "area")]
        zone: Zone,
    },
    /// Requests a capacity grant.
    #[serde(rename = "Passes")]
    RequestGrant {
        /// The region that is to grant it.
        region: Region,
        /// The service.
        service: Service,
        /// The requester.
        node: NodeId,
    },
    /// Uses up one of a grant's requests.
    #[serde(rename = "Redeem")]
    RedeemGrant {
        /// Which grant is used, and by whom.
        spent: GrantUse,
    },
    /// Announces that a long prompt was sent to a replica.
    #[serde(rename = "Note")]
    AnnouncePrompt {
        /// The prompt.
        note: PromptSent,
    },
    /// Waits for the next report of a zone's replicas. A router publishes it as long as it gets such requests.
    #[serde(rename = "Board")]
    WatchReplicas {
        /// The zone.
        #[serde(rename = "area")]
        zone: Zone,
        /// Number of the last report that the requester has.
        seq: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Waits for the next report of another zone's replicas, at a router of the requester's zone that receives it.
    RelayReplicas {
        /// The zone.
        zone: Zone,
        /// Publisher and number of the last report that the requester has.
        last: Option<(NodeId, u64)>,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// A question by the router that holds the duty to report usage.
    Usage(UsageRequest),
    /// Checks that a router is alive, and asks which members it is in contact with.
    Contacts {
        /// Index of the sender's cluster state.
        #[serde(rename = "idx")]
        index: Index,
    },
}

/// A response of a router.
#[derive(Debug, Serialize, Deserialize)]
pub enum RouterResponse {
    /// The router is alive, as this incarnation. Another incarnation at the same address is a different process.
    #[serde(rename = "Hailed")]
    HeartbeatAck {
        /// Index of its cluster state.
        #[serde(rename = "idx")]
        index: Index,
        /// Its incarnation.
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        /// Whether it takes new work now.
        fit: bool,
    },
    /// Brings the requester's cluster state up to date.
    #[serde(rename = "News")]
    StateUpdate(StateUpdate),
    /// Where the user is placed.
    #[serde(rename = "Settled")]
    Placement(PlacementOutcome),
    /// Placements of a shard.
    #[serde(rename = "Rows")]
    Placements(Vec<PlacementRow>),
    /// The load of a service's replicas.
    #[serde(rename = "Figures")]
    LoadReport(LoadReport),
    /// A capacity grant, if there is free capacity.
    #[serde(rename = "Pass")]
    Grant(Option<CapacityGrant>),
    /// The replicas of a zone, if there is a newer report.
    #[serde(rename = "Board")]
    ReplicaReport(Option<Box<ReplicaReport>>),
    /// Done.
    Done,
    /// The request was rejected, for this reason.
    #[serde(rename = "Bounced")]
    Rejected(String),
    /// The answer to a question of the router that holds the duty to report usage.
    Usage(UsageResponse),
    /// The router is alive, as in [`RouterResponse::HeartbeatAck`], and in contact with these members.
    Contacts {
        /// Index of its cluster state.
        #[serde(rename = "idx")]
        index: Index,
        /// Its incarnation.
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        /// Whether it takes new work now.
        fit: bool,
        /// When it was last in contact with each member.
        contacts: ContactAges,
    },
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
            RouterRequest::Contacts { .. } => "router.contacts",
        }
    }
}
