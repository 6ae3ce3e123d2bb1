//! A router's state, in one struct that is passed down by reference (design 5.10).

use crate::{
    capacity_grant::{GrantIssuer, HeldGrants},
    counters::Counters,
    load::{Candidate, LoadReport, LoadView, RegionLoad, regions},
    placement_table::{PlacementTable, UserKey},
    replay_guard::ReplayGuard,
    request_queue::RequestQueue,
    retry_budget::Budget,
    rpc::{RouterRequest, RouterResponse},
    serving::{prefill::PrefillTracker, report_publication::HeldReport, usage::UsageRecord},
    summary::{Event, EventKind, KEEP, Summary},
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
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};
use tokio::sync::watch;

/// A compiled document and the revision that it came from.
pub struct ActiveConfiguration {
    pub revision: Revision,
    pub table: RoutingTable,
}

/// A placement as last heard from its owner.
#[derive(Clone, Debug)]
pub struct Cached {
    pub region: Region,
    pub ver: u64,
    pub confirmed_at: Tick,
    pub until: Tick,
}

/// Figures of the homes that this node holds.
pub type Published = BTreeMap<(Service, Zone), watch::Sender<Option<LoadReport>>>;

/// What this node publishes of a zone, and when it was asked for it last.
pub struct Publication {
    pub tx: watch::Sender<HeldReport>,
    pub asked: Tick,
}

pub struct Router {
    pub set: Settings,
    pub clock: Clock,
    pub member: Arc<membership::Member>,
    pub lines: RpcClient<RouterRequest, RouterResponse>,
    pub governing: ArcSwapOption<ActiveConfiguration>,
    pub load_view: LoadView,
    pub placements: Mutex<PlacementTable>,
    pub cache: Mutex<HashMap<(UserKey, Service), Cached>>,
    pub held_grants: Mutex<HeldGrants>,
    pub grant_issuer: Mutex<GrantIssuer>,
    pub budget: Budget,
    pub queue: Mutex<RequestQueue>,
    pub last_contacts: Mutex<HashMap<NodeId, Tick>>,
    /// Those that were heard and said that they take no new work.
    pub refusing: Mutex<HashSet<NodeId>>,
    pub published: Mutex<Published>,
    pub publications: Mutex<BTreeMap<Zone, Publication>>,
    /// Reports of zones as this node was told them, for routers of its own zone.
    pub relayed: Mutex<BTreeMap<Zone, watch::Sender<HeldReport>>>,
    pub reading: Mutex<PrefillTracker>,
    pub usage: UsageRecord,
    pub counters: Counters,
    pub event_log: EventLog<Event, Summary>,
    pub draining: AtomicBool,
    pub open_count: Arc<OpenCount>,
    pub serial: AtomicU64,
    /// Number of the last forwarded request sent, and what was taken of those of others.
    pub forwards_sent: AtomicU64,
    pub replay: Mutex<ReplayGuard>,
    /// Revision of a document that was accepted and can't be read here; 0 where there is none.
    pub unreadable: AtomicU64,
    /// When the first document governed here; load reports arrive soon after.
    pub since: AtomicU64,
}

pub use common::lock;

