//! What the holder has to do for each window, as a state machine without I/O (design 9.10). A window's counts are fixed
//! once, and never change: they are copied to other routers, and then sent until the platform has taken them or they are
//! due. Windows that a former holder may have reported are sent only as it decided them, or not at all.

use super::{
    UsageDuty,
    clock::MedianClock,
    decisions::UsageReport,
    pacing::{Call, CallOutcome, CallPacing},
    tenure::{HandoverSpans, Tenure, TenureWatch},
};
use common::{FencingToken, Tick, mutation::enabled as broken, settings::Timing};
use std::{collections::BTreeMap, sync::Arc};

/// Time after a window's end until its starts are counted: some are noted late.
const SETTLE_MS: u64 = 300;

/// How far the report of a window has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its counts are fixed.
    Decided,
    /// Enough other routers keep them.
    Copied,
    /// The platform has them.
    Accepted,
    /// Nothing is sent any more.
    Abandoned,
}

#[derive(Debug)]
struct Entry {
    report: Arc<UsageReport>,
    stage: Stage,
}

/// The windows of a holder.
#[derive(Debug)]
pub struct HolderPlan {
    duty: UsageDuty,
    /// Spans that keep holders apart.
    pub spans: HandoverSpans,
    watch: TenureWatch,
    /// Of the current tenure.
    own_from: Option<u64>,
    entries: BTreeMap<u64, Entry>,
    pacing: CallPacing,
}

impl HolderPlan {
    /// A node that doesn't hold the duty yet.
    pub fn new(duty: UsageDuty, timing: &Timing) -> Self {
        let spans = HandoverSpans::of(&duty, timing);
        let pacing = CallPacing::new(duty.calls_per_s);
        let (watch, entries) = (TenureWatch::default(), BTreeMap::new());
        Self { duty, spans, watch, own_from: None, entries, pacing }
    }

    /// Takes a look at who holds the duty. A new tenure knows nothing of earlier ones.
    pub fn observe(&mut self, held: Option<FencingToken>, now: Tick) -> Option<Tenure> {
        let before = self.watch.current().map(|tenure| tenure.number);
        let tenure = self.watch.observe(held, self.spans.max_unwatched_ms, now);
        if tenure.map(|tenure| tenure.number) != before {
            (self.own_from, self.entries) = (None, BTreeMap::new());
            self.pacing.reset_pause();
        }
        tenure
    }

    fn is_current(&self, tenure: u64) -> bool {
        self.watch.current().is_some_and(|current| current.number == tenure)
    }

    /// Whether decisions of former holders are still to be collected.
    pub fn needs_collection(&self) -> bool {
        self.own_from.is_none()
    }

    /// What former holders decided, as others keep it, and the time of day.
    pub fn record_collected(&mut self, tenure: &Tenure, found: Vec<UsageReport>, clock: &MedianClock) {
        if !self.is_current(tenure.number) {
            return;
        }
        let undecided_ms = self.spans.undecided_ms + 2 * clock.error_ms();
        let undecided_ms = if broken("usage-no-margin") { 0 } else { undecided_ms };
        // The first window that ends at that time or later.
        let safe_end = clock.time_of_day(tenure.began) + undecided_ms;
        self.own_from = Some(safe_end.div_ceil(self.duty.window_ms).max(1) - 1);
        let time = clock.time_of_day(tenure.began);
        let undue = found.into_iter().filter(|report| time < self.due_ms(report.window));
        for report in undue.map(Arc::new).collect::<Vec<_>>() {
            let entry = || Entry { report: report.clone(), stage: Stage::Decided };
            let known = self.entries.entry(report.window).or_insert_with(entry);
            if known.report != report {
                known.stage = Stage::Abandoned;
            }
        }
    }

