//! Learns from requests which routes have long prompts (design 9.5). No I/O.

use super::replica_choice::PREFILL_TOKENS_PER_MS;
use common::Tick;
use configuration::Route;
use std::{collections::HashMap, sync::Arc};

/// A prompt is long if processing it takes more than this fraction of the longest allowed pause of a stream.
const LONG_PROMPT_PAUSE_FRACTION: f64 = 1.0 / 8.0;
/// Weight of a new prompt in the moving average of its route.
const NEW_PROMPT_WEIGHT: f64 = 0.02;
/// A route that had no request for this long is forgotten.
const ROUTE_EXPIRY_MS: u64 = 600_000;

#[derive(Debug)]
struct SeenRoute {
    route: Arc<Route>,
    mean_tokens: f64,
    last_request_at: Tick,
}

impl SeenRoute {
    fn is_long(&self) -> bool {
        let pause = self.route.max_event_gap_ms.unwrap_or(self.route.latency_target_ms) as f64;
        self.mean_tokens / PREFILL_TOKENS_PER_MS > pause * LONG_PROMPT_PAUSE_FRACTION
    }
}

/// Moving average of the prompt length of each route, by the route's name.
#[derive(Debug, Default)]
pub struct PromptLengths(HashMap<String, SeenRoute>);

impl PromptLengths {
    /// Adds a request's prompt, and returns whether the prompts of its route are long on average.
    pub fn note(&mut self, route: &Arc<Route>, tokens_in: u32, now: Tick) -> bool {
        let tokens = f64::from(tokens_in);
        if !self.0.contains_key(&route.name) {
            self.0.retain(|_, seen| now.since(seen.last_request_at) < ROUTE_EXPIRY_MS);
        }
        let new = || SeenRoute { route: route.clone(), mean_tokens: tokens, last_request_at: now };
        let seen = self.0.entry(route.name.clone()).or_insert_with(new);
        (seen.route, seen.last_request_at) = (route.clone(), now);
        seen.mean_tokens += (tokens - seen.mean_tokens) * NEW_PROMPT_WEIGHT;
        seen.is_long()
    }
}
