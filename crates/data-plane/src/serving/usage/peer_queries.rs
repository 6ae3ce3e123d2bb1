//! The holder's questions to the other routers: what began to run, which decisions they keep, and to keep one.

use super::{
    clock::{MedianClock, clock_offset},
    decisions::UsageReport,
    messages::{UsageRequest, UsageResponse},
    plan::HolderPlan,
    tenure::Tenure,
};
use crate::{
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
};
use common::{NodeId, Tenant, Tick};
use control_plane::{Member, state_machine::singleton};
use std::{collections::BTreeMap, sync::Mutex, time::Duration};

/// Name of the singleton role.
pub const ROLE: &str = "usage";
/// Pause until a router that did not answer is asked again.
const ASK_AGAIN_MS: u64 = 300;
/// Times that routers are asked for the decisions that they keep.
const COLLECT_ROUNDS: usize = 3;
/// Part of a window by which the time of day may turn out to be another one before all are asked again: a hundredth.
const CLOCK_PARTS: u64 = 100;
/// Times that all are asked again for it.
const CLOCK_ROUNDS: usize = 3;

/// Counts by the router that they come from, and its clock.
type Counted = BTreeMap<NodeId, (i64, BTreeMap<Tenant, u64>)>;

/// Decisions that were found, and the time of day.
pub struct Collected {
    /// Those of all that answered; of one window there may be several.
    pub reports: Vec<UsageReport>,
    /// By the clocks of all that answered.
    pub clock: MedianClock,
}

impl Router {
    /// The routers by their rank in the role; the first one is its holder.
    fn usage_ranks(&self) -> Vec<Member> {
        singleton::ranked_holders(&self.cluster_state(), ROLE, None)
    }

    /// Asks a router, or this one itself. The time is the middle of the call.
    async fn ask_usage(&self, member: &Member, question: UsageRequest) -> Option<(UsageResponse, Tick)> {
        if member.info.node == *self.node() {
            return Some((self.usage.answer(question, self.now()), self.now()));
        }
        let asked = self.now();
        let request = RouterRequest::Usage(question);
        match self.rpc_client.call("usage", member.info.rpc_addr, request).await {
            Ok(RouterResponse::Usage(answer)) => Some((answer, asked + self.now().since(asked) / 2)),
            _ => None,
        }
    }

    /// Asks for the decisions that others keep, a few times; `None` without the clocks of most routers.
    pub(super) async fn collect_usage(&self, tenure: &Tenure) -> Option<Collected> {
        let (mut clocks, mut reports) = (BTreeMap::new(), Vec::new());
        let mut ranks = self.usage_ranks();
        for round in 0..COLLECT_ROUNDS {
            if round > 0 {
                tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS)).await;
                ranks = self.usage_ranks();
            }
            let open = ranks.iter().filter(|member| !clocks.contains_key(&member.info.node));
            let asked = open.map(|member| async {
                let question = UsageRequest::Collect { fencing_token: tenure.fencing_token };
                (member.info.node.clone(), self.ask_usage(member, question).await)
            });
            for (node, answer) in futures::future::join_all(asked).await {
                if let Some((UsageResponse::Collected { time_of_day_ms, reports: kept }, at)) = answer {
                    clocks.insert(node, clock_offset(time_of_day_ms, at));
                    reports.extend(kept);
                }
            }
            if clocks.len() == ranks.len() {
                break;
            }
        }
        let clock = MedianClock::of(clocks.into_values().collect(), ranks.len())?;
        Some(Collected { reports, clock })
    }

    /// Asks those that have not answered how many requests began in a window.
    async fn count_once(&self, (from, until): (Tick, Tick), ranks: &[Member], counted: &mut Counted) {
        let open = ranks.iter().filter(|member| !counted.contains_key(&member.info.node));
        let asked = open.map(|member| async {
            let now = self.now();
            let (from_age_ms, until_age_ms) = (now.since(from), now.since(until));
            let question = UsageRequest::Starts { from_age_ms, until_age_ms };
            (member.info.node.clone(), self.ask_usage(member, question).await)
        });
        for (node, answer) in futures::future::join_all(asked).await {
            if let Some((UsageResponse::Starts { time_of_day_ms, counts }, at)) = answer {
                counted.insert(node, (clock_offset(time_of_day_ms, at), counts));
            }
        }
    }

    /// Counts what began in a window at all routers, by the time of day as they have it together. Those that don't
    /// answer are asked again until there is no more time for it; `None` where most did not.
    pub(super) async fn count_usage(
        &self,
        plan: &Mutex<HolderPlan>,
        window: u64,
        mut clock: MedianClock,
    ) -> Option<(UsageReport, MedianClock)> {
        let (start_ms, end_ms, until_ms) = {
            let plan = lock(plan);
            (plan.end_ms(window - 1), plan.end_ms(window), plan.ask_until_ms(window))
        };
        let (mut counted, mut corrections) = (Counted::new(), 0);
        loop {
            let ranks = self.usage_ranks();
            let span = (clock.tick_at(start_ms), clock.tick_at(end_ms));
            self.count_once(span, &ranks, &mut counted).await;
            let samples = counted.values().map(|(clock, _)| *clock).collect();
            let newer = MedianClock::of(samples, ranks.len());
            if let Some(newer) = newer
                && newer.difference_ms(&clock) > (end_ms - start_ms) / CLOCK_PARTS
                && corrections < CLOCK_ROUNDS
            {
                (clock, corrections) = (newer, corrections + 1);
                counted.clear();
                continue;
            }
            let all = ranks.iter().all(|member| counted.contains_key(&member.info.node));
            if all || clock.time_of_day(self.now()) >= until_ms {
                let mut counts = BTreeMap::new();
                for (tenant, count) in counted.into_values().flat_map(|(_, counts)| counts) {
                    *counts.entry(tenant).or_default() += count;
                }
                return newer.map(|clock| (UsageReport { window, counts }, clock));
            }
            tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS)).await;
        }
    }

    /// Hands a decision to other routers by their rank until enough keep it, one of them in another zone where there
    /// is one. `None`: not enough do; `Some(false)`: another decision is kept somewhere, or a later holder is known.
    pub(super) async fn copy_usage(
        &self,
        tenure: &Tenure,
        report: &UsageReport,
        copies: usize,
    ) -> Option<bool> {
        let others: Vec<Member> =
            self.usage_ranks().into_iter().filter(|member| member.info.node != *self.node()).collect();
        let elsewhere = |member: &&Member| member.info.zone != *self.zone();
        let needed = copies.min(others.len());
        let mut needs_elsewhere = others.iter().any(|member| elsewhere(&member));
        // The first one of another zone comes first.
        let first = others.iter().find(elsewhere);
        let rest = others.iter().filter(|member| Some(*member) != first);
        let mut kept = 0;
        for member in first.into_iter().chain(rest) {
            if kept >= needed && !needs_elsewhere {
                break;
            }
            if kept >= needed && !elsewhere(&member) {
                continue;
            }
            let (fencing_token, report) = (tenure.fencing_token, report.clone());
            match self.ask_usage(member, UsageRequest::Keep { fencing_token, report }).await {
                Some((UsageResponse::Kept, _)) => {
                    kept += 1;
                    needs_elsewhere &= !elsewhere(&member);
                }
                Some((UsageResponse::Differs, _)) => return Some(false),
                _ => {}
            }
        }
        (kept >= needed && !needs_elsewhere).then_some(true)
    }
}
