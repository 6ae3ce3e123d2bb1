//! The platform's list of replicas, as the home of a zone reads it (design 9.3): page by page, within the
//! rate that all nodes share, and never in the way of the probes.

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

/// A whole reading of a zone's part of the list.
#[derive(Debug, Default)]
pub struct ListRead {
    rows: BTreeMap<ReplicaId, ListedReplica>,
    pages: u32,
}

impl ListRead {
    /// Adds a page. A replica that moved between pages may stand on two: what says that it leaves counts.
    pub fn add(&mut self, zone: &Zone, page: Vec<ListedReplica>) {
        self.pages += 1;
        for row in page.into_iter().filter(|r| r.zone == *zone) {
            let leaving = |r: &ListedReplica| r.draining || r.time_left_ms.is_some();
            if !self.rows.get(&row.id).is_some_and(leaving) {
                self.rows.insert(row.id.clone(), row);
            }
        }
    }
}

/// Why a reading failed.
#[derive(Debug)]
pub enum ListError {
    /// All nodes together ask too often.
    OverRate(PeerError),
    Failed(PeerError),
}

/// What is known of a zone's list, and when it is read next. Pure.
#[derive(Debug, Default)]
pub struct KnownReplicas {
    rows: Option<BTreeMap<ReplicaId, ListedReplica>>,
    /// Lacking in the last reading, which had several pages.
    absent: BTreeSet<ReplicaId>,
    /// When the reading was begun that is known: what changed later is not in it.
    begun: Tick,
    /// When its answer came.
    read_at: Tick,
    /// When it was the newest list that could be had.
    current_at: Tick,
    /// It was taken from another publisher's report, since the platform answered neither of the two.
    adopted: bool,
    due: Tick,
    backoff: u64,
}

impl KnownReplicas {
    pub fn due(&self, now: Tick) -> bool {
        now >= self.due
    }

    /// Takes a reading that was begun at `begun` and whose answer came at `came`. A replica that moves to an earlier page while the later ones
    /// are read stands on none of them: it is gone only once a second reading lacks it too.
    pub fn read(&mut self, read: ListRead, begun: Tick, came: Tick, each_ms: u64) {
        let mut rows = read.rows;
        let lacking = |(id, _): &(&ReplicaId, &ListedReplica)| !rows.contains_key(*id);
        let held: Vec<ListedReplica> = if read.pages > 1 {
            let known = self.rows.iter().flatten().filter(lacking);
            known.filter(|(id, _)| !self.absent.contains(*id)).map(|(_, r)| r.clone()).collect()
        } else {
            Vec::new()
        };
        self.absent = held.iter().map(|r| r.id.clone()).collect();
        rows.extend(held.into_iter().map(|r| (r.id.clone(), r)));
        (self.rows, self.read_at, self.backoff) = (Some(rows), came, 1);
        (self.begun, self.current_at, self.adopted) = (begun, begun, false);
        self.due = came + each_ms * u64::from(read.pages);
    }

    pub fn failed(&mut self, error: &ListError, now: Tick, each_ms: u64) {
        self.backoff = match error {
            ListError::OverRate(_) => (self.backoff * 2).clamp(2, MAX_BACKOFF),
            ListError::Failed(_) => 1,
        };
        self.due = now + each_ms * self.backoff;
        if self.adopted && matches!(error, ListError::Failed(_)) {
            self.current_at = now;
        }
    }

    /// Goes on with what another publisher told last: it reaches the platform no more, and neither does this node, so
    /// the platform is out of service for all, and its last list is the newest that there is.
    pub fn adopt(&mut self, rows: Vec<ListedReplica>, now: Tick) {
        self.rows = Some(rows.into_iter().map(|row| (row.id.clone(), row)).collect());
        (self.begun, self.read_at, self.current_at, self.adopted) = (Tick(0), now, now, true);
    }

    /// The replicas by the newest reading; nothing before the first.
    pub fn rows(&self, now: Tick) -> Option<Vec<ListedReplica>> {
        let age = now.since(self.read_at);
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

    /// When the reading that is known was begun: what changed later is not in it.
    pub fn read_begun(&self) -> Tick {
        self.known.begun
    }

    /// When the list that is known was the newest that could be had.
    pub fn current_at(&self) -> Tick {
        self.known.current_at
    }

    /// The newest list, for which a reading is waited for at most so long.
    pub async fn refreshed(&mut self, serving: &Arc<Serving>, wait_ms: u64) -> Option<Vec<ListedReplica>> {
        let each_ms = serving.list_ms();
        if self.pending.is_none() && self.known.due(serving.now()) {
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
                        Ok(read) => self.known.read(read, begun, came, each_ms),
                        Err(error) => self.failed(error, serving, each_ms),
                    }
                }
            }
        }
        self.known.rows(serving.now())
    }

    fn failed(&mut self, error: ListError, serving: &Serving, each_ms: u64) {
        let now = serving.now();
        self.known.failed(&error, now, each_ms);
        if matches!(error, ListError::Failed(_)) {
            let outdated = serving.outdated_replicas(&self.zone);
            outdated.into_iter().for_each(|rows| self.known.adopt(rows, now));
        }
        let (ListError::OverRate(error) | ListError::Failed(error)) = error;
        log_event!(Info, error.step, "peer" => error.peer, "cause" => error.cause());
    }
}

impl Serving {
    /// A zone's replicas by the last report, where its publisher has failed to renew the list in it. The own report
    /// counts only where nobody else could publish.
    fn outdated_replicas(&self, zone: &Zone) -> Option<Vec<ListedReplica>> {
        let reports = lock(&self.reports);
        let held = reports.by_zone.get(zone).filter(|held| !self.is_list_current(held.at))?;
        let by_another = held.board.publisher != *self.router.node();
        (by_another || self.publishers(zone).len() <= 1).then(|| held.listed(self.now()))
    }

    /// Time between two calls for a zone's list, so that all zones together stay far below the rate.
    fn list_ms(&self) -> u64 {
        let zones = self.site.zones.len().max(1) as f64;
        let least = RATE_HEADROOM * 1_000.0 * zones / self.site.list_per_s.max(0.1);
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
        Err(ListError::Failed(PeerError::new("list replicas", self.site.list, "pages without an end")))
    }

    async fn read_page(&self, zone: &Zone, page: Option<&str>) -> Result<ListPage, ListError> {
        const STEP: &str = "list replicas";
        let (ip, to) = (self.router.set.rpc_addr.ip(), self.site.list);
        let path = self.dialect.listing_path(zone, page);
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
        self.dialect.listing(&body).ok_or_else(unread)
    }
}
