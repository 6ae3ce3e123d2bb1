//! The platform's list of replicas, as the home of a zone reads it (design 9.3): page by page, within the
//! rate that all nodes share, and never in the way of the probes.

pub use super::list_reading::{ListError, ListRead};
use super::{
    protocol::{ListPage, ListedReplica},
    state::Serving,
};
use crate::router::lock;
use common::{ReplicaId, Tick, Zone, error::PeerError, http::ask, log_event, runtime::spawn};
use hyper::{Method, StatusCode};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::sync::oneshot;

/// Part of the shared rate that homes use when nothing goes wrong: a third.
const RATE_HEADROOM: f64 = 3.0;
/// Longest wait for one page.
const PAGE_MS: u64 = 1_000;
/// Pages after which a reading is given up.
const MAX_PAGES: u32 = 64;
/// A reader that is refused for its rate pauses up to so many times as long: what leaves must still be seen in time.
const MAX_BACKOFF: u64 = 4;

/// What is known of a zone's list, and when it is read next. Pure.
#[derive(Debug, Default)]
pub struct KnownReplicas {
    rows: Option<BTreeMap<ReplicaId, ListedReplica>>,
    /// Lacking in the last reading, which had several pages.
    absent: BTreeSet<ReplicaId>,
    /// When the reading was begun that is known: what changed later is not in it.
    begun: Tick,
    /// When its answer came.
    came: Tick,
    /// What changed later is not in the rows. Nothing but a reading renews it.
    read_at: Tick,
    /// It was taken from another publisher's report, since the platform answered neither of the two.
    adopted: bool,
    due: Tick,
    backoff: u64,
}

impl KnownReplicas {
    pub fn is_due(&self, now: Tick) -> bool {
        now >= self.due
    }

    /// Takes a reading that was begun at `begun` and whose answer came at `came`. A replica that moves to an earlier
    /// page while the later ones are read stands on none of them: it is gone only once a second reading lacks it too,
    /// and until then all is as old as the reading before.
    pub fn record_read(&mut self, read: ListRead, begun: Tick, came: Tick, each_ms: u64) {
        let mut rows = read.rows;
        let lacking = |(id, _): &(&ReplicaId, &ListedReplica)| !rows.contains_key(*id);
        let held: Vec<ListedReplica> = if read.pages > 1 && !self.adopted {
            let known = self.rows.iter().flatten().filter(lacking);
            known.filter(|(id, _)| !self.absent.contains(*id)).map(|(_, r)| r.clone()).collect()
        } else {
            Vec::new()
        };
        self.absent = held.iter().map(|r| r.id.clone()).collect();
        rows.extend(held.into_iter().map(|r| (r.id.clone(), r)));
        self.read_at = if self.absent.is_empty() { begun } else { self.begun };
        (self.rows, self.begun, self.came) = (Some(rows), begun, came);
        (self.backoff, self.adopted) = (1, false);
        self.due = came + each_ms * u64::from(read.pages);
    }

    pub fn record_failure(&mut self, error: &ListError, now: Tick, each_ms: u64) {
        self.backoff = match error {
            ListError::OverRate(_) => (self.backoff * 2).clamp(2, MAX_BACKOFF),
            ListError::Failed(_) => 1,
        };
        self.due = now + each_ms * self.backoff;
    }

    /// Goes on with what another publisher read at `read_at`: it reaches the platform no more, and neither does this
    /// node. Whether the platform is out of service for all is up to those that are told this list
    /// (`ReportStore::listed_at`).
    pub fn adopt(&mut self, rows: Vec<ListedReplica>, read_at: Tick, now: Tick) {
        self.rows = Some(rows.into_iter().map(|row| (row.id.clone(), row)).collect());
        (self.begun, self.came, self.read_at, self.adopted) = (Tick(0), now, read_at, true);
    }

    /// What changed later is not in the rows.
    pub fn read_at(&self) -> Tick {
        self.read_at
    }

    /// The platform is in service, and refused the last reading for its rate.
    pub fn is_over_rate(&self) -> bool {
        self.backoff > 1
    }

    /// The replicas by the newest reading; nothing before the first.
    pub fn rows(&self, now: Tick) -> Option<Vec<ListedReplica>> {
        let age = now.since(self.came);
        let aged = |r: &ListedReplica| ListedReplica {
            cold_left_ms: r.cold_left_ms.saturating_sub(age),
            ..r.clone()
        };
        self.rows.as_ref().map(|rows| rows.values().map(aged).collect())
    }
}

/// Reads a zone's list beside the home's other work.
pub struct ListReader {
    zone: Zone,
    known: KnownReplicas,
    pending: Option<oneshot::Receiver<Reading>>,
}

