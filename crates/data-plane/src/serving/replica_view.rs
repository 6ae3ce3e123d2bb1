//! The replicas as this router sees them (design 9.3): the homes' load reports, and what it has open
//! itself. Read by read-copy-update on a request's way; knows no request.

use super::{
    protocol::ListedReplica,
    replica_report::{ReplicaReport, ReplicaRow},
    slow_start::Bucket,
};
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

/// Readings of two zones' lists are further apart than this part of the age at which they count no more only if the
/// platform was in service between them.
const READINGS_APART: u64 = 2;

/// What this router itself has at a replica; lives as long as the replica is listed.
#[derive(Debug, Default)]
pub struct LocalLoad {
    pub open: AtomicI64,
    /// Own failures: not to be used until then, where there is another.
    pub avoid_until: AtomicU64,
    /// When it last said anything here.
    pub last_contact: AtomicU64,
    pub bucket: Mutex<Bucket>,
}

impl LocalLoad {
    pub fn is_avoided(&self, now: Tick) -> bool {
        self.avoid_until.load(Ordering::Relaxed) > now.0
    }

    pub fn avoid(&self, t: Tick) {
        self.avoid_until.fetch_max(t.0, Ordering::Relaxed);
    }

    pub fn note_contact(&self, now: Tick) {
        self.last_contact.fetch_max(now.0, Ordering::Relaxed);
        self.avoid_until.store(0, Ordering::Relaxed);
    }
}

/// One replica that may be chosen.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub id: ReplicaId,
    pub service: Service,
    pub addr: SocketAddr,
    pub zone: Zone,
    pub region: Region,
    pub slots: u32,
    pub draining: bool,
    pub healthy: bool,
    pub cold_until: Tick,
    /// When the list that names it was read, at the latest.
    pub listed_at: Tick,
    /// What all had there when the load reports were fresh, and this router among them.
    pub total_at_report: i64,
    pub own_at_report: i64,
    pub waiting: u32,
    pub memory_used: u64,
    pub memory_total: u64,
    pub local: Arc<LocalLoad>,
}

impl Candidate {
    /// Requests there: those of the report, with what this router itself has begun and ended since. What the others
    /// did since is unknown; that they don't all go to the same replicas is up to the choice among few
    /// ([`super::replica_choice`]).
    pub fn load(&self) -> f64 {
        let open = self.local.open.load(Ordering::Relaxed).max(0);
        (self.total_at_report + open - self.own_at_report).max(open) as f64
    }
}

/// One zone's load reports as they came.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    pub report: ReplicaReport,
    /// When all of it was fresh, the list and the load reports, at the latest: from then on it ages.
    pub fresh_at: Tick,
    /// When it came. What is left of a warm-up counts from here: counted from `at` it would end too soon by the
    /// time that the question took on its way, and all routers would flood a replica that is still cold.
    pub received_at: Tick,
}

impl ReceivedReport {
    /// Whether this report is to replace the one that is held. Reports of one publisher are ordered by their numbers:
    /// when they were fresh is known only up to the time that they took on their way.
    fn supersedes(&self, held: &Self) -> bool {
        if self.report.publisher == held.report.publisher {
            return self.report.seq > held.report.seq;
        }
        self.fresh_at >= held.fresh_at
    }

    /// The replicas as the list named them, as far as the report tells.
    pub fn listed(&self, now: Tick) -> Vec<ListedReplica> {
        let cold_left_ms =
            |row: &ReplicaRow| self.cold_left_ms(row).saturating_sub(now.since(self.received_at));
        let listed = |row: &ReplicaRow| ListedReplica {
            id: row.id.clone(),
            service: row.service.clone(),
            addr: row.addr,
            zone: self.report.zone.clone(),
            slots: row.slots,
            draining: row.draining,
            cold_left_ms: cold_left_ms(row),
            time_left_ms: None,
        };
        self.report.rows.iter().map(listed).collect()
    }

    /// How much longer a replica was cold when the report came, at the most.
    fn cold_left_ms(&self, row: &ReplicaRow) -> u64 {
        row.cold_left_ms.saturating_sub(self.report.age_ms)
    }
}

/// All that may be chosen, by service; made anew with each report.
#[derive(Debug, Default)]
pub struct ReplicaView {
    pub by_service: HashMap<Service, Vec<Candidate>>,
    /// Passes that each region's load reports carry, by region and service, and until when they count.
    pub lending_grants: HashMap<(Region, Service), (u32, Tick)>,
}

/// Owns what outlives single reports.
#[derive(Default)]
pub struct ReportStore {
    pub by_zone: BTreeMap<Zone, ReceivedReport>,
    /// When the platform's list was read last for any zone, as far as reports told.
    newest_list_read: Tick,
    local_loads: HashMap<ReplicaId, Arc<LocalLoad>>,
}

