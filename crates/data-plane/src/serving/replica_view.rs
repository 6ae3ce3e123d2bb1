//! The replicas as this router sees them (design 9.3): the load reports of their publishers, combined with the requests
//! that the router has open itself. Requests read the view without locks (read-copy-update).

pub use super::received_report::ReceivedReport;
use super::{replica_report::ReplicaReport, slow_start::Bucket};
use crate::load::RegionLoad;
use common::{Region, ReplicaId, Service, Tick, Zone};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicI64, AtomicU64, Ordering},
    },
};

/// If the lists of two zones were read further apart than the maximum list age divided by this, the platform was in
/// service in between.
const READ_GAP_DIVISOR: u64 = 2;

/// This router's own state for one replica; kept for as long as the replica is listed.
#[derive(Debug, Default)]
pub struct LocalLoad {
    /// Requests that this router has open there.
    pub open: AtomicI64,
    /// After failures of this router's own requests: until when it prefers other replicas.
    pub avoid_until: AtomicU64,
    /// When the replica last sent anything to this router.
    pub last_contact: AtomicU64,
    /// Token bucket that limits requests while the replica warms up.
    pub bucket: Mutex<Bucket>,
}

impl LocalLoad {
    /// Whether recent failures make other replicas preferable.
    pub fn is_avoided(&self, now: Tick) -> bool {
        self.avoid_until.load(Ordering::Relaxed) > now.0
    }

    /// Prefers other replicas until then.
    pub fn avoid(&self, until: Tick) {
        self.avoid_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Records a sign of life; it clears earlier failures.
    pub fn note_contact(&self, now: Tick) {
        self.last_contact.fetch_max(now.0, Ordering::Relaxed);
        self.avoid_until.store(0, Ordering::Relaxed);
    }
}

/// One replica that may be selected.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its identifier; a restarted replica has a new one.
    pub id: ReplicaId,
    /// The service that it runs.
    pub service: Service,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// The region of that zone.
    pub region: Region,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave and takes no new requests.
    pub draining: bool,
    /// Whether the publisher's probes found it healthy.
    pub healthy: bool,
    /// Until when it warms up.
    pub cold_until: Tick,
    /// When the list that names it was read, at the latest.
    pub listed_at: Tick,
    /// Requests there, of all routers, when the report was taken.
    pub total_at_report: i64,
    /// Requests of this router among them.
    pub own_at_report: i64,
    /// Requests that waited there for a slot.
    pub waiting: u32,
    /// Tokens in its memory.
    pub memory_used: u64,
    /// Tokens that its memory holds; 0 if unknown.
    pub memory_total: u64,
    /// This router's own state for it.
    pub local: Arc<LocalLoad>,
}

impl Candidate {
    /// Requests there: those of the report, corrected by what this router itself has started and ended since. What
    /// other routers did since is unknown; the selection compares only a few replicas per request so that not all
    /// routers send to the same ones ([`super::replica_choice`]).
    pub fn load(&self) -> f64 {
        let open = self.local.open.load(Ordering::Relaxed).max(0);
        (self.total_at_report + open - self.own_at_report).max(open) as f64
    }
}

/// All replicas that may be selected; rebuilt with each report.
#[derive(Debug, Default)]
pub struct ReplicaView {
    /// The replicas of each service.
    pub by_service: HashMap<Service, Vec<Candidate>>,
    /// Requests that this router may have open in another region, by region and service, and until when that holds.
    pub lending_grants: HashMap<(Region, Service), (u32, Tick)>,
}

/// The newest report of each zone, and the state that outlives single reports.
#[derive(Default)]
pub struct ReportStore {
    /// The newest report of each zone.
    pub by_zone: BTreeMap<Zone, ReceivedReport>,
    /// When the platform's list was last read for any zone, as far as reports say.
    newest_list_read: Tick,
    local_loads: HashMap<ReplicaId, Arc<LocalLoad>>,
}

impl ReportStore {
    /// Takes a report that was up to date when it was received, unless a newer one is held.
    /// Returns whether it was taken.
    pub fn accept(&mut self, report: ReplicaReport, at: Tick) -> bool {
        self.accept_received(ReceivedReport { report, fresh_at: at, received_at: at })
    }

