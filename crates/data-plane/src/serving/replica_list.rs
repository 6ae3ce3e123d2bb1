//! The platform's list of replicas, as the publisher of a zone reads it (design 9.3): page by page, within the rate
//! limit that all nodes share, and concurrently with the health probes.

pub use super::list_reading::{ListError, ListRead};
use super::{
    protocol::{ListPage, ListedReplica},
    state::Serving,
};
use crate::router::lock;
use common::{ReplicaId, Tick, Zone, error::PeerError, http::send_request, log_event, runtime::spawn};
use hyper::{Method, StatusCode};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::sync::oneshot;

/// As long as no call fails, all publishers together use the shared rate divided by this.
const RATE_HEADROOM: f64 = 3.0;
/// Timeout for one page, in milliseconds.
const PAGE_TIMEOUT_MS: u64 = 1_000;
/// A read with more pages than this is abandoned.
const MAX_PAGES: u32 = 64;
/// Maximum factor by which reads are delayed while the platform refuses them for their rate. It is bounded so that a
/// leaving replica is still noticed in time.
const MAX_BACKOFF_FACTOR: u64 = 4;

/// What is known of a zone's list, and when it is read next. Pure.
#[derive(Debug, Default)]
pub struct KnownReplicas {
    /// The replicas; `None` before the first read.
    rows: Option<BTreeMap<ReplicaId, ListedReplica>>,
    /// Replicas that were missing from the last read, which had several pages.
    absent: BTreeSet<ReplicaId>,
    /// When the last successful read started: what changed later is not in it.
    started: Tick,
    /// When its answer arrived.
    arrived: Tick,
    /// The rows show no change after this time. Only a new read advances it.
    read_at: Tick,
    /// Whether the rows were taken from another publisher's report, because neither publisher could reach the platform.
    adopted: bool,
    /// When the list is read next.
    due: Tick,
    /// Factor by which reads are delayed.
    backoff_factor: u64,
}

impl KnownReplicas {
    /// Whether the list is to be read now.
    pub fn is_due(&self, now: Tick) -> bool {
        now >= self.due
    }

    /// Records a read that started at `started` and whose answer arrived at `arrived`. A replica that moves to an
    /// earlier page while later ones are read is on none of them. It therefore counts as gone only if a second read
    /// lacks it too; until then the rows count as old as the read before.
    pub fn record_read(&mut self, read: ListRead, started: Tick, arrived: Tick, interval_ms: u64) {
        let mut rows = read.rows;
        let is_missing = |(id, _): &(&ReplicaId, &ListedReplica)| !rows.contains_key(*id);
        let kept: Vec<ListedReplica> = if read.pages > 1 && !self.adopted {
            let known = self.rows.iter().flatten().filter(is_missing);
            known.filter(|(id, _)| !self.absent.contains(*id)).map(|(_, row)| row.clone()).collect()
        } else {
            Vec::new()
        };
        self.absent = kept.iter().map(|row| row.id.clone()).collect();
        rows.extend(kept.into_iter().map(|row| (row.id.clone(), row)));
        self.read_at = if self.absent.is_empty() { started } else { self.started };
        (self.rows, self.started, self.arrived) = (Some(rows), started, arrived);
        (self.backoff_factor, self.adopted) = (1, false);
        self.due = arrived + interval_ms * u64::from(read.pages);
    }

    /// Records a failed read, and schedules the next one.
    pub fn record_failure(&mut self, error: &ListError, now: Tick, interval_ms: u64) {
        self.backoff_factor = match error {
            ListError::OverRate(_) => (self.backoff_factor * 2).clamp(2, MAX_BACKOFF_FACTOR),
            ListError::Failed(_) => 1,
        };
        self.due = now + interval_ms * self.backoff_factor;
    }

    /// Continues with what another publisher read at `read_at`, because neither that one nor this node reaches the
    /// platform now. Whether the platform is down for all routers is decided by the receivers of this list
    /// (`ReportStore::listed_at`).
    pub fn adopt(&mut self, rows: Vec<ListedReplica>, read_at: Tick, now: Tick) {
        self.rows = Some(rows.into_iter().map(|row| (row.id.clone(), row)).collect());
        (self.started, self.arrived, self.read_at, self.adopted) = (Tick(0), now, read_at, true);
    }

    /// The rows show no change after this time.
    pub fn read_at(&self) -> Tick {
        self.read_at
    }

    /// Whether the platform, although in service, refused the last read for its rate.
    pub fn is_over_rate(&self) -> bool {
        self.backoff_factor > 1
    }

    /// The replicas by the newest read; `None` before the first.
    pub fn rows(&self, now: Tick) -> Option<Vec<ListedReplica>> {
        let age = now.since(self.arrived);
        let aged = |row: &ListedReplica| ListedReplica {
            cold_left_ms: row.cold_left_ms.saturating_sub(age),
            ..row.clone()
        };
        self.rows.as_ref().map(|rows| rows.values().map(aged).collect())
    }
}

/// Reads a zone's list in the background of the publisher's other work.
pub struct ListReader {
    zone: Zone,
    known: KnownReplicas,
    /// The read that is under way.
    pending: Option<oneshot::Receiver<FinishedRead>>,
}

