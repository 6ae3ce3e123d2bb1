//! Which replica of a region takes a request (design 9.5): the least time until its first event,
//! as far as figures and own counts tell. Pure.

use super::{dialect::Prompt, fleet::Candidate};
use gauge::{Area, Region, Tick, rank::stable_hash};
use std::sync::atomic::Ordering;

/// Prompt tokens that a replica reads in a millisecond, until a service's own pace is known.
pub const READS_PER_MS: f64 = 50.0;
/// Share of the slots above which a newcomer may have to wait.
const FULL: f64 = 0.9;
/// Reading a shared prefix once more costs more than its own wait: all that runs beside it waits too.
const AGAIN: f64 = 2.5;
/// What keeping even a short prefix where it is, is worth.
const LEAST_KEPT_MS: f64 = 15.0;
/// What a light request avoids among replicas that read long prompts, and the other way round.
const APART_MS: f64 = 60.0;

/// Which part of a service's replicas a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Long and short prompts are not kept apart.
    Any,
    Long,
    Short,
}

/// What the choice goes by, besides the candidates.
pub struct Wish<'a> {
    pub prompt: &'a Prompt,
    pub area: &'a Area,
    pub region: &'a Region,
    pub sticky: bool,
    pub part: Part,
    /// How long a request occupies a slot, as seen lately.
    pub hold_ms: f64,
    /// In [0, 1): keeps routers with the same stale figures apart.
    pub unit: f64,
}

impl Wish<'_> {
    fn shared(&self) -> u32 {
        if self.sticky { self.prompt.shared_tokens() } else { 0 }
    }

    fn claim(&self, c: &Candidate) -> u64 {
        let ids: Vec<u8> = self.prompt.shared().iter().flat_map(|p| p.0.to_le_bytes()).collect();
        stable_hash(&[&ids, c.id.as_str().as_bytes()])
    }
}

/// Milliseconds until the first event if the request went there, the shared prefix apart.
pub fn delay(c: &Candidate, w: &Wish<'_>) -> f64 {
    let slots = f64::from(c.slots);
    let over = (c.load() + 1.0 - slots * FULL).max(0.0);
    let wait = over * w.hold_ms / slots;
    let batch = c.load() / slots * 40.0;
    let reading = c.own.reading.load(Ordering::Relaxed).max(0) as f64 / READS_PER_MS;
    let tokens = u64::from(w.prompt.tokens_in) + u64::from(w.prompt.tokens_out);
    let tight = c.memory_total > 0 && c.memory_used + tokens > c.memory_total;
    let way = if c.area == *w.area {
        0.0
    } else if c.region == *w.region {
        3.0
    } else {
        100.0
    };
    wait + batch + reading + way + if tight { 300.0 } else { 0.0 }
}

/// Large enough for the request at all.
pub fn fits(c: &Candidate, p: &Prompt) -> bool {
    c.memory_total == 0 || u64::from(p.tokens_in) + u64::from(p.tokens_out) <= c.memory_total
}

/// Replicas that read long prompts: half of them, by an order on which all routers agree.
fn long_half(cands: &[&Candidate]) -> Vec<u64> {
    let mut order: Vec<u64> = cands.iter().map(|c| place(c)).collect();
    order.sort_unstable();
    order.truncate(cands.len().div_ceil(2));
    order
}

fn place(c: &Candidate) -> u64 {
    stable_hash(&[b"long", c.id.as_str().as_bytes()])
}

/// The best of these for the request. Those that keep its prefix come first as long as what they
/// save is more than what they make it wait; long and short prompts keep apart where both come.
pub fn best<'a>(cands: &[&'a Candidate], w: &Wish<'_>) -> Option<&'a Candidate> {
    let long = if w.part == Part::Any { Vec::new() } else { long_half(cands) };
    let apart = |c: &Candidate| match w.part {
        Part::Any => false,
        Part::Long => !long.contains(&place(c)),
        Part::Short => long.contains(&place(c)),
    };
    let shared = w.shared();
    let mut ranked: Vec<(bool, &Candidate)> = cands.iter().map(|c| (apart(c), *c)).collect();
    if shared > 0 {
        ranked.sort_by_cached_key(|(apart, c)| (*apart, std::cmp::Reverse(w.claim(c))));
    }
    let again = (f64::from(shared) / READS_PER_MS * AGAIN).max(LEAST_KEPT_MS);
    let score = |n: usize, apart: bool, c: &Candidate| {
        let miss = match n {
            _ if shared == 0 => 0.0,
            0 => 0.0,
            1 => again * 0.9,
            _ => again,
        };
        let spread = stable_hash(&[&w.unit.to_le_bytes(), c.id.as_str().as_bytes()]) % 1000;
        delay(c, w) + miss + if apart { APART_MS } else { 0.0 } + spread as f64 / 1000.0 * 4.0
    };
    let scored = ranked.into_iter().enumerate().map(|(n, (apart, c))| (score(n, apart, c), c));
    scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, c)| c)
}

/// Whether no candidate could begin the request within `ms`.
pub fn hopeless(cands: &[&Candidate], w: &Wish<'_>, ms: f64) -> bool {
    cands.iter().all(|c| {
        let over = (c.load() + 1.0 - f64::from(c.slots)).max(0.0);
        over * w.hold_ms / f64::from(c.slots) > ms
    })
}

/// Keeps an average of how long requests take; a tenth of each new one.
pub fn learn(avg: &mut f64, seen: f64) {
    *avg += (seen - *avg) * 0.1;
}

/// Whether a cold replica is still cold.
pub fn cold(c: &Candidate, now: Tick) -> bool {
    c.cold_until > now
}