    /// Takes a report unless a newer one is held. Returns whether it was taken.
    pub fn accept_received(&mut self, mut received: ReceivedReport) -> bool {
        let held = self.by_zone.get(&received.report.zone);
        if held.is_some_and(|held| !received.supersedes(held)) {
            return false;
        }
        // A later report of the same publisher is never older, even if it travelled longer.
        let same = held.filter(|held| held.report.publisher == received.report.publisher);
        received.fresh_at = same.map_or(received.fresh_at, |held| held.fresh_at.max(received.fresh_at));
        self.newest_list_read = self.newest_list_read.max(received.fresh_at);
        self.by_zone.insert(received.report.zone.clone(), received);
        true
    }

    /// When the platform's list was last read for any zone, as far as reports say.
    pub fn newest_list_read(&self) -> Tick {
        self.newest_list_read
    }

    /// When the list in a report counts as up to date, at the latest: normally when it was read. During an outage of
    /// the platform it is the newest list that there is, and counts as up to date when the report was received. An
    /// outage is assumed only if the sender marked the list as too old, the report of another zone did so too, and no
    /// list was read much later. Reports that this router itself missed don't show one.
    pub fn listed_at(&self, received: &ReceivedReport, list_max_age_ms: u64, zones: usize) -> Tick {
        let is_marked_old = |received: &ReceivedReport| received.report.age_ms > list_max_age_ms;
        let mut others = self.by_zone.values().filter(|other| other.report.zone != received.report.zone);
        let none_read_later =
            self.newest_list_read.since(received.fresh_at) <= list_max_age_ms / READ_GAP_DIVISOR;
        let out_of_service =
            is_marked_old(received) && none_read_later && (zones <= 1 || others.any(is_marked_old));
        if out_of_service { received.received_at } else { received.fresh_at }
    }

    /// Combines all reports into the view of what may be selected. Lending grants hold for `valid_ms`; lists are
    /// usable up to `list_max_age_ms`.
    pub fn build_view(
        &mut self,
        zones: &BTreeMap<Zone, Region>,
        valid_ms: u64,
        list_max_age_ms: u64,
    ) -> ReplicaView {
        let mut view = ReplicaView::default();
        for (zone, received) in &self.by_zone {
            let Some(region) = zones.get(zone) else { continue };
            let listed_at = self.listed_at(received, list_max_age_ms, zones.len());
            for row in &received.report.rows {
                let local = self.local_loads.entry(row.id.clone()).or_default().clone();
                let own = local.open.load(Ordering::Relaxed).max(0);
                let total = i64::from(row.running) + i64::from(row.waiting);
                view.by_service.entry(row.service.clone()).or_default().push(Candidate {
                    id: row.id.clone(),
                    service: row.service.clone(),
                    addr: row.addr,
                    zone: zone.clone(),
                    region: region.clone(),
                    slots: row.slots.max(1),
                    draining: row.draining,
                    healthy: row.healthy,
                    cold_until: received.received_at + received.cold_left_ms(row),
                    listed_at,
                    total_at_report: total.max(own),
                    own_at_report: own,
                    waiting: row.waiting,
                    memory_used: row.memory_used,
                    memory_total: row.memory_total,
                    local,
                });
            }
            for (service, count) in &received.report.lending_grants {
                let key = (region.clone(), service.clone());
                let grant = view.lending_grants.entry(key).or_insert((0, listed_at + valid_ms));
                grant.0 += count;
                grant.1 = grant.1.min(listed_at + valid_ms);
            }
        }
        let listed = |id: &ReplicaId| view.by_service.values().flatten().any(|replica| replica.id == *id);
        self.local_loads.retain(|id, local| listed(id) || local.open.load(Ordering::Relaxed) > 0);
        view
    }
}

impl ReplicaView {
    /// The replicas of a service.
    pub fn replicas_of(&self, service: &Service) -> &[Candidate] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Capacity and load of each region, summed over the replicas for which `usable` holds.
    pub fn region_loads(
        &self,
        service: &Service,
        usable: &dyn Fn(&Candidate) -> bool,
    ) -> BTreeMap<Region, RegionLoad> {
        let mut loads: BTreeMap<Region, RegionLoad> = BTreeMap::new();
        for replica in self.replicas_of(service).iter().filter(|replica| usable(replica)) {
            let load = loads.entry(replica.region.clone()).or_default();
            load.healthy = true;
            load.capacity += f64::from(replica.slots);
            load.consumption += replica.load();
        }
        loads
    }
}