    /// When a window ends, by the time of day.
    pub fn end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.duty.window_ms
    }

    /// When its report is due.
    fn due_ms(&self, window: u64) -> u64 {
        self.end_ms(window) + self.duty.delay_ms
    }

    /// The oldest window that this holder has to count now.
    pub fn next_to_count(&self, clock: &MedianClock, now: Tick) -> Option<u64> {
        let (own_from, time) = (self.own_from?, clock.time_of_day(now));
        let newest = (time.saturating_sub(SETTLE_MS) / self.duty.window_ms).checked_sub(1)?;
        let oldest = (time.saturating_sub(self.duty.delay_ms) / self.duty.window_ms).max(1) - 1;
        (own_from.max(oldest)..=newest)
            .find(|window| !self.entries.contains_key(window) && time < self.due_ms(*window))
    }

    /// Until when routers that don't answer are asked again: half of the time until the report is due.
    pub fn ask_until_ms(&self, window: u64) -> u64 {
        self.end_ms(window) + self.duty.delay_ms / 2
    }

    /// Fixes a window's counts, for good. Whether they were taken.
    pub fn decide(&mut self, tenure: u64, report: UsageReport, clock: &MedianClock, now: Tick) -> bool {
        let ended = self.end_ms(report.window) <= clock.time_of_day(now);
        let own = self.own_from.is_some_and(|first| report.window >= first);
        let fresh = !self.entries.contains_key(&report.window) || broken("usage-decided-again");
        if !(self.is_current(tenure) && own && ended && fresh) {
            return false;
        }
        let entry = Entry { report: Arc::new(report), stage: Stage::Decided };
        self.entries.insert(entry.report.window, entry);
        true
    }

    /// A decision that is still to be copied to other routers.
    pub fn next_to_copy(&self) -> Option<Arc<UsageReport>> {
        let decided = |entry: &&Entry| entry.stage == Stage::Decided;
        self.entries.values().find(decided).map(|entry| entry.report.clone())
    }

    /// Enough others keep a decision, or one of them keeps another one.
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
        let quiet = now.since(tenure.began) < self.spans.quiet_ms && !broken("usage-acts-at-once");
        if quiet || !self.pacing.may_call(tenure.fencing_token, now) {
            return None;
        }
        let time = clock.time_of_day(now);
        let ready = |(window, entry): &(&u64, &Entry)| {
            let copied = entry.stage == Stage::Copied
                || (entry.stage == Stage::Decided && broken("usage-sent-uncopied"));
            copied && time < self.due_ms(**window)
        };
        let (_, entry) = self.entries.iter().find(ready)?;
        let (tenure, fencing_token) = (tenure.number, tenure.fencing_token);
        Some(Call { tenure, fencing_token, report: entry.report.clone() })
    }

    /// The last look before a call's bytes leave.
    pub fn may_send(&mut self, call: &Call, held: Option<FencingToken>, now: Tick) -> bool {
        let tenure = self.observe(held, now);
        let same =
            |tenure: Tenure| (tenure.number, tenure.fencing_token) == (call.tenure, call.fencing_token);
        tenure.is_some_and(same) || broken("usage-no-last-look")
    }

    /// A call has ended.
    pub fn record_outcome(&mut self, call: &Call, end: CallOutcome, now: Tick) {
        self.pacing.record_outcome(call.fencing_token, end, now);
        if let Some(entry) =
            self.entries.get_mut(&call.report.window).filter(|entry| entry.report == call.report)
        {
            match end {
                CallOutcome::Accepted => entry.stage = Stage::Accepted,
                CallOutcome::Refused => entry.stage = Stage::Abandoned,
                CallOutcome::Superseded | CallOutcome::Unknown => {}
            }
        }
    }

    /// Forgets windows whose reports were due, for good, and names those that went without one.
    pub fn drop_expired(&mut self, clock: &MedianClock, now: Tick) -> Vec<(u64, &'static str)> {
        let Some(own_from) = self.own_from else { return Vec::new() };
        let time = clock.time_of_day(now);
        let first = self.entries.keys().next().map_or(own_from, |first| own_from.min(*first));
        let (mut missed, mut window) = (Vec::new(), first);
        while time >= self.due_ms(window) {
            let own = window >= own_from;
            match self.entries.remove(&window).map(|entry| entry.stage) {
                Some(Stage::Abandoned) => missed.push((window, "abandoned")),
                // What was found may have been reported by who decided it.
                Some(Stage::Accepted) => {}
                _ if !own => {}
                Some(Stage::Decided) => missed.push((window, "not copied in time")),
                Some(Stage::Copied) => missed.push((window, "not accepted in time")),
                None => missed.push((window, "not counted in time")),
            }
            // Whatever the clock says later, it is not decided anew.
            window += 1;
            self.own_from = self.own_from.max(Some(window));
        }
        missed
    }
}
