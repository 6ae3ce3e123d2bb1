//! Tracks which long prompts the replicas are reading and which prefixes they still hold (design 9.5), from what the
//! routers of a region announce to each other when they send one. Pure.

use super::protocol::Prompt;
use common::{ReplicaId, Tick, rendezvous::stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Share of a replica's memory that is assumed to hold prefixes.
const PREFIX_MEMORY_SHARE: f64 = 0.7;
/// Memory that is assumed for a replica that reports none, in tokens.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;

/// A long prompt that was sent to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptSent {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// Its shareable prefixes, shortest first: the hash of the whole prefix, and its length in tokens.
    pub prefixes: Vec<(u64, u32)>,
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// The replica's memory in tokens; 0 if unknown.
    pub memory: u64,
}

/// The shareable prefixes of a prompt, shortest first: hash and length in tokens of each.
pub fn prefixes(prompt: &Prompt) -> Vec<(u64, u32)> {
    let mut prefix = (0u64, 0u32);
    let step = |part: &(u64, u32)| {
        prefix =
            (stable_hash(&[&prefix.0.to_le_bytes(), &part.0.to_le_bytes()]), prefix.1.saturating_add(part.1));
        prefix
    };
    prompt.shared().iter().map(step).collect()
}

/// The prefixes that a replica is assumed to hold; the least recently used are dropped first.
#[derive(Debug, Default)]
struct PrefixCache {
    /// For each hash, the tokens that it adds to the prefix before it, and when it was last used.
    prefixes: HashMap<u64, (u32, Tick)>,
    tokens: u64,
}

impl PrefixCache {
    fn put(&mut self, key: u64, tokens: u32, now: Tick) {
        if self.prefixes.insert(key, (tokens, now)).is_none() {
            self.tokens += u64::from(tokens);
        }
    }

    fn evict_down_to(&mut self, max_tokens: u64) {
        while self.tokens > max_tokens {
            let Some((key, tokens)) =
                self.prefixes.iter().min_by_key(|entry| entry.1.1).map(|entry| (*entry.0, entry.1.0))
            else {
                return;
            };
            self.prefixes.remove(&key);
            self.tokens -= u64::from(tokens);
        }
    }
}

/// What each replica is reading, and which prefixes it is assumed to hold.
#[derive(Debug, Default)]
pub struct PrefillTracker {
    /// Until when each replica reads the prompts sent to it, in milliseconds of this router's monotonic clock.
    reading_until: HashMap<ReplicaId, f64>,
    caches: HashMap<ReplicaId, PrefixCache>,
    /// Prompts recorded so far; makes the key of each prompt's last part, which no other prompt shares, unique.
    prompts: u64,
}

impl PrefillTracker {
    /// Tokens of a prompt that the replica doesn't hold yet and would have to read.
    pub fn unread_tokens(&self, id: &ReplicaId, prefixes: &[(u64, u32)], tokens: u32) -> u32 {
        let Some(cache) = self.caches.get(id) else { return tokens };
        let known = prefixes
            .iter()
            .rev()
            .find(|prefix| cache.prefixes.contains_key(&prefix.0))
            .map_or(0, |prefix| prefix.1);
        tokens.saturating_sub(known)
    }

    /// For how much longer the replica reads prompts that were sent to it, in milliseconds.
    pub fn wait_ms(&self, id: &ReplicaId, now: Tick) -> f64 {
        self.reading_until.get(id).map_or(0.0, |until| (until - now.0 as f64).max(0.0))
    }

    /// Records a prompt that was sent. `tokens_per_ms` is the speed at which replicas read.
    pub fn record_sent(&mut self, sent: &PromptSent, tokens_per_ms: f64, now: Tick) {
        let unread = f64::from(self.unread_tokens(&sent.replica, &sent.prefixes, sent.tokens));
        let until = self.reading_until.entry(sent.replica.clone()).or_default();
        *until = until.max(now.0 as f64) + unread / tokens_per_ms.max(1.0);
        self.prompts += 1;
        let own_part = stable_hash(&[b"own", &self.prompts.to_le_bytes()]);
        let cache = self.caches.entry(sent.replica.clone()).or_default();
        let mut before = 0;
        for (key, length) in &sent.prefixes {
            cache.put(*key, length - before, now);
            cache.prefixes.insert(*key, (length - before, now));
            before = *length;
        }
        cache.put(own_part, sent.tokens.saturating_sub(before), now);
        let memory = if sent.memory > 0 { sent.memory } else { DEFAULT_MEMORY_TOKENS };
        cache.evict_down_to((memory as f64 * PREFIX_MEMORY_SHARE) as u64);
    }

    /// Forgets replicas that are not listed any more.
    pub fn retain(&mut self, listed: &dyn Fn(&ReplicaId) -> bool) {
        self.reading_until.retain(|id, _| listed(id));
        self.caches.retain(|id, _| listed(id));
    }
}
