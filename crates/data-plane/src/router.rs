//! A router's state, in one struct that is passed by reference (design 5.10).

use crate::{
    capacity_grant::{GrantIssuer, HeldGrants},
    contact_ages::LastContacts,
    counters::Counters,
    load::{LoadReport, LoadView},
    placement_table::{PlacementTable, UserKey},
    replay_guard::ReplayGuard,
    request_queue::RequestQueue,
    retry_budget::RetryBudget,
    rpc::{RouterRequest, RouterResponse},
    serving::{prefill::PrefillTracker, report_publication::HeldReport, usage::UsageRecord},
    summary::{Event, EventKind, RETAINED_EVENTS, Summary},
};
use arc_swap::ArcSwapOption;
use common::{
    Clock, FencingToken, NodeId, Region, Revision, Service, Tick, Zone, event_log::EventLog, http::OpenCount,
    log_event, rpc::RpcClient, settings::Settings,
};
use configuration::RoutingTable;
use control_plane::{ClusterState, Member, membership};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    sync::{Arc, Mutex},
};
use tokio::sync::watch;

/// The configuration by which requests are handled now.
pub struct ActiveConfiguration {
    /// Revision of the document that it was compiled from.
    pub revision: Revision,
    /// The compiled document.
    pub table: RoutingTable,
}

/// A user's placement as the owner of its shard last told it.
#[derive(Clone, Debug)]
pub struct CachedPlacement {
    /// The region in which the user is placed.
    pub region: Region,
    /// Version of the placement.
    pub version: u64,
    /// When the request that confirmed it was sent to the owner.
    pub confirmed_at: Tick,
    /// When it expires.
    pub until: Tick,
}

/// Newest load report for each service and zone whose replicas this node probes.
pub type PublishedLoad = BTreeMap<(Service, Zone), watch::Sender<Option<LoadReport>>>;

/// The report of a zone's replicas that this node publishes.
pub struct Publication {
    /// Sends the newest report to those that wait for it.
    pub sender: watch::Sender<HeldReport>,
    /// When the report was last requested.
    pub asked: Tick,
}

/// A router's state.
pub struct Router {
    /// Settings of the process.
    pub settings: Settings,
    /// The clock that all times here are read from.
    pub clock: Clock,
    /// Membership in the cluster, with the lease and the cluster state.
    pub member: Arc<membership::LocalMember>,
    /// Connections to other routers.
    pub rpc_client: RpcClient<RouterRequest, RouterResponse>,
    /// The configuration in force; none until the first document is compiled.
    pub configuration: ArcSwapOption<ActiveConfiguration>,
    /// Load reports, and the requests that are open from here.
    pub load_view: LoadView,
    /// This node's part of the placement table.
    pub placements: Mutex<PlacementTable>,
    /// Placements that other owners told this node.
    pub placement_cache: Mutex<HashMap<(UserKey, Service), CachedPlacement>>,
    /// Capacity grants that other regions gave this node.
    pub held_grants: Mutex<HeldGrants>,
    /// Grants that this node issues while it is its region's issuer.
    pub grant_issuer: Mutex<GrantIssuer>,
    /// Bounds the attempts after the first.
    pub retry_budget: RetryBudget,
    /// Requests that wait for a replica with room.
    pub request_queue: Mutex<RequestQueue>,
    /// When this node's cluster state last held all that each other node's held (see [`crate::contact_ages`]).
    pub last_contacts: Mutex<LastContacts>,
    /// Members whose answer to a heartbeat is awaited.
    pub heartbeats_in_flight: Mutex<HashSet<NodeId>>,
    /// Members of its zone that get heartbeats.
    pub zone_peers: Mutex<HashSet<NodeId>>,
    /// Nodes that answered their last heartbeat by saying that they take no new work.
    pub refusing_nodes: Mutex<HashSet<NodeId>>,
    /// Load reports that this node publishes.
    pub published_load: Mutex<PublishedLoad>,
    /// Reports of zones' replicas that this node publishes.
    pub publications: Mutex<BTreeMap<Zone, Publication>>,
    /// Reports of other zones' replicas as this node received them, for routers of its own zone.
    pub relayed_reports: Mutex<BTreeMap<Zone, watch::Sender<HeldReport>>>,
    /// Prompts that replicas are reading now.
    pub prefill_tracker: Mutex<PrefillTracker>,
    /// What this node knows of tenants' usage.
    pub usage: UsageRecord,
    /// Metrics.
    pub counters: Counters,
    /// Recent events, and their summary.
    pub event_log: EventLog<Event, Summary>,
    /// Set once the process drains: it finishes open requests and then ends.
    pub draining: AtomicBool,
    /// Number of open requests.
    pub open_count: Arc<OpenCount>,
    /// Counts requests, for their ids.
    pub request_serial: AtomicU64,
    /// Number of the last forwarded request sent.
    pub forwards_sent: AtomicU64,
    /// Numbers of the forwarded requests that were accepted from others.
    pub replay_guard: Mutex<ReplayGuard>,
    /// Revision of a document that the cluster accepted and this version can't compile; 0 where there is none.
    pub unreadable_revision: AtomicU64,
    /// When the first configuration came into force; load reports arrive soon after. 0 before that.
    pub configured_at: AtomicU64,
}

