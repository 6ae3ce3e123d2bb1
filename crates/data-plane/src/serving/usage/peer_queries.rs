//! Requests of the holder to the other routers: which requests started, which decisions they store, and to store one.

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

/// Name of the singleton role whose holder reports usage.
pub const ROLE: &str = "usage";
/// Pause before a router that did not answer is asked again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 300;
/// How many times a router that does not answer is asked for the decisions that it stores.
const COLLECT_ROUNDS: usize = 3;
/// If the time of day turns out to be wrong by more than the window length divided by this, all routers are asked
/// again.
const CLOCK_TOLERANCE_DIVISOR: u64 = 100;
/// How many times all routers are asked again for that reason.
const MAX_CLOCK_CORRECTIONS: usize = 3;

/// The counts of each router that answered, with the offset of its clock.
type CountsByRouter = BTreeMap<NodeId, (i64, BTreeMap<Tenant, u64>)>;

/// Decisions of former holders, and the time of day.
pub struct Collected {
    /// The decisions of all routers that answered; there may be several for one window.
    pub reports: Vec<UsageReport>,
    /// The time of day by the clocks of all that answered.
    pub clock: MedianClock,
}

impl Router {
    /// The routers by their rank in the singleton role; the first one is its holder.
    fn ranked_routers(&self) -> Vec<Member> {
        singleton::ranked_holders(&self.cluster_state(), ROLE, None)
    }

    /// Sends a request to a router, or answers it if that is this one. The returned time is the middle of the
    /// call, as an estimate of when the router answered.
    async fn ask_usage(&self, member: &Member, request: UsageRequest) -> Option<(UsageResponse, Tick)> {
        if member.info.node == *self.node() {
            return Some((self.usage.answer(request, self.now()), self.now()));
        }
        let asked = self.now();
        let request = RouterRequest::Usage(request);
        match self.rpc_client.call("usage", member.info.rpc_addr, request).await {
            Ok(RouterResponse::Usage(answer)) => Some((answer, asked + self.now().since(asked) / 2)),
            _ => None,
        }
    }

    /// Collects the decisions that the routers store, and reads their clocks. Routers that do not answer are asked a few
    /// times; `None` if most did not answer.
    pub(super) async fn collect_usage(&self, tenure: &Tenure) -> Option<Collected> {
        let (mut clocks, mut reports) = (BTreeMap::new(), Vec::new());
        let mut routers = self.ranked_routers();
        for round in 0..COLLECT_ROUNDS {
            if round > 0 {
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                routers = self.ranked_routers();
            }
            let pending = routers.iter().filter(|member| !clocks.contains_key(&member.info.node));
            let calls = pending.map(|member| async {
                let request = UsageRequest::Collect { fencing_token: tenure.fencing_token };
                (member.info.node.clone(), self.ask_usage(member, request).await)
            });
            for (node, answer) in futures::future::join_all(calls).await {
                if let Some((UsageResponse::Collected { time_of_day_ms, reports: stored }, at)) = answer {
                    clocks.insert(node, clock_offset(time_of_day_ms, at));
                    reports.extend(stored);
                }
            }
            if clocks.len() == routers.len() {
                break;
            }
        }
        let clock = MedianClock::of(clocks.into_values().collect(), routers.len())?;
        Some(Collected { reports, clock })
    }

    /// Asks the routers that have not answered yet how many requests started in a window.
    async fn count_once(
        &self,
        (from, until): (Tick, Tick),
        routers: &[Member],
        counted: &mut CountsByRouter,
    ) {
        let pending = routers.iter().filter(|member| !counted.contains_key(&member.info.node));
        let calls = pending.map(|member| async {
            let now = self.now();
            let (from_age_ms, until_age_ms) = (now.since(from), now.since(until));
            let request = UsageRequest::Starts { from_age_ms, until_age_ms };
            (member.info.node.clone(), self.ask_usage(member, request).await)
        });
        for (node, answer) in futures::future::join_all(calls).await {
            if let Some((UsageResponse::Starts { time_of_day_ms, counts }, at)) = answer {
                counted.insert(node, (clock_offset(time_of_day_ms, at), counts));
            }
        }
    }

    /// Counts the requests that started in a window at all routers, by the time of day that most of them agree on.
    /// Routers that don't answer are asked again while there is time; `None` if most did not answer.
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
        let (mut counted, mut corrections) = (CountsByRouter::new(), 0);
        loop {
            let routers = self.ranked_routers();
            let span = (clock.tick_at(start_ms), clock.tick_at(end_ms));
            self.count_once(span, &routers, &mut counted).await;
            let offsets = counted.values().map(|(offset, _)| *offset).collect();
            let newer = MedianClock::of(offsets, routers.len());
            if let Some(newer) = newer
                && newer.difference_ms(&clock) > (end_ms - start_ms) / CLOCK_TOLERANCE_DIVISOR
                && corrections < MAX_CLOCK_CORRECTIONS
            {
                (clock, corrections) = (newer, corrections + 1);
                counted.clear();
                continue;
            }
            let all_counted = routers.iter().all(|member| counted.contains_key(&member.info.node));
            if all_counted || clock.time_of_day(self.now()) >= until_ms {
                let mut counts = BTreeMap::new();
                for (tenant, count) in counted.into_values().flat_map(|(_, counts)| counts) {
                    *counts.entry(tenant).or_default() += count;
                }
                return newer.map(|clock| (UsageReport { window, counts }, clock));
            }
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }

    /// Hands a decision to other routers by rank until enough store it, among them one of another zone if there is one,
    /// and returns `Some(true)`. `Some(false)`: a router stores a different decision. `None`: too few routers stored it.
    pub(super) async fn copy_usage(
        &self,
        tenure: &Tenure,
        report: &UsageReport,
        copies: usize,
    ) -> Option<bool> {
        let others: Vec<Member> =
            self.ranked_routers().into_iter().filter(|member| member.info.node != *self.node()).collect();
        let is_elsewhere = |member: &&Member| member.info.zone != *self.zone();
        let needed = copies.min(others.len());
        let mut needs_elsewhere = others.iter().any(|member| is_elsewhere(&member));
        // The highest-ranked router of another zone is asked first.
        let first = others.iter().find(is_elsewhere);
        let rest = others.iter().filter(|member| Some(*member) != first);
        let mut stored = 0;
        for member in first.into_iter().chain(rest) {
            if stored >= needed && !needs_elsewhere {
                break;
            }
            if stored >= needed && !is_elsewhere(&member) {
                continue;
            }
            let (fencing_token, report) = (tenure.fencing_token, report.clone());
            match self.ask_usage(member, UsageRequest::Keep { fencing_token, report }).await {
                Some((UsageResponse::Kept, _)) => {
                    stored += 1;
                    needs_elsewhere &= !is_elsewhere(&member);
                }
                Some((UsageResponse::Differs, _)) => return Some(false),
                _ => {}
            }
        }
        (stored >= needed && !needs_elsewhere).then_some(true)
    }
}
