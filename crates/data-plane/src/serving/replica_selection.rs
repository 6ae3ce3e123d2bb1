//! Selection of the replica for one attempt (design 9.5): the regions in their order, and in each the best of the
//! replicas that may take the request now.

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

/// Share of a replica's connections that all routers together use.
const CONNECTIONS_USED: (usize, usize) = (9, 10);
/// Connections that each router may use, however many routers there are.
const MIN_CONNECTIONS: usize = 2;

/// What may be selected for one attempt, besides the order of preference.
struct Selection<'a> {
    serving: &'a Serving,
    plan: &'a Plan,
    history: &'a AttemptHistory,
    now: Tick,
    routers: Vec<NodeId>,
    /// The replicas as they were when the selection began: all of it goes by this one view.
    replicas: Arc<ReplicaView>,
    /// Most requests that this router may have open at a replica.
    max_open: usize,
    /// Requests a second that all routers together may send to a replica that warms up.
    warm_up_rate: f64,
}

impl<'a> Selection<'a> {
    fn new(serving: &'a Serving, plan: &'a Plan, history: &'a AttemptHistory) -> Self {
        let routers = serving.routers();
        let (used, of) = CONNECTIONS_USED;
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

    /// This router's part of the rate at which a replica that warms up may be sent requests.
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

    fn is_at_home(&self, replica: &Candidate) -> bool {
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
    /// Selects a replica among those that may take the request now, and counts it as tried.
    pub fn select_replica(
        self: &Arc<Self>,
        plan: &Plan,
        history: &mut AttemptHistory,
    ) -> Result<Candidate, &'static str> {
        let selection = Selection::new(self, plan, history);
        let reading = lock(&self.router.reading);
        let context = selection.context(&reading);
        let healthy = self.best_healthy(&selection, &context);
        let best = healthy.or_else(|| self.best_doubtful(&selection, &context));
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

    /// The best replica of the first region that can begin the request in time.
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

    /// The best of the replicas that may be unhealthy: better a doubtful one than none.
    fn best_doubtful(&self, selection: &Selection<'_>, context: &ChoiceContext<'_>) -> Option<Candidate> {
        let doubtful = |replica: &&Candidate| {
            selection.is_at_home(replica)
                && selection.is_available(replica)
                && selection.has_room(replica)
                && !selection.is_healthy(replica)
        };
        let candidates: Vec<&Candidate> =
            selection.replicas.replicas_of(&selection.plan.service).iter().filter(doubtful).collect();
        replica_choice::choose_replica(&candidates, context).cloned()
    }
}