pub use common::lock;

impl Router {
    /// The state of a router that has just started.
    pub fn new(settings: Settings, member: Arc<membership::LocalMember>, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            rpc_client: RpcClient::new(settings.local_node(), crate::rpc::SERVICE),
            settings,
            clock,
            member,
            configuration: ArcSwapOption::empty(),
            load_view: LoadView::default(),
            placements: Mutex::default(),
            placement_cache: Mutex::default(),
            held_grants: Mutex::default(),
            grant_issuer: Mutex::default(),
            retry_budget: RetryBudget::default(),
            request_queue: Mutex::default(),
            last_contacts: Mutex::default(),
            heartbeats_in_flight: Mutex::default(),
            zone_peers: Mutex::default(),
            refusing_nodes: Mutex::default(),
            published_load: Mutex::default(),
            publications: Mutex::default(),
            relayed_reports: Mutex::default(),
            prefill_tracker: Mutex::default(),
            usage: UsageRecord::default(),
            counters: Counters::default(),
            event_log: EventLog::new(Summary::default(), RETAINED_EVENTS),
            draining: AtomicBool::new(false),
            open_count: Arc::default(),
            request_serial: AtomicU64::new(0),
            forwards_sent: AtomicU64::new(0),
            replay_guard: Mutex::default(),
            unreadable_revision: AtomicU64::new(0),
            configured_at: AtomicU64::new(0),
        })
    }

    /// The time now.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Appends an event to the event log.
    pub fn record_event(&self, what: EventKind) {
        self.event_log.append(Event { at: self.now(), what });
    }

    /// The newest cluster state that this node has.
    pub fn cluster_state(&self) -> Arc<ClusterState> {
        self.member.cluster_state.load_full()
    }

    /// This node's id.
    pub fn node(&self) -> &NodeId {
        &self.member.info.node
    }

    /// This node's zone.
    pub fn zone(&self) -> &Zone {
        &self.member.info.zone
    }

    /// Compiles each new document as soon as it arrives; an older one never replaces a newer one.
    pub async fn keep_configuration(self: Arc<Self>) {
        let mut applied = self.member.applied.subscribe();
        loop {
            let state = self.cluster_state();
            let current = self.configuration.load().as_ref().map(|c| c.revision).unwrap_or_default();
            if let Some(text) = state.text.as_ref().filter(|_| state.revision > current) {
                match configuration::compile(text) {
                    Ok(table) => {
                        let revision = state.revision;
                        self.configuration.store(Some(Arc::new(ActiveConfiguration { revision, table })));
                        let _ = self.configured_at.compare_exchange(
                            0,
                            self.now().0,
                            Ordering::AcqRel,
                            Ordering::Acquire,
                        );
                        self.member.active_revision.store(revision.0, Ordering::Release);
                        log_event!(Info, "governs", "revision" => revision.0);
                        self.record_event(EventKind::Governs(revision));
                    }
                    Err(findings) => {
                        self.unreadable_revision.store(state.revision.0, Ordering::Release);
                        log_event!(Error, "compile", "peer" => "core", "revision" => state.revision.0, "cause" => format!("{findings:?}"));
                    }
                }
            }
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    /// The fencing token of all singleton roles, by the cluster state that this node has (design 3.2).
    pub fn fencing_token(&self) -> FencingToken {
        FencingToken(self.cluster_state().epoch.0)
    }

    /// The region of this node's zone.
    pub fn own_region(&self, table: &RoutingTable) -> Option<Region> {
        table.region_of(self.zone()).cloned()
    }

    /// Whether this node started too recently to have the load reports of all replicas: requests then wait a little
    /// instead of being rejected.
    pub fn is_starting(&self) -> bool {
        let configured_at = Tick(self.configured_at.load(Ordering::Acquire));
        self.now().since(configured_at) <= self.settings.timing.report_max_age_ms()
    }

    /// Wakes the first queued request after another one has ended.
    pub fn notify_capacity_freed(&self) {
        lock(&self.request_queue).wake_next(self.now());
    }
}

/// Whether a router's zone belongs to a region and is not evacuated.
pub fn is_active_in(state: &ClusterState, table: &RoutingTable, router: &Member, region: &Region) -> bool {
    table.region_of(&router.info.zone) == Some(region) && !state.evacuated.contains(&router.info.zone)
}
