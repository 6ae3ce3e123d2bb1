//! What the holder has to do for each window, as a state machine without I/O (design 9.10). The counts of a window
//! are decided once and never change. They are copied to other routers, and then sent until the platform has accepted
//! them or the report's deadline has passed. A window that a former holder may have reported is sent only as that
//! holder decided it, or not at all.

use super::{
    UsageDuty,
    clock::MedianClock,
    decisions::UsageReport,
    pacing::{Call, CallOutcome, CallPacing},
    tenure::{HandoverSpans, Tenure, TenureWatch},
};
use common::{FencingToken, Tick, mutation, settings::Timing};
use std::{collections::BTreeMap, sync::Arc};

/// Time from a window's end until its starts are counted, since some are recorded late.
const SETTLE_MS: u64 = 300;

/// How far the report on a window has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its counts are decided.
    Decided,
    /// Enough other routers store them.
    Copied,
    /// The platform has accepted them.
    Accepted,
    /// Nothing more is sent for this window.
    Abandoned,
}

/// A window whose counts are decided.
#[derive(Debug)]
struct Entry {
    report: Arc<UsageReport>,
    stage: Stage,
}

/// The windows that the holder has to report.
#[derive(Debug)]
pub struct HolderPlan {
    duty: UsageDuty,
    /// Safety margins between tenures of different holders.
    pub spans: HandoverSpans,
    watch: TenureWatch,
    /// The first window that no earlier tenure of any node can have decided; `None` until former decisions are
    /// collected.
    first_own_window: Option<u64>,
    entries: BTreeMap<u64, Entry>,
    pacing: CallPacing,
}

impl HolderPlan {
    /// The plan of a node that doesn't hold the duty yet.
    pub fn new(duty: UsageDuty, timing: &Timing) -> Self {
        let spans = HandoverSpans::of(&duty, timing);
        let pacing = CallPacing::new(duty.calls_per_s);
        let (watch, entries) = (TenureWatch::default(), BTreeMap::new());
        Self { duty, spans, watch, first_own_window: None, entries, pacing }
    }

    /// Observes whether this node holds the duty. A new tenure starts without the knowledge of earlier ones.
    pub fn observe(&mut self, held: Option<FencingToken>, now: Tick) -> Option<Tenure> {
        let before = self.watch.current().map(|tenure| tenure.number);
        let tenure = self.watch.observe(held, self.spans.max_unwatched_ms, now);
        if tenure.map(|tenure| tenure.number) != before {
            (self.first_own_window, self.entries) = (None, BTreeMap::new());
            self.pacing.reset_pause();
        }
        tenure
    }

    fn is_current(&self, tenure: u64) -> bool {
        self.watch.current().is_some_and(|current| current.number == tenure)
    }

    /// Whether the decisions of former holders are still to be collected.
    pub fn needs_collection(&self) -> bool {
        self.first_own_window.is_none()
    }

    /// Records what former holders decided, as other routers store it, and from which window on this tenure decides.
    pub fn record_collected(&mut self, tenure: &Tenure, reports: Vec<UsageReport>, clock: &MedianClock) {
        if !self.is_current(tenure.number) {
            return;
        }
        let undecided_ms = self.spans.undecided_ms + 2 * clock.error_ms();
        let undecided_ms = if mutation::enabled("usage-no-margin") { 0 } else { undecided_ms };
        // The first own window is the first one that ends at that time or later.
        let safe_end = clock.time_of_day(tenure.began) + undecided_ms;
        self.first_own_window = Some(safe_end.div_ceil(self.duty.window_ms).max(1) - 1);
        let time = clock.time_of_day(tenure.began);
        let not_due = reports.into_iter().filter(|report| time < self.due_ms(report.window));
        for report in not_due.map(Arc::new).collect::<Vec<_>>() {
            let entry = || Entry { report: report.clone(), stage: Stage::Decided };
            let known = self.entries.entry(report.window).or_insert_with(entry);
            if known.report != report {
                known.stage = Stage::Abandoned;
            }
        }
    }

