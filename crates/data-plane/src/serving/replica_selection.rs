//! Selects the replica for one attempt (design 9.5): goes through the regions in order of preference, and takes the
//! best replica of the first region that has one that can take the request now.

use super::{
    dispatch::AttemptHistory,
    plan::Plan,
    prefill::PrefillTracker,
    replica_choice::{self, ChoiceContext, PREFILL_TOKENS_PER_MS},
    replica_view::{Candidate, ReplicaView},
    slow_start,
    state::Serving,
};
use crate::router::lock;
use common::{NodeId, Tick};
use std::sync::{Arc, atomic::Ordering};

/// Share of a replica's connections that all routers together use, as (numerator, denominator).
const CONNECTION_SHARE: (usize, usize) = (9, 10);
/// Connections to a replica that each router may use, however many routers there are.
const MIN_CONNECTIONS: usize = 2;

/// What decides which replicas may be selected for one attempt, apart from the order of preference.
struct Selection<'a> {
    serving: &'a Serving,
    plan: &'a Plan,
    history: &'a AttemptHistory,
    now: Tick,
    routers: Vec<NodeId>,
    /// Snapshot of the replicas, taken when the selection began and used by all of its steps.
    replicas: Arc<ReplicaView>,
    /// The most requests that this router may have open at one replica.
    max_open: usize,
    /// Requests per second that all routers together may send to one replica that warms up.
    warm_up_rate: f64,
}

impl<'a> Selection<'a> {
    fn new(serving: &'a Serving, plan: &'a Plan, history: &'a AttemptHistory) -> Self {
        let routers = serving.routers();
        let (used, of) = CONNECTION_SHARE;
        let connections = plan.backend.max_connections as usize * used / of;
        let bounds = &serving.site.bounds;
        Self {
            serving,
            plan,
            history,
            now: serving.now(),
            replicas: serving.replica_view.load_full(),
            max_open: (connections / routers.len().max(1)).max(MIN_CONNECTIONS),
            warm_up_rate: plan.backend.slow_start_per_s * bounds.cold_overrun + bounds.cold_slack,
            routers,
        }
    }

    /// This router's part of the rate at which a warming replica may be sent requests; `None` if it has no part.
    fn own_warm_up_rate(&self, replica: &Candidate) -> Option<f64> {
        slow_start::send_rate(self.warm_up_rate, &replica.id, self.serving.router.node(), &self.routers)
    }

    fn is_warming_up(&self, replica: &Candidate) -> bool {
        self.serving.is_cold(replica, &self.plan.backend, self.now)
    }

    fn allowed_by_slow_start(&self, replica: &Candidate) -> bool {
        let has_token = || lock(&replica.local.bucket).ready(self.now);
        !self.is_warming_up(replica) || self.own_warm_up_rate(replica).is_some_and(|_| has_token())
    }

    fn is_available(&self, replica: &Candidate) -> bool {
        self.serving.is_usable(replica) && !self.history.tried_replicas.contains(&replica.id)
    }

    fn is_healthy(&self, replica: &Candidate) -> bool {
        replica.healthy && !replica.local.is_avoided(self.now)
    }

    fn has_room(&self, replica: &Candidate) -> bool {
        let open = replica.local.open.load(Ordering::Relaxed).max(0) as usize;
        replica_choice::fits_memory(replica, &self.plan.prompt)
            && self.allowed_by_slow_start(replica)
            && open < self.max_open
    }

    fn is_in_home_region(&self, replica: &Candidate) -> bool {
        self.plan.is_home(&replica.region)
    }

    fn context<'c>(&'c self, reading: &'c PrefillTracker) -> ChoiceContext<'c> {
        let (serving, plan) = (self.serving, self.plan);
        ChoiceContext {
            prompt: &plan.prompt,
            zone: serving.router.zone(),
            region: &serving.site.region,
            affinity: plan.route.affinity,
            long_prompt: plan.long_prompt,
            max_pause_ms: plan.route.max_event_gap_ms.unwrap_or(plan.route.latency_target_ms) as f64,
            reading,
            prefixes: &plan.prefixes,
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            now: self.now,
            service_time_ms: serving.service_time_ms(&plan.service),
            random_unit: common::runtime::random(),
        }
    }
}

impl Serving {
    /// Selects a replica among those that can take the request now, and records it in `history` as tried.
    ///
    /// # Errors
    /// The reason, if no replica can take the request.
    pub fn select_replica(
        self: &Arc<Self>,
        plan: &Plan,
        history: &mut AttemptHistory,
    ) -> Result<Candidate, &'static str> {
        let selection = Selection::new(self, plan, history);
        let reading = lock(&self.router.prefill_tracker);
        let context = selection.context(&reading);
        let healthy = self.best_healthy(&selection, &context);
        let best = healthy.or_else(|| self.best_unhealthy(&selection, &context));
        let replica = best.ok_or("no room at any replica")?;
        if selection.is_warming_up(&replica) {
            let rate = selection.own_warm_up_rate(&replica).unwrap_or(1.0);
            lock(&replica.local.bucket).take(rate, selection.now);
        }
        drop(reading);
        self.announce_prompt(plan, &replica);
        history.tried_replicas.push(replica.id.clone());
        Ok(replica)
    }

    /// The best healthy replica of the first region that can start the request in time.
    fn best_healthy(
        self: &Arc<Self>,
        selection: &Selection<'_>,
        context: &ChoiceContext<'_>,
    ) -> Option<Candidate> {
        let plan = selection.plan;
        let usable = |replica: &Candidate| selection.is_available(replica) && selection.is_healthy(replica);
        for region in self.ranked_regions(plan, &usable) {
            let here = selection
                .replicas
                .replicas_of(&plan.service)
                .iter()
                .filter(|replica| replica.region == region);
            let candidates: Vec<&Candidate> =
                here.filter(|replica| usable(replica) && selection.has_room(replica)).collect();
            if replica_choice::all_overdue(&candidates, context, plan.route.latency_target_ms as f64) {
                continue;
            }
            if let Some(best) = replica_choice::choose_replica(&candidates, context) {
                return Some(best.clone());
            }
        }
        None
    }

    /// Fallback if no healthy replica is left: the best of the home regions' replicas that look unhealthy. Their state
    /// may be outdated, so an attempt there is better than none.
    fn best_unhealthy(&self, selection: &Selection<'_>, context: &ChoiceContext<'_>) -> Option<Candidate> {
        let is_fallback = |replica: &&Candidate| {
            selection.is_in_home_region(replica)
                && selection.is_available(replica)
                && selection.has_room(replica)
                && !selection.is_healthy(replica)
        };
        let candidates: Vec<&Candidate> =
            selection.replicas.replicas_of(&selection.plan.service).iter().filter(is_fallback).collect();
        replica_choice::choose_replica(&candidates, context).cloned()
    }
}