impl ReportStore {
    /// Takes a report that was fresh when it came, unless it is older than what is held.
    pub fn accept(&mut self, board: ReplicaReport, at: Tick) -> bool {
        self.accept_received(ReceivedReport { report: board, fresh_at: at, received_at: at })
    }

    /// Takes a report unless it is older than what is held.
    pub fn accept_received(&mut self, mut report: ReceivedReport) -> bool {
        let held = self.by_zone.get(&report.report.zone);
        if held.is_some_and(|held| !report.supersedes(held)) {
            return false;
        }
        // A later report of the same publisher is no older, however long it took on its way.
        let same = held.filter(|held| held.report.publisher == report.report.publisher);
        report.fresh_at = same.map_or(report.fresh_at, |held| held.fresh_at.max(report.fresh_at));
        self.newest_list_read = self.newest_list_read.max(report.fresh_at);
        self.by_zone.insert(report.report.zone.clone(), report);
        true
    }

    /// When the platform's list was read last for any zone, as far as reports told.
    pub fn newest_list_read(&self) -> Tick {
        self.newest_list_read
    }

    /// When the list in a report was the newest that there is, at the latest: when it was read. Only where its sender
    /// said that it is too old, that of another zone said so too, and no list was read much later, the platform is out
    /// of service for all, and its last list is as good as new for as long as its publisher tells it. What this router
    /// has missed itself is no sign of that.
    pub fn listed_at(&self, report: &ReceivedReport, list_max_age_ms: u64, zones: usize) -> Tick {
        let says_old = |report: &ReceivedReport| report.report.age_ms > list_max_age_ms;
        let mut others = self.by_zone.values().filter(|other| other.report.zone != report.report.zone);
        let read_by_none = self.newest_list_read.since(report.fresh_at) <= list_max_age_ms / READINGS_APART;
        let out_of_service = says_old(report) && read_by_none && (zones <= 1 || others.any(says_old));
        if out_of_service { report.received_at } else { report.fresh_at }
    }

    /// Folds all reports into what may be chosen. `valid_ms` is how long load reports lend, `list_max_age_ms` how long
    /// a reading of the list may be gone by.
    pub fn build_view(
        &mut self,
        zones: &BTreeMap<Zone, Region>,
        valid_ms: u64,
        list_max_age_ms: u64,
    ) -> ReplicaView {
        let mut out = ReplicaView::default();
        for (zone, h) in &self.by_zone {
            let Some(region) = zones.get(zone) else { continue };
            let listed_at = self.listed_at(h, list_max_age_ms, zones.len());
            for r in &h.report.rows {
                let own = self.local_loads.entry(r.id.clone()).or_default().clone();
                let mine = own.open.load(Ordering::Relaxed).max(0);
                let all = i64::from(r.running) + i64::from(r.waiting);
                out.by_service.entry(r.service.clone()).or_default().push(Candidate {
                    id: r.id.clone(),
                    service: r.service.clone(),
                    addr: r.addr,
                    zone: zone.clone(),
                    region: region.clone(),
                    slots: r.slots.max(1),
                    draining: r.draining,
                    healthy: r.healthy,
                    cold_until: h.received_at + h.cold_left_ms(r),
                    listed_at,
                    total_at_report: all.max(mine),
                    own_at_report: mine,
                    waiting: r.waiting,
                    memory_used: r.memory_used,
                    memory_total: r.memory_total,
                    local: own,
                });
            }
            for (service, count) in &h.report.lending_grants {
                let key = (region.clone(), service.clone());
                let grant = out.lending_grants.entry(key).or_insert((0, listed_at + valid_ms));
                grant.0 += count;
                grant.1 = grant.1.min(listed_at + valid_ms);
            }
        }
        let listed = |id: &ReplicaId| out.by_service.values().flatten().any(|c| c.id == *id);
        self.local_loads.retain(|id, o| listed(id) || o.open.load(Ordering::Relaxed) > 0);
        out
    }
}

impl ReplicaView {
    pub fn replicas_of(&self, svc: &Service) -> &[Candidate] {
        self.by_service.get(svc).map_or(&[], Vec::as_slice)
    }

    /// Capacity and consumption of each region, from replicas that `usable` lets through.
    pub fn region_loads(
        &self,
        svc: &Service,
        usable: &dyn Fn(&Candidate) -> bool,
    ) -> BTreeMap<Region, RegionLoad> {
        let mut out: BTreeMap<Region, RegionLoad> = BTreeMap::new();
        for c in self.replicas_of(svc).iter().filter(|c| usable(c)) {
            let e = out.entry(c.region.clone()).or_default();
            e.healthy = true;
            e.capacity += f64::from(c.slots);
            e.consumption += c.load();
        }
        out
    }
}