/// A reading that has ended.
struct Reading {
    begun: Tick,
    came: Tick,
    result: Result<ListRead, ListError>,
}

impl ListReader {
    pub fn new(zone: Zone) -> Self {
        Self { zone, known: KnownReplicas::default(), pending: None }
    }

    /// Forgets the list: the home's singleton role has ended.
    pub fn reset(&mut self) {
        *self = Self::new(self.zone.clone());
    }

    /// When the reading that is known was begun.
    pub fn read_begun(&self) -> Tick {
        self.known.begun
    }

    pub fn known(&self) -> &KnownReplicas {
        &self.known
    }

    /// The newest list, for which a reading is waited for at most so long.
    pub async fn refreshed(&mut self, serving: &Arc<Serving>, wait_ms: u64) -> Option<Vec<ListedReplica>> {
        let each_ms = serving.list_ms();
        if self.pending.is_none() && self.known.is_due(serving.now()) {
            let (answer, answered) = oneshot::channel();
            let (me, zone) = (serving.clone(), self.zone.clone());
            spawn(async move {
                let begun = me.now();
                let result = me.read_list(&zone).await;
                // Spans are counted from when the answer had come: it was made before that, so what is
                // cold counts as cold no shorter than the list says.
                let _ = answer.send(Reading { begun, came: me.now(), result });
            });
            self.pending = Some(answered);
        }
        if let Some(answered) = self.pending.as_mut() {
            let wait = Duration::from_millis(wait_ms);
            if let Ok(result) = tokio::time::timeout(wait, answered).await {
                self.pending = None;
                if let Ok(Reading { begun, came, result }) = result {
                    match result {
                        Ok(read) => self.known.record_read(read, begun, came, each_ms),
                        Err(error) => self.failed(error, serving, each_ms),
                    }
                }
            }
        }
        self.known.rows(serving.now())
    }

    fn failed(&mut self, error: ListError, serving: &Serving, each_ms: u64) {
        let now = serving.now();
        self.known.record_failure(&error, now, each_ms);
        if matches!(error, ListError::Failed(_))
            && let Some((rows, read_at)) = serving.outdated_replicas(&self.zone)
        {
            log_event!(Warn, "go on with an old list", "peer" => self.zone, "age_ms" => now.since(read_at));
            self.known.adopt(rows, read_at, now);
        }
        let (ListError::OverRate(error) | ListError::Failed(error)) = error;
        log_event!(Info, error.step, "peer" => error.peer, "cause" => error.cause());
    }
}

impl Serving {
    /// A zone's replicas by the last report, and when they were read, where its publisher has failed to renew the list
    /// in it and nobody has read any other. The own report counts only where nobody else could publish.
    fn outdated_replicas(&self, zone: &Zone) -> Option<(Vec<ListedReplica>, Tick)> {
        let reports = lock(&self.reports);
        if self.is_list_current(reports.newest_list_read()) {
            return None;
        }
        let held = reports.by_zone.get(zone)?;
        let by_another = held.report.publisher != *self.router.node();
        (by_another || self.publishers(zone).len() <= 1).then(|| (held.listed(self.now()), held.fresh_at))
    }

    /// Time between two calls for a zone's list, so that all zones together stay far below the rate.
    fn list_ms(&self) -> u64 {
        let zones = self.site.zones.len().max(1) as f64;
        let least = RATE_HEADROOM * 1_000.0 * zones / self.site.list_calls_per_s.max(0.1);
        self.report_interval_ms().max(least as u64)
    }

    /// The zone's part of the list, all pages.
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
        Err(ListError::Failed(PeerError::new("list replicas", self.site.list_addr, "pages without an end")))
    }

    async fn read_page(&self, zone: &Zone, page: Option<&str>) -> Result<ListPage, ListError> {
        const STEP: &str = "list replicas";
        let (ip, to) = (self.router.settings.rpc_addr.ip(), self.site.list_addr);
        let path = self.protocol.list_page_path(zone, page);
        let answer = ask(ip, to, Method::GET, &path, &[], "", PAGE_MS).await;
        let (code, _, body) = answer.map_err(ListError::Failed)?;
        match code {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => {
                return Err(ListError::OverRate(PeerError::new(STEP, to, code.to_string())));
            }
            _ => return Err(ListError::Failed(PeerError::new(STEP, to, code.to_string()))),
        }
        let unread = || ListError::Failed(PeerError::new(STEP, to, "the answer could not be read"));
        self.protocol.parse_list_page(&body).ok_or_else(unread)
    }
}
