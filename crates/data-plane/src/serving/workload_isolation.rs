//! Which routes send long prompts (design 9.5), learned from what comes; and where both kinds meet, so
//! that they are kept apart. Pure.

use super::replica_choice::READS_PER_MS;
use common::{Region, Service, Tick};
use configuration::Route;
use std::{collections::HashMap, sync::Arc};

/// A prompt is long where reading it takes this part of a pause that streams may make.
const LONG_PART: f64 = 1.0 / 8.0;
/// What a new prompt weighs in its route's mean.
const NEW: f64 = 0.02;
/// A route that sent nothing for so long counts no more.
const LATELY_MS: u64 = 10_000;

#[derive(Debug)]
struct Seen {
    route: Arc<Route>,
    tokens: f64,
    at: Tick,
}

impl Seen {
    fn long(&self) -> bool {
        let pause = self.route.max_event_gap_ms.unwrap_or(self.route.latency_target_ms) as f64;
        self.tokens / READS_PER_MS > pause * LONG_PART
    }

    fn may_use(&self, service: &Service, region: &Region) -> bool {
        let homes = &self.route.homes;
        self.route.shares.iter().any(|s| s.0 == *service && s.1 > 0)
            && (homes.is_empty() || homes.contains(region))
    }
}

/// Each route's prompts, by its name.
#[derive(Debug, Default)]
pub struct WorkloadIsolation(HashMap<String, Seen>);

impl WorkloadIsolation {
    /// Notes a request, and says whether its route's prompts are long.
    pub fn long(&mut self, route: &Arc<Route>, tokens_in: u32, now: Tick) -> bool {
        let t = f64::from(tokens_in);
        let new = || Seen { route: route.clone(), tokens: t, at: now };
        let seen = self.0.entry(route.name.clone()).or_insert_with(new);
        (seen.route, seen.at) = (route.clone(), now);
        seen.tokens += (t - seen.tokens) * NEW;
        seen.long()
    }

    /// Whether long and short prompts both go to a service in a region.
    pub fn meet(&self, service: &Service, region: &Region, now: Tick) -> bool {
        let there = |s: &&Seen| now.since(s.at) < LATELY_MS && s.may_use(service, region);
        let kinds = self.0.values().filter(there).map(Seen::long);
        let (long, short) = kinds.fold((false, false), |(l, s), long| (l || long, s || !long));
        long && short
    }
}
