//! Which routes send long prompts (design 9.5), learned from what comes. Pure.

use super::replica_choice::PREFILL_TOKENS_PER_MS;
use common::Tick;
use configuration::Route;
use std::{collections::HashMap, sync::Arc};

/// A prompt is long where reading it takes this part of a pause that streams may make.
const LONG_PART: f64 = 1.0 / 8.0;
/// What a new prompt weighs in its route's mean.
const NEW: f64 = 0.02;
/// A route that sent nothing for so long is forgotten.
const FORGOTTEN_MS: u64 = 600_000;

#[derive(Debug)]
struct SeenRoute {
    route: Arc<Route>,
    mean_tokens: f64,
    at: Tick,
}

impl SeenRoute {
    fn is_long(&self) -> bool {
        let pause = self.route.max_event_gap_ms.unwrap_or(self.route.latency_target_ms) as f64;
        self.mean_tokens / PREFILL_TOKENS_PER_MS > pause * LONG_PART
    }
}

/// The mean length of each route's prompts, by the route's name.
#[derive(Debug, Default)]
pub struct PromptLengths(HashMap<String, SeenRoute>);

impl PromptLengths {
    /// Notes a request, and says whether its route's prompts are long.
    pub fn note(&mut self, route: &Arc<Route>, tokens_in: u32, now: Tick) -> bool {
        let tokens = f64::from(tokens_in);
        if !self.0.contains_key(&route.name) {
            self.0.retain(|_, seen| now.since(seen.at) < FORGOTTEN_MS);
        }
        let new = || SeenRoute { route: route.clone(), mean_tokens: tokens, at: now };
        let seen = self.0.entry(route.name.clone()).or_insert_with(new);
        (seen.route, seen.at) = (route.clone(), now);
        seen.mean_tokens += (tokens - seen.mean_tokens) * NEW;
        seen.is_long()
    }
}
