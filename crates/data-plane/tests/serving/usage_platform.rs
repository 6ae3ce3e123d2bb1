//! A stand-in for the platform that takes reports of usage, and judges them.

use common::{
    Tenant,
    http::{self, text},
    lock,
    runtime::Simulation,
};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, body::Incoming};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

pub const PLATFORM: ([u8; 4], u16) = ([10, 0, 9, 9], 9);
/// Within which no holder may act again once another one has.
const RETURN_MS: u64 = 3_000;

/// How it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    #[default]
    Well,
    /// Takes nothing.
    Says(u16),
    /// Takes the report, and its answer is lost.
    AnswersLost,
    /// Takes the report so much later, whoever waits.
    Slow(u64),
}

type Counts = BTreeMap<Tenant, u64>;

#[derive(Default)]
struct Judged {
    mood: Mood,
    /// Whether a lower fencing token than one before is refused.
    checks_fence: bool,
    accepted: BTreeMap<u64, (Counts, u64)>,
    fence: u64,
    holders: BTreeMap<u64, String>,
    /// Who acted when.
    acts: Vec<(u64, String)>,
    broken: Vec<String>,
    calls: usize,
}

#[derive(Default)]
pub struct Platform(Mutex<Judged>);

impl Judged {
    /// Takes a report, and says what is broken by it.
    fn take(&mut self, holder: &str, fence: u64, window: u64, counts: Counts, now: u64) -> StatusCode {
        let known = self.holders.entry(fence).or_insert_with(|| holder.to_string());
        if known != holder {
            self.broken.push(format!("{known} and {holder} send fence {fence}"));
        }
        if self.checks_fence && fence < self.fence {
            return StatusCode::CONFLICT;
        }
        self.fence = self.fence.max(fence);
        self.acts.push((now, holder.to_string()));
        let between = self.acts.iter().rposition(|(_, other)| other != holder);
        if let Some(between) = between
            && let Some((before, _)) = self.acts[..between].iter().rfind(|(_, other)| other == holder)
            && now - before < RETURN_MS
        {
            self.broken.push(format!("{holder} is back within {} ms", now - before));
        }
        let (first, _) = self.accepted.entry(window).or_insert_with(|| (counts.clone(), now));
        if *first != counts {
            self.broken.push(format!("window {window}: {first:?}, then {counts:?} by {holder}"));
        }
        StatusCode::OK
    }
}

impl Platform {
    pub async fn start(simulation: &Arc<Simulation>) -> Arc<Self> {
        let judged = Judged { checks_fence: true, ..Judged::default() };
        let platform = Arc::new(Self(Mutex::new(judged)));
        let listener = common::runtime::bind(PLATFORM.into()).await.expect("its address");
        let (end, ended) = watch::channel(false);
        let me = platform.clone();
        simulation.host(std::net::IpAddr::from(PLATFORM.0)).spawn(async move {
            let handler = move |_, request| me.clone().answer(request);
            http::serve(listener, Arc::default(), ended, handler).await;
            drop(end);
        });
        platform
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<hyper::Response<http::Body>, http::BoxErr> {
        let head = |name: &str| request.headers()[name].to_str().expect("text").to_string();
        let (holder, fence) = (head("x-holder"), head("x-fence").parse().expect("a number"));
        let body = request.into_body().collect().await?.to_bytes();
        let body = String::from_utf8(body.to_vec())?;
        let (window, counts) = body.split_once(' ').expect("a window and its counts");
        let pairs = counts.split(' ').filter_map(|pair| pair.split_once('='));
        let counts: Counts =
            pairs.map(|(tenant, count)| (Tenant::new(tenant), count.parse().expect("a count"))).collect();
        let window = window.parse().expect("a number");
        let mood = {
            let mut judged = lock(&self.0);
            judged.calls += 1;
            judged.mood
        };
        match mood {
            Mood::Says(status) => return Ok(text(StatusCode::from_u16(status)?, "")),
            Mood::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            Mood::Well | Mood::AnswersLost => {}
        }
        let now = common::clock::time_of_day_ms();
        let status = lock(&self.0).take(&holder, fence, window, counts, now);
        if mood == Mood::AnswersLost {
            sleep(Duration::from_secs(60)).await;
        }
        Ok(text(status, ""))
    }

    pub fn mood(&self, mood: Mood) {
        lock(&self.0).mood = mood;
    }

    /// What was accepted for a window, and when.
    pub fn accepted(&self, window: u64) -> Option<(Counts, u64)> {
        lock(&self.0).accepted.get(&window).cloned()
    }

    pub fn calls(&self) -> usize {
        lock(&self.0).calls
    }

    pub fn broken(&self) -> Vec<String> {
        lock(&self.0).broken.clone()
    }

    pub fn checks_fence(&self, checks: bool) {
        lock(&self.0).checks_fence = checks;
    }
}