/// A finished read.
struct FinishedRead {
    started: Tick,
    arrived: Tick,
    result: Result<ListRead, ListError>,
}

impl ListReader {
    /// A reader that knows nothing of the zone's list yet.
    pub fn new(zone: Zone) -> Self {
        Self { zone, known: KnownReplicas::default(), pending: None }
    }

    /// Forgets the list: this node publishes the zone no more.
    pub fn reset(&mut self) {
        *self = Self::new(self.zone.clone());
    }

    /// When the last successful read started.
    pub fn read_started_at(&self) -> Tick {
        self.known.started
    }

    /// What is known of the list.
    pub fn known(&self) -> &KnownReplicas {
        &self.known
    }

    /// The newest list. If a read is under way, waits for it for at most `wait_ms`.
    pub async fn refreshed(&mut self, serving: &Arc<Serving>, wait_ms: u64) -> Option<Vec<ListedReplica>> {
        let interval_ms = serving.list_interval_ms();
        if self.pending.is_none() && self.known.is_due(serving.now()) {
            let (answer, answered) = oneshot::channel();
            let (router, zone) = (serving.clone(), self.zone.clone());
            spawn(async move {
                let started = router.now();
                let result = router.read_list(&zone).await;
                // Warm-up times count from the arrival of the answer, which was made before that: so no replica
                // counts as warm earlier than the list says.
                let _ = answer.send(FinishedRead { started, arrived: router.now(), result });
            });
            self.pending = Some(answered);
        }
        if let Some(answered) = self.pending.as_mut() {
            let wait = Duration::from_millis(wait_ms);
            if let Ok(finished) = tokio::time::timeout(wait, answered).await {
                self.pending = None;
                if let Ok(FinishedRead { started, arrived, result }) = finished {
                    match result {
                        Ok(read) => self.known.record_read(read, started, arrived, interval_ms),
                        Err(error) => self.handle_failure(error, serving, interval_ms),
                    }
                }
            }
        }
        self.known.rows(serving.now())
    }

    fn handle_failure(&mut self, error: ListError, serving: &Serving, interval_ms: u64) {
        let now = serving.now();
        self.known.record_failure(&error, now, interval_ms);
        if matches!(error, ListError::Failed(_))
            && let Some((rows, read_at)) = serving.last_reported_replicas(&self.zone)
        {
            log_event!(Warn, "go on with an old list", "peer" => self.zone, "age_ms" => now.since(read_at));
            self.known.adopt(rows, read_at, now);
        }
        let (ListError::OverRate(error) | ListError::Failed(error)) = error;
        log_event!(Info, error.step, "peer" => error.peer, "cause" => error.cause());
    }
}

impl Serving {
    /// A zone's replicas by the last report, and when they were read, if its publisher failed to renew the list and
    /// no list of any zone was read recently. This node's own report counts only if no other node could publish.
    fn last_reported_replicas(&self, zone: &Zone) -> Option<(Vec<ListedReplica>, Tick)> {
        let reports = lock(&self.reports);
        if self.is_list_current(reports.newest_list_read()) {
            return None;
        }
        let held = reports.by_zone.get(zone)?;
        let by_another = held.report.publisher != *self.router.node();
        (by_another || self.publishers(zone).len() <= 1).then(|| (held.listed(self.now()), held.fresh_at))
    }

    /// Interval between two reads of a zone's list; it keeps all zones together far below the rate limit.
    fn list_interval_ms(&self) -> u64 {
        let zones = self.site.zones.len().max(1) as f64;
        let min_interval_ms = RATE_HEADROOM * 1_000.0 * zones / self.site.list_calls_per_s.max(0.1);
        self.report_interval_ms().max(min_interval_ms as u64)
    }

    /// Reads all pages of the zone's part of the list.
    async fn read_list(&self, zone: &Zone) -> Result<ListRead, ListError> {
        let (mut read, mut page) = (ListRead::default(), None::<String>);
        while read.pages < MAX_PAGES {
            let ListPage { rows, next } = self.read_page(zone, page.as_deref()).await?;
            read.add(zone, rows);
            match next {
                Some(token) => page = Some(token),
                None => return Ok(read),
            }
        }
        Err(ListError::Failed(PeerError::new(
            "list replicas",
            self.site.list_addr,
            "the list has too many pages",
        )))
    }

    async fn read_page(&self, zone: &Zone, page: Option<&str>) -> Result<ListPage, ListError> {
        const STEP: &str = "list replicas";
        let (local_ip, to) = (self.router.settings.rpc_addr.ip(), self.site.list_addr);
        let path = self.protocol.list_page_path(zone, page);
        let answer = send_request(local_ip, to, Method::GET, &path, &[], "", PAGE_TIMEOUT_MS).await;
        let (code, _, body) = answer.map_err(ListError::Failed)?;
        match code {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => {
                return Err(ListError::OverRate(PeerError::new(STEP, to, code.to_string())));
            }
            _ => return Err(ListError::Failed(PeerError::new(STEP, to, code.to_string()))),
        }
        let unreadable = || ListError::Failed(PeerError::new(STEP, to, "the answer could not be read"));
        self.protocol.parse_list_page(&body).ok_or_else(unreadable)
    }
}
