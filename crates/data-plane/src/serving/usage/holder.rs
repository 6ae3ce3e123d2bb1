//! The tasks of the holder of the usage duty (design 9.10): one counts windows and has the counts copied to other
//! routers, the other reports them to the platform.

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

/// Interval at which the tasks check whether there is something to do.
const POLL_INTERVAL_MS: u64 = 100;

/// A router that holds the usage duty, or may come to hold it.
pub struct UsageHolder {
    pub(super) serving: Arc<Serving>,
    pub(super) duty: UsageDuty,
    pub(super) plan: Mutex<HolderPlan>,
    /// The time of day by the clocks of most routers, as of the last exchange with them.
    clock: Mutex<Option<MedianClock>>,
}

impl Serving {
    /// Starts the tasks that report usage whenever this node holds the duty, if the platform has this duty.
    pub fn spawn_usage_tasks(self: &Arc<Self>) {
        let Some(duty) = self.site.usage_duty.clone() else { return };
        let plan = Mutex::new(HolderPlan::new(duty.clone(), &self.router.settings.timing));
        let holder = Arc::new(UsageHolder { serving: self.clone(), duty, plan, clock: Mutex::default() });
        spawn(holder.clone().run_counting());
        spawn(holder.run_reporting());
    }
}

impl UsageHolder {
    /// The fencing token under which this node holds the duty now. It needs a valid lease and a copy of the cluster
    /// state that isn't known to be outdated.
    pub(super) fn held_token(&self) -> Option<FencingToken> {
        let router = &self.serving.router;
        let member = &router.member;
        let is_fit = member.has_lease() && member.caught_up() && !member.lags();
        let is_fit = is_fit || common::mutation::enabled("usage-without-lease");
        let draining = router.draining.load(Ordering::Acquire);
        let role = holder_of(&router.cluster_state(), ROLE, None)?;
        let is_own = role.holder.info == member.info && role.holder.epoch == member.lease().epoch;
        (is_fit && !draining && is_own).then_some(role.fencing_token)
    }

    fn observe_tenure(&self) -> Option<Tenure> {
        let mut plan = lock(&self.plan);
        let held_token = self.held_token();
        plan.observe(held_token, self.serving.now())
    }

    /// Waits until this node holds the duty.
    async fn wait_until_held(&self) -> Tenure {
        loop {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            if let Some(tenure) = self.observe_tenure() {
                return tenure;
            }
        }
    }

    async fn run_counting(self: Arc<Self>) {
        loop {
            let tenure = self.wait_until_held().await;
            if lock(&self.plan).needs_collection() {
                self.collect_decisions(&tenure).await;
                continue;
            }
            let Some(clock) = *lock(&self.clock) else { continue };
            self.record_skipped(&clock);
            let due = lock(&self.plan).next_to_count(&clock, self.serving.now());
            if let Some(window) = due {
                self.count(&tenure, window, clock).await;
            }
            let uncopied = lock(&self.plan).next_to_copy();
            if let Some(report) = uncopied {
                let copies = self.duty.copies();
                if let Some(agreed) = self.serving.router.copy_usage(&tenure, &report, copies).await {
                    lock(&self.plan).record_copied(tenure.number, report.window, agreed);
                }
            }
        }
    }

    /// Starts a tenure: collects what former holders decided.
    async fn collect_decisions(&self, tenure: &Tenure) {
        let Some(collected) = self.serving.router.collect_usage(tenure).await else { return };
        *lock(&self.clock) = Some(collected.clock);
        log_event!(Info, "usage holder", "epoch" => tenure.fencing_token, "found" => collected.reports.len());
        lock(&self.plan).record_collected(tenure, collected.reports, &collected.clock);
    }

    async fn count(&self, tenure: &Tenure, window: u64, clock: MedianClock) {
        let router = &self.serving.router;
        let Some((report, clock)) = router.count_usage(&self.plan, window, clock).await else { return };
        *lock(&self.clock) = Some(clock);
        if self.observe_tenure().is_none() {
            return;
        }
        let decided = lock(&self.plan).decide(tenure.number, report.clone(), &clock, self.serving.now());
        if decided {
            let total: u64 = report.counts.values().sum();
            log_event!(Info, "usage decided", "window" => window, "tenants" => report.counts.len(), "starts" => total);
            // If this node is the next holder too, it finds its decision here.
            let _ = lock(&router.usage.decisions).keep(tenure.fencing_token, &report);
        }
    }

    fn record_skipped(&self, clock: &MedianClock) {
        for (window, reason) in lock(&self.plan).drop_expired(clock, self.serving.now()) {
            self.serving.router.counters.usage_windows_skipped.with_label_values(&[reason]).inc();
            log_event!(Info, "usage skipped", "window" => window, "cause" => reason);
        }
    }

    async fn run_reporting(self: Arc<Self>) {
        loop {
            self.wait_until_held().await;
            let Some(clock) = *lock(&self.clock) else { continue };
            let call = lock(&self.plan).next_call(&clock, self.serving.now());
            let Some(call) = call else { continue };
            let Some(result) = self.report(&call).await else { continue };
            let outcome = result.as_ref().map_or(CallOutcome::Unknown, |status| call_outcome(*status));
            lock(&self.plan).record_outcome(&call, outcome, self.serving.now());
            self.serving.router.counters.usage_reports.with_label_values(&[outcome.name()]).inc();
            let answer = result.map_or_else(|error| error.cause(), |status| status.to_string());
            log_event!(Info, "usage report", "window" => call.report.window, "epoch" => call.fencing_token, "outcome" => outcome.name(), "answer" => answer);
        }
    }
}
