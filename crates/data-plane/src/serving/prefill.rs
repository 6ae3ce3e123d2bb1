//! Which long prompts replicas read now, and which prefixes they keep (design 9.5), as the routers of
//! a region tell each other when they send one. Pure.

use super::protocol::Prompt;
use common::{ReplicaId, Tick, rendezvous::stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Part of a replica's memory that kept prefixes are taken to have.
const KEPT_PART: f64 = 0.7;
/// Where a replica tells no memory, this many tokens are taken for it.
const MEMORY: u64 = 200_000;

/// A long prompt that was sent to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptSent {
    pub replica: ReplicaId,
    /// Its shared prefixes, shortest first: hash of the whole prefix, and its length in tokens.
    pub prefixes: Vec<(u64, u32)>,
    pub tokens: u32,
    pub memory: u64,
}

/// The shared prefixes of a prompt, each with all parts before it.
pub fn prefixes(p: &Prompt) -> Vec<(u64, u32)> {
    let mut at = (0u64, 0u32);
    let step = |part: &(u64, u32)| {
        at = (stable_hash(&[&at.0.to_le_bytes(), &part.0.to_le_bytes()]), at.1.saturating_add(part.1));
        at
    };
    p.shared().iter().map(step).collect()
}

#[derive(Debug, Default)]
struct Kept {
    /// Prefixes with their tokens and when they were used last.
    of: HashMap<u64, (u32, Tick)>,
    tokens: u64,
}

impl Kept {
    fn put(&mut self, key: u64, tokens: u32, now: Tick) {
        if self.of.insert(key, (tokens, now)).is_none() {
            self.tokens += u64::from(tokens);
        }
    }

    fn trim(&mut self, most: u64) {
        while self.tokens > most {
            let Some((key, tokens)) = self.of.iter().min_by_key(|e| e.1.1).map(|e| (*e.0, e.1.0)) else {
                return;
            };
            self.of.remove(&key);
            self.tokens -= u64::from(tokens);
        }
    }
}

#[derive(Debug, Default)]
pub struct PrefillTracker {
    /// Until when a replica reads what it was sent, in milliseconds of the own clock.
    until: HashMap<ReplicaId, f64>,
    kept: HashMap<ReplicaId, Kept>,
    serial: u64,
}

impl PrefillTracker {
    /// Tokens that the replica would have to read.
    pub fn unread_tokens(&self, id: &ReplicaId, prefixes: &[(u64, u32)], tokens: u32) -> u32 {
        let Some(k) = self.kept.get(id) else { return tokens };
        let known = prefixes.iter().rev().find(|p| k.of.contains_key(&p.0)).map_or(0, |p| p.1);
        tokens.saturating_sub(known)
    }

    /// How long what it was sent keeps it reading.
    pub fn wait_ms(&self, id: &ReplicaId, now: Tick) -> f64 {
        self.until.get(id).map_or(0.0, |u| (u - now.0 as f64).max(0.0))
    }

    pub fn record_sent(&mut self, n: &PromptSent, per_ms: f64, now: Tick) {
        let unread = f64::from(self.unread_tokens(&n.replica, &n.prefixes, n.tokens));
        let until = self.until.entry(n.replica.clone()).or_default();
        *until = until.max(now.0 as f64) + unread / per_ms.max(1.0);
        self.serial += 1;
        let own = stable_hash(&[b"own", &self.serial.to_le_bytes()]);
        let k = self.kept.entry(n.replica.clone()).or_default();
        let mut before = 0;
        for (key, upto) in &n.prefixes {
            k.put(*key, upto - before, now);
            k.of.insert(*key, (upto - before, now));
            before = *upto;
        }
        k.put(own, n.tokens.saturating_sub(before), now);
        let memory = if n.memory > 0 { n.memory } else { MEMORY };
        k.trim((memory as f64 * KEPT_PART) as u64);
    }

    /// Forgets replicas that are gone.
    pub fn retain(&mut self, listed: &dyn Fn(&ReplicaId) -> bool) {
        self.until.retain(|id, _| listed(id));
        self.kept.retain(|id, _| listed(id));
    }
}
