//! A simulated platform that accepts usage reports and records violations of its rules.

use common::{
    Tenant,
    http::{self, text},
    lock,
    runtime::Simulation,
};
use hyper::{Request, StatusCode};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

pub const PLATFORM: ([u8; 4], u16) = ([10, 0, 9, 9], 9);
/// Longest report, and the time in which it must arrive.
const MAX_REPORT_BYTES: usize = 1 << 20;
const REPORT_TIMEOUT: Duration = Duration::from_secs(60);
/// After another node has acted as holder, a former holder must not act again within this time, in milliseconds.
const REACQUIRE_PAUSE_MS: u64 = 3_000;

/// How the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behavior {
    /// Accepts reports.
    #[default]
    Accepts,
    /// Rejects every report with this status.
    Rejects(u16),
    /// Accepts the report, but the answer is lost.
    AnswersLost,
    /// Accepts the report after this many milliseconds, even if the caller has stopped waiting.
    Slow(u64),
}

type Counts = BTreeMap<Tenant, u64>;

/// State of the platform.
#[derive(Default)]
struct PlatformState {
    behavior: Behavior,
    /// Whether a fencing token below an earlier one is refused.
    checks_fencing_tokens: bool,
    /// The counts accepted first for each window, and when.
    accepted: BTreeMap<u64, (Counts, u64)>,
    /// The highest fencing token seen.
    fencing_token: u64,
    /// The holder that used each fencing token.
    holders: BTreeMap<u64, String>,
    /// When each holder acted.
    acts: Vec<(u64, String)>,
    /// Violations of the rules.
    violations: Vec<String>,
    /// Calls received.
    calls: usize,
}

/// The simulated platform.
#[derive(Default)]
pub struct Platform(Mutex<PlatformState>);

impl PlatformState {
    /// Accepts a report, and records each rule that it violates.
    fn accept(
        &mut self,
        holder: &str,
        fencing_token: u64,
        window: u64,
        counts: Counts,
        now: u64,
    ) -> StatusCode {
        let known = self.holders.entry(fencing_token).or_insert_with(|| holder.to_string());
        if known != holder {
            self.violations.push(format!("{known} and {holder} send fencing token {fencing_token}"));
        }
        if self.checks_fencing_tokens && fencing_token < self.fencing_token {
            return StatusCode::CONFLICT;
        }
        self.fencing_token = self.fencing_token.max(fencing_token);
        self.acts.push((now, holder.to_string()));
        let last_other = self.acts.iter().rposition(|(_, other)| other != holder);
        if let Some(last_other) = last_other
            && let Some((previous, _)) = self.acts[..last_other].iter().rfind(|(_, other)| other == holder)
            && now - previous < REACQUIRE_PAUSE_MS
        {
            self.violations.push(format!("{holder} acted again within {} ms", now - previous));
        }
        let (first, _) = self.accepted.entry(window).or_insert_with(|| (counts.clone(), now));
        if *first != counts {
            self.violations.push(format!("window {window}: {first:?}, then {counts:?} by {holder}"));
        }
        StatusCode::OK
    }
}

impl Platform {
    pub async fn start(simulation: &Arc<Simulation>) -> Arc<Self> {
        let state = PlatformState { checks_fencing_tokens: true, ..PlatformState::default() };
        let platform = Arc::new(Self(Mutex::new(state)));
        let listener = common::runtime::bind(PLATFORM.into()).await.expect("its address");
        let (end, ended) = watch::channel(false);
        let server = platform.clone();
        simulation.host(std::net::IpAddr::from(PLATFORM.0)).spawn(async move {
            let handler = move |_, request| server.clone().answer(request);
            http::serve(listener, Arc::default(), Arc::default(), ended, handler).await;
            drop(end);
        });
        platform
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<http::RequestBody>,
    ) -> Result<hyper::Response<http::Body>, http::BoxError> {
        let header = |name: &str| request.headers()[name].to_str().expect("text").to_string();
        let (holder, fencing_token) = (header("x-holder"), header("x-fence").parse().expect("a number"));
        let body = request.into_body().read(MAX_REPORT_BYTES, REPORT_TIMEOUT).await?;
        let body = String::from_utf8(body.to_vec())?;
        let (window, counts) = body.split_once(' ').expect("a window and its counts");
        let pairs = counts.split(' ').filter_map(|pair| pair.split_once('='));
        let counts: Counts =
            pairs.map(|(tenant, count)| (Tenant::new(tenant), count.parse().expect("a count"))).collect();
        let window = window.parse().expect("a number");
        let behavior = {
            let mut state = lock(&self.0);
            state.calls += 1;
            state.behavior
        };
        match behavior {
            Behavior::Rejects(status) => return Ok(text(StatusCode::from_u16(status)?, "")),
            Behavior::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            Behavior::Accepts | Behavior::AnswersLost => {}
        }
        let now = common::clock::time_of_day_ms();
        let status = lock(&self.0).accept(&holder, fencing_token, window, counts, now);
        if behavior == Behavior::AnswersLost {
            sleep(Duration::from_secs(60)).await;
        }
        Ok(text(status, ""))
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        lock(&self.0).behavior = behavior;
    }

    /// The counts that were accepted for a window, and when.
    pub fn accepted(&self, window: u64) -> Option<(Counts, u64)> {
        lock(&self.0).accepted.get(&window).cloned()
    }

    pub fn calls(&self) -> usize {
        lock(&self.0).calls
    }

    pub fn violations(&self) -> Vec<String> {
        lock(&self.0).violations.clone()
    }

    pub fn checks_fencing_tokens(&self, checks: bool) {
        lock(&self.0).checks_fencing_tokens = checks;
    }
}
