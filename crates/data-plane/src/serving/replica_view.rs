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
    pub fn avoided(&self, now: Tick) -> bool {
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
    pub well: bool,
    pub cold_until: Tick,
    /// When the list that names it was read, at the latest.
    pub listed_at: Tick,
    /// What all had there when the load reports were fresh, and this router among them.
    pub all: i64,
    pub mine: i64,
    pub waiting: u32,
    pub memory_used: u64,
    pub memory_total: u64,
    pub own: Arc<LocalLoad>,
}

impl Candidate {
    /// Requests there: those of the report, with what this router itself has begun and ended since. What the others
    /// did since is unknown; that they don't all go to the same replicas is up to the choice among few
    /// ([`super::replica_choice`]).
    pub fn load(&self) -> f64 {
        let open = self.own.open.load(Ordering::Relaxed).max(0);
        (self.all + open - self.mine).max(open) as f64
    }
}

/// One zone's load reports as they came.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    pub board: ReplicaReport,
    /// When all of it was fresh, the list and the load reports, at the latest: from then on it ages.
    pub at: Tick,
    /// When it came. What is left of a warm-up counts from here: counted from `at` it would end too soon by the
    /// time that the question took on its way, and all routers would flood a replica that is still cold.
    pub received: Tick,
}

impl ReceivedReport {
    /// Whether this report is to replace the one that is held. Reports of one publisher are ordered by their numbers:
    /// when they were fresh is known only up to the time that they took on their way.
    fn supersedes(&self, held: &Self) -> bool {
        if self.board.publisher == held.board.publisher {
            return self.board.seq > held.board.seq;
        }
        self.at >= held.at
    }

    /// The replicas as the list named them, as far as the report tells.
    pub fn listed(&self, now: Tick) -> Vec<ListedReplica> {
        let cold_left_ms = |row: &ReplicaRow| self.cold_left_ms(row).saturating_sub(now.since(self.received));
        let listed = |row: &ReplicaRow| ListedReplica {
            id: row.id.clone(),
            service: row.service.clone(),
            addr: row.addr,
            zone: self.board.zone.clone(),
            slots: row.slots,
            draining: row.draining,
            cold_left_ms: cold_left_ms(row),
            time_left_ms: None,
        };
        self.board.rows.iter().map(listed).collect()
    }

    /// How much longer a replica was cold when the report came, at the most.
    fn cold_left_ms(&self, row: &ReplicaRow) -> u64 {
        row.cold_left_ms.saturating_sub(self.board.age_ms)
    }
}

/// All that may be chosen, by service; made anew with each report.
#[derive(Debug, Default)]
pub struct ReplicaView {
    pub by_service: HashMap<Service, Vec<Candidate>>,
    /// Passes that each region's load reports carry, by region and service, and until when they count.
    pub lends: HashMap<(Region, Service), (u32, Tick)>,
}

/// Owns what outlives single reports.
#[derive(Default)]
pub struct ReportStore {
    pub by_zone: BTreeMap<Zone, ReceivedReport>,
    /// When the platform's list was read last for any zone, as far as reports told.
    newest_reading: Tick,
    owns: HashMap<ReplicaId, Arc<LocalLoad>>,
}

impl ReportStore {
    /// Takes a report that was fresh when it came, unless it is older than what is held.
    pub fn take(&mut self, board: ReplicaReport, at: Tick) -> bool {
        self.take_received(ReceivedReport { board, at, received: at })
    }

    /// Takes a report unless it is older than what is held.
    pub fn take_received(&mut self, mut report: ReceivedReport) -> bool {
        let held = self.by_zone.get(&report.board.zone);
        if held.is_some_and(|held| !report.supersedes(held)) {
            return false;
        }
        // A later report of the same publisher is no older, however long it took on its way.
        let same = held.filter(|held| held.board.publisher == report.board.publisher);
        report.at = same.map_or(report.at, |held| held.at.max(report.at));
        self.newest_reading = self.newest_reading.max(report.at);
        self.by_zone.insert(report.board.zone.clone(), report);
        true
    }

    /// When the platform's list was read last for any zone, as far as reports told.
    pub fn newest_reading(&self) -> Tick {
        self.newest_reading
    }

    /// When the list in a report was the newest that there is, at the latest: when it was read. Only where its sender
    /// said that it is too old, that of another zone said so too, and no list was read much later, the platform is out
    /// of service for all, and its last list is as good as new for as long as its publisher tells it. What this router
    /// has missed itself is no sign of that.
    pub fn listed_at(&self, report: &ReceivedReport, list_max_age_ms: u64, zones: usize) -> Tick {
        let says_old = |report: &ReceivedReport| report.board.age_ms > list_max_age_ms;
        let mut others = self.by_zone.values().filter(|other| other.board.zone != report.board.zone);
        let read_by_none = self.newest_reading.since(report.at) <= list_max_age_ms / READINGS_APART;
        let out_of_service = says_old(report) && read_by_none && (zones <= 1 || others.any(says_old));
        if out_of_service { report.received } else { report.at }
    }

    /// Folds all reports into what may be chosen. `valid_ms` is how long load reports lend, `list_max_age_ms` how long
    /// a reading of the list may be gone by.
    pub fn fleet(
        &mut self,
        zones: &BTreeMap<Zone, Region>,
        valid_ms: u64,
        list_max_age_ms: u64,
    ) -> ReplicaView {
        let mut out = ReplicaView::default();
        for (zone, h) in &self.by_zone {
            let Some(region) = zones.get(zone) else { continue };
            let listed_at = self.listed_at(h, list_max_age_ms, zones.len());
            for r in &h.board.rows {
                let own = self.owns.entry(r.id.clone()).or_default().clone();
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
                    well: r.well,
                    cold_until: h.received + h.cold_left_ms(r),
                    listed_at,
                    all: all.max(mine),
                    mine,
                    waiting: r.waiting,
                    memory_used: r.memory_used,
                    memory_total: r.memory_total,
                    own,
                });
            }
            for (svc, n) in &h.board.lends {
                let e = out.lends.entry((region.clone(), svc.clone())).or_insert((0, listed_at + valid_ms));
                e.0 += n;
                e.1 = e.1.min(listed_at + valid_ms);
            }
        }
        let listed = |id: &ReplicaId| out.by_service.values().flatten().any(|c| c.id == *id);
        self.owns.retain(|id, o| listed(id) || o.open.load(Ordering::Relaxed) > 0);
        out
    }
}

impl ReplicaView {
    pub fn of(&self, svc: &Service) -> &[Candidate] {
        self.by_service.get(svc).map_or(&[], Vec::as_slice)
    }

    /// Capacity and consumption of each region, from replicas that `usable` lets through.
    pub fn regions(
        &self,
        svc: &Service,
        usable: &dyn Fn(&Candidate) -> bool,
    ) -> BTreeMap<Region, RegionLoad> {
        let mut out: BTreeMap<Region, RegionLoad> = BTreeMap::new();
        for c in self.of(svc).iter().filter(|c| usable(c)) {
            let e = out.entry(c.region.clone()).or_default();
            e.healthy = true;
            e.capacity += f64::from(c.slots);
            e.consumption += c.load();
        }
        out
    }
}