    /// The time of day at which a window ends, in milliseconds.
    pub fn end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.duty.window_ms
    }

    /// The time of day at which its report is due, in milliseconds.
    fn due_ms(&self, window: u64) -> u64 {
        self.end_ms(window) + self.duty.delay_ms
    }

    /// The oldest window that this holder has to count now.
    pub fn next_to_count(&self, clock: &MedianClock, now: Tick) -> Option<u64> {
        let (first_own_window, time) = (self.first_own_window?, clock.time_of_day(now));
        let newest = (time.saturating_sub(SETTLE_MS) / self.duty.window_ms).checked_sub(1)?;
        let oldest = (time.saturating_sub(self.duty.delay_ms) / self.duty.window_ms).max(1) - 1;
        (first_own_window.max(oldest)..=newest)
            .find(|window| !self.entries.contains_key(window) && time < self.due_ms(*window))
    }

    /// Until when routers that don't answer are asked again: half of the time until the report is due.
    pub fn ask_until_ms(&self, window: u64) -> u64 {
        self.end_ms(window) + self.duty.delay_ms / 2
    }

    /// Decides a window's counts. Returns whether they were accepted; afterwards they never change.
    pub fn decide(&mut self, tenure: u64, report: UsageReport, clock: &MedianClock, now: Tick) -> bool {
        let has_ended = self.end_ms(report.window) <= clock.time_of_day(now);
        let is_own = self.first_own_window.is_some_and(|first| report.window >= first);
        let is_undecided =
            !self.entries.contains_key(&report.window) || mutation::enabled("usage-decided-again");
        if !(self.is_current(tenure) && is_own && has_ended && is_undecided) {
            return false;
        }
        let entry = Entry { report: Arc::new(report), stage: Stage::Decided };
        self.entries.insert(entry.report.window, entry);
        true
    }

    /// A decision that is still to be copied to other routers.
    pub fn next_to_copy(&self) -> Option<Arc<UsageReport>> {
        let is_uncopied = |entry: &&Entry| entry.stage == Stage::Decided;
        self.entries.values().find(is_uncopied).map(|entry| entry.report.clone())
    }

    /// Records that enough other routers store a decision, or, if not `agreed`, that one of them stores a different
    /// one.
    pub fn record_copied(&mut self, tenure: u64, window: u64, agreed: bool) {
        if self.is_current(tenure)
            && let Some(entry) = self.entries.get_mut(&window).filter(|entry| entry.stage == Stage::Decided)
        {
            entry.stage = if agreed { Stage::Copied } else { Stage::Abandoned };
        }
    }

    /// The call that is to be made now.
    pub fn next_call(&self, clock: &MedianClock, now: Tick) -> Option<Call> {
        let tenure = self.watch.current()?;
        let in_quiet_period =
            now.since(tenure.began) < self.spans.quiet_ms && !mutation::enabled("usage-acts-at-once");
        if in_quiet_period || !self.pacing.may_call(tenure.fencing_token, now) {
            return None;
        }
        let time = clock.time_of_day(now);
        let is_ready = |(window, entry): &(&u64, &Entry)| {
            let copied = entry.stage == Stage::Copied
                || (entry.stage == Stage::Decided && mutation::enabled("usage-sent-uncopied"));
            copied && time < self.due_ms(**window)
        };
        let (_, entry) = self.entries.iter().find(is_ready)?;
        let (tenure, fencing_token) = (tenure.number, tenure.fencing_token);
        Some(Call { tenure, fencing_token, report: entry.report.clone() })
    }

    /// Final check before the bytes of a call are sent: whether the tenure is still the one that the call belongs to.
    pub fn may_send(&mut self, call: &Call, held: Option<FencingToken>, now: Tick) -> bool {
        let tenure = self.observe(held, now);
        let is_same =
            |tenure: Tenure| (tenure.number, tenure.fencing_token) == (call.tenure, call.fencing_token);
        tenure.is_some_and(is_same) || mutation::enabled("usage-no-last-look")
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, call: &Call, outcome: CallOutcome, now: Tick) {
        self.pacing.record_outcome(call.fencing_token, outcome, now);
        if let Some(entry) =
            self.entries.get_mut(&call.report.window).filter(|entry| entry.report == call.report)
        {
            match outcome {
                CallOutcome::Accepted => entry.stage = Stage::Accepted,
                CallOutcome::Refused => entry.stage = Stage::Abandoned,
                CallOutcome::Superseded | CallOutcome::Unknown => {}
            }
        }
    }

    /// Drops the windows whose reports were due by now, and returns those that were not reported, each with the reason.
    pub fn drop_expired(&mut self, clock: &MedianClock, now: Tick) -> Vec<(u64, &'static str)> {
        let Some(first_own_window) = self.first_own_window else { return Vec::new() };
        let time = clock.time_of_day(now);
        let first = self.entries.keys().next().map_or(first_own_window, |first| first_own_window.min(*first));
        let (mut missed, mut window) = (Vec::new(), first);
        while time >= self.due_ms(window) {
            let is_own = window >= first_own_window;
            match self.entries.remove(&window).map(|entry| entry.stage) {
                Some(Stage::Abandoned) => missed.push((window, "abandoned")),
                // A former holder that decided a collected window may also have reported it.
                Some(Stage::Accepted) => {}
                _ if !is_own => {}
                Some(Stage::Decided) => missed.push((window, "not copied in time")),
                Some(Stage::Copied) => missed.push((window, "not accepted in time")),
                None => missed.push((window, "not counted in time")),
            }
            // Not decided again, even if the time of day is corrected backwards later.
            window += 1;
            self.first_own_window = self.first_own_window.max(Some(window));
        }
        missed
    }
}