impl Router {
    pub fn new(set: Settings, member: Arc<membership::Member>, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            lines: RpcClient::new(set.me(), crate::rpc::SERVICE),
            set,
            clock,
            member,
            governing: ArcSwapOption::empty(),
            load_view: LoadView::default(),
            placements: Mutex::default(),
            cache: Mutex::default(),
            held_grants: Mutex::default(),
            grant_issuer: Mutex::default(),
            budget: Budget::default(),
            queue: Mutex::default(),
            last_contacts: Mutex::default(),
            refusing: Mutex::default(),
            published: Mutex::default(),
            publications: Mutex::default(),
            relayed: Mutex::default(),
            reading: Mutex::default(),
            usage: UsageRecord::default(),
            counters: Counters::default(),
            event_log: EventLog::new(Summary::default(), KEEP),
            draining: AtomicBool::new(false),
            open_count: Arc::default(),
            serial: AtomicU64::new(0),
            forwards_sent: AtomicU64::new(0),
            replay: Mutex::default(),
            unreadable: AtomicU64::new(0),
            since: AtomicU64::new(0),
        })
    }

    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    pub fn record_event(&self, what: EventKind) {
        self.event_log.append(Event { at: self.now(), what });
    }

    pub fn cluster_state(&self) -> Arc<ClusterState> {
        self.member.cluster_state.load_full()
    }

    pub fn node(&self) -> &NodeId {
        &self.member.info.node
    }

    pub fn zone(&self) -> &Zone {
        &self.member.info.zone
    }

    /// Compiles the newest document as soon as it is there; an older one never comes back.
    pub async fn keep_configuration(self: Arc<Self>) {
        let mut moved = self.member.applied.subscribe();
        loop {
            let l = self.cluster_state();
            let have = self.governing.load().as_ref().map(|g| g.revision).unwrap_or_default();
            if let Some(text) = l.text.as_ref().filter(|_| l.revision > have) {
                match configuration::compile(text) {
                    Ok(table) => {
                        let revision = l.revision;
                        self.governing.store(Some(Arc::new(ActiveConfiguration { revision, table })));
                        let _ =
                            self.since.compare_exchange(0, self.now().0, Ordering::AcqRel, Ordering::Acquire);
                        self.member.revision_in_force.store(revision.0, Ordering::Release);
                        log_event!(Info, "governs", "revision" => revision.0);
                        self.record_event(EventKind::Governs(revision));
                    }
                    Err(f) => {
                        self.unreadable.store(l.revision.0, Ordering::Release);
                        log_event!(Error, "compile", "peer" => "core", "revision" => l.revision.0, "cause" => format!("{f:?}"));
                    }
                }
            }
            if moved.changed().await.is_err() {
                return;
            }
        }
    }

    /// The fencing token of all singleton roles that this node knows of (design 3.2).
    pub fn fencing_token(&self) -> FencingToken {
        FencingToken(self.cluster_state().epoch.0)
    }

    /// Replicas of the own region that may be given something now.
    pub fn own_replicas(&self, t: &RoutingTable, svc: &Service) -> Vec<Candidate> {
        let own = self.own_region(t);
        self.usable(svc).into_iter().filter(|c| t.region_of(&c.zone) == own.as_ref()).collect()
    }

    pub fn own_region(&self, t: &RoutingTable) -> Option<Region> {
        t.region_of(self.zone()).cloned()
    }

    /// Replicas that may be given something now: listed, not draining, zone not evacuated,
    /// load reports fresh and healthy.
    pub fn usable(&self, svc: &Service) -> Vec<Candidate> {
        let l = self.cluster_state();
        self.load_view.replicas(svc, self.now(), self.set.timing.report_max_age_ms(), &|g, zone| {
            if common::mutation::enabled("departed-still-used") {
                return true;
            }
            !l.evacuated.contains(zone)
                && l.replicas.get(&g.id).is_some_and(|r| !r.draining && r.addr == g.addr && r.service == *svc)
        })
    }

    /// Pressure by region for one service, with own forwarded requests since the load reports added.
    pub fn seen(&self, t: &RoutingTable, svc: &Service) -> BTreeMap<Region, RegionLoad> {
        let mut out = regions(&self.usable(svc), &|a| t.region_of(a).cloned());
        let own = self.own_region(t);
        for (r, p) in out.iter_mut().filter(|(r, _)| Some(*r) != own.as_ref()) {
            let o = self.load_view.own(&forward_load_id(r, svc));
            let since = o.open.load(Ordering::Relaxed) - o.counted.load(Ordering::Relaxed);
            p.consumption += since.max(0) as f64;
        }
        out
    }

    /// Too young to have heard of all replicas: requests wait a little instead of being rejected.
    pub fn starting(&self) -> bool {
        let since = Tick(self.since.load(Ordering::Acquire));
        self.now().since(since) <= self.set.timing.report_max_age_ms()
    }

    pub fn free(&self) {
        lock(&self.queue).free(self.now());
    }

    /// `asked` is when they were asked for: from then on they age.
    pub fn install_load_report(&self, f: LoadReport, asked: Tick) {
        let (svc, zone) = (f.service.clone(), f.zone.clone());
        if self.load_view.take(f, asked, self.now())
            && let Some(g) = self.governing.load().as_ref()
            && let Some(r) = g.table.region_of(&zone)
        {
            let o = self.load_view.own(&forward_load_id(r, &svc));
            o.counted.store(o.open.load(Ordering::Relaxed), Ordering::Relaxed);
            lock(&self.queue).wake_all();
        }
    }
}

/// Whether a router stands in a region, in a zone that is not evacuated.
pub fn stands_in(l: &ClusterState, t: &RoutingTable, m: &Member, region: &Region) -> bool {
    t.region_of(&m.info.zone) == Some(region) && !l.evacuated.contains(&m.info.zone)
}

/// Under this name own forwarded requests to a region are counted.
pub fn forward_load_id(r: &Region, svc: &Service) -> common::ReplicaId {
    common::ReplicaId::new(format!("hop/{r}/{svc}"))
}
