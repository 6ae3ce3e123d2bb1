//! The holder's tasks: one counts windows and has the counts copied, the other one reports them (design 9.10).

use super::{
    UsageDuty, call::call_outcome, clock::MedianClock, pacing::CallOutcome, peer_queries::ROLE,
    plan::HolderPlan, tenure::Tenure,
};
use crate::{router::lock, serving::state::Serving};
use common::{FencingToken, log_event, runtime::spawn};
use control_plane::state_machine::singleton::holder_of;
use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

/// Time between two looks at what is to be done.
const LOOK_MS: u64 = 100;

/// A router that holds the duty, or may come to hold it.
pub struct UsageHolder {
    pub(super) serving: Arc<Serving>,
    pub(super) duty: UsageDuty,
    pub(super) plan: Mutex<HolderPlan>,
    /// The time of day as most routers had it last.
    clock: Mutex<Option<MedianClock>>,
}

impl Serving {
    /// Reports usage whenever this node holds that duty, where the platform gives it.
    pub fn spawn_usage_tasks(self: &Arc<Self>) {
        let Some(duty) = self.site.usage_duty.clone() else { return };
        let plan = Mutex::new(HolderPlan::new(duty.clone(), &self.router.settings.timing));
        let holder = Arc::new(UsageHolder { serving: self.clone(), duty, plan, clock: Mutex::default() });
        spawn(holder.clone().keep_counting());
        spawn(holder.keep_reporting());
    }
}

impl UsageHolder {
    /// The fencing token under which this node holds the duty now: with a valid lease, and by a copy of the state that
    /// is not known to be old.
    pub(super) fn held(&self) -> Option<FencingToken> {
        let router = &self.serving.router;
        let member = &router.member;
        let fit = member.has_lease() && member.caught_up() && !member.lags();
        let fit = fit || common::mutation::enabled("usage-without-lease");
        let draining = router.draining.load(Ordering::Acquire);
        let role = holder_of(&router.cluster_state(), ROLE, None)?;
        let own = role.holder.info == member.info && role.holder.epoch == member.lease().epoch;
        (fit && !draining && own).then_some(role.fencing_token)
    }

    fn look(&self) -> Option<Tenure> {
        let mut plan = lock(&self.plan);
        let held = self.held();
        plan.observe(held, self.serving.now())
    }

    /// Waits for a moment at which this node holds the duty.
    async fn next_look(&self) -> Tenure {
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            if let Some(tenure) = self.look() {
                return tenure;
            }
        }
    }

    async fn keep_counting(self: Arc<Self>) {
        loop {
            let tenure = self.next_look().await;
            if lock(&self.plan).needs_collection() {
                self.begin(&tenure).await;
                continue;
            }
            let Some(clock) = *lock(&self.clock) else { continue };
            self.give_up_expired(&clock);
            let due = lock(&self.plan).next_to_count(&clock, self.serving.now());
            if let Some(window) = due {
                self.count(&tenure, window, clock).await;
            }
            let undone = lock(&self.plan).next_to_copy();
            if let Some(report) = undone {
                let copies = self.duty.copies();
                if let Some(agreed) = self.serving.router.copy_usage(&tenure, &report, copies).await {
                    lock(&self.plan).record_copied(tenure.number, report.window, agreed);
                }
            }
        }
    }

    /// The begin of a tenure: what did former holders decide?
    async fn begin(&self, tenure: &Tenure) {
        let Some(found) = self.serving.router.collect_usage(tenure).await else { return };
        *lock(&self.clock) = Some(found.clock);
        log_event!(Info, "usage holder", "epoch" => tenure.fencing_token, "found" => found.reports.len());
        lock(&self.plan).record_collected(tenure, found.reports, &found.clock);
    }

    async fn count(&self, tenure: &Tenure, window: u64, clock: MedianClock) {
        let router = &self.serving.router;
        let Some((report, clock)) = router.count_usage(&self.plan, window, clock).await else { return };
        *lock(&self.clock) = Some(clock);
        if self.look().is_none() {
            return;
        }
        let taken = lock(&self.plan).decide(tenure.number, report.clone(), &clock, self.serving.now());
        if taken {
            let total: u64 = report.counts.values().sum();
            log_event!(Info, "usage decided", "window" => window, "tenants" => report.counts.len(), "starts" => total);
            // It may be asked for it itself, as the next holder.
            let _ = lock(&router.usage.decisions).keep(tenure.fencing_token, &report);
        }
    }

    fn give_up_expired(&self, clock: &MedianClock) {
        for (window, reason) in lock(&self.plan).drop_expired(clock, self.serving.now()) {
            self.serving.router.counters.usage_windows_skipped.with_label_values(&[reason]).inc();
            log_event!(Info, "usage skipped", "window" => window, "cause" => reason);
        }
    }

    async fn keep_reporting(self: Arc<Self>) {
        loop {
            self.next_look().await;
            let Some(clock) = *lock(&self.clock) else { continue };
            let call = lock(&self.plan).next_call(&clock, self.serving.now());
            let Some(call) = call else { continue };
            let Some(result) = self.report(&call).await else { continue };
            let end = result.as_ref().map_or(CallOutcome::Unknown, |status| call_outcome(*status));
            lock(&self.plan).record_outcome(&call, end, self.serving.now());
            self.serving.router.counters.usage_reports.with_label_values(&[end.name()]).inc();
            let answer = result.map_or_else(|error| error.cause(), |status| status.to_string());
            log_event!(Info, "usage report", "window" => call.report.window, "epoch" => call.fencing_token, "outcome" => end.name(), "answer" => answer);
        }
    }
}
