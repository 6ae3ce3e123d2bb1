//! Which replica of a region takes a request (design 9.5): the least time until its first event,
//! as far as load reports and own counts tell. Pure.

use super::{prefill::PrefillTracker, protocol::Prompt, replica_view::Candidate};
use common::{Region, Tick, Zone, rendezvous::stable_hash};

/// Prompt tokens that a replica reads in a millisecond, where nothing else is known.
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Share of the slots above which a newcomer may have to wait.
const FULL: f64 = 0.9;
/// What keeping even a short prefix where it is, is worth.
const LEAST_KEPT_MS: f64 = 15.0;
/// What a full batch costs each request in it until its first event.
const CROWD_MS: f64 = 100.0;
/// Reading shared tokens once more loads the replica and is priced: this many times their own time.
const AGAIN: f64 = 6.0;
/// Part of the pause that streams may make, which reading beside them may take.
const BESIDE: f64 = 0.6;
/// What each millisecond above that costs, for each stream that runs there.
const HURT: f64 = 0.5;

/// Replicas that a request compares.
const CHOICES: usize = 2;

/// What the choice goes by, besides the candidates.
pub struct ChoiceContext<'a> {
    pub prompt: &'a Prompt,
    pub zone: &'a Zone,
    pub region: &'a Region,
    pub affinity: bool,
    /// Reading its prompt holds up what runs beside it.
    pub long_prompt: bool,
    pub reading: &'a PrefillTracker,
    pub prefixes: &'a [(u64, u32)],
    pub prefill_tokens_per_ms: f64,
    /// The longest pause of a stream that is in time.
    pub max_pause_ms: f64,
    pub now: Tick,
    /// How long a request occupies a slot, as seen lately.
    pub service_time_ms: f64,
    /// In [0, 1): keeps routers with the same stale load reports apart.
    pub random_unit: f64,
}

impl ChoiceContext<'_> {
    /// Tokens of the prompt that a replica would have to read.
    fn unread(&self, c: &Candidate) -> u32 {
        self.reading.unread_tokens(&c.id, self.prefixes, self.prompt.tokens_in)
    }

    fn shared(&self) -> u32 {
        if self.affinity { self.prompt.shared_tokens() } else { 0 }
    }

    /// The rendezvous claim of a replica to the request: by its shared prefix, or drawn where it has none.
    fn claim(&self, c: &Candidate) -> u64 {
        let ids: Vec<u8> = if self.shared() > 0 {
            self.prompt.shared().iter().flat_map(|p| p.0.to_le_bytes()).collect()
        } else {
            self.random_unit.to_le_bytes().to_vec()
        };
        stable_hash(&[&ids, c.id.as_str().as_bytes()])
    }
}

/// Milliseconds until the first event if the request went there, the shared prefix apart.
pub fn first_event_delay_ms(c: &Candidate, w: &ChoiceContext<'_>) -> f64 {
    let slots = f64::from(c.slots);
    let over = (c.load() + 1.0 - slots * FULL).max(0.0);
    let wait = over * w.service_time_ms / slots;
    let batch = c.load() / slots * CROWD_MS;
    let reading = w.reading.wait_ms(&c.id, w.now);
    let tokens = u64::from(w.prompt.tokens_in) + u64::from(w.prompt.tokens_out);
    let tight = c.memory_total > 0 && c.memory_used + tokens > c.memory_total;
    let way = if c.zone == *w.zone {
        0.0
    } else if c.region == *w.region {
        3.0
    } else {
        100.0
    };
    wait + batch + reading + way + if tight { 300.0 } else { 0.0 }
}

/// Large enough for the request at all.
pub fn fits_memory(c: &Candidate, p: &Prompt) -> bool {
    c.memory_total == 0 || u64::from(p.tokens_in) + u64::from(p.tokens_out) <= c.memory_total
}

/// The best of these for the request: of a few, the least time until its first event, and what it costs those that run
/// beside it.
pub fn choose_replica<'a>(cands: &[&'a Candidate], w: &ChoiceContext<'_>) -> Option<&'a Candidate> {
    let compared = compared(cands, w);
    let first = compared.first().filter(|_| w.shared() > 0).map(|c| c.id.clone());
    let score = |c: &Candidate| {
        let spread = stable_hash(&[&w.random_unit.to_le_bytes(), c.id.as_str().as_bytes()]) % 1000;
        let base = first_event_delay_ms(c, w) + spread as f64 / 1000.0 * 4.0;
        if w.long_prompt {
            return base + reading_costs(c, w);
        }
        base + if first.as_ref().is_some_and(|first| *first != c.id) { LEAST_KEPT_MS } else { 0.0 }
    };
    compared.into_iter().min_by(|a, b| score(a).total_cmp(&score(b)))
}

/// The few that a request compares ("power of two choices"): those of the highest claim. Reports are as old as a look at
/// the replicas, and many routers go by the same one: if each took the best of all by it, all would go to the same few
/// replicas until the next. A long prompt also looks at the replica that has the longest prefix of it.
fn compared<'a>(cands: &[&'a Candidate], w: &ChoiceContext<'_>) -> Vec<&'a Candidate> {
    let mut ranked: Vec<(u64, &'a Candidate)> = cands.iter().map(|c| (w.claim(c), *c)).collect();
    ranked.sort_unstable_by_key(|(claim, _)| std::cmp::Reverse(*claim));
    let mut few: Vec<&Candidate> = ranked.iter().take(CHOICES).map(|(_, c)| *c).collect();
    if w.long_prompt {
        let keeper = ranked.iter().map(|(_, c)| *c).min_by_key(|c| w.unread(c));
        let keeper = keeper.filter(|c| w.unread(c) < w.prompt.tokens_in);
        few.extend(keeper.filter(|keeper| few.iter().all(|c| c.id != keeper.id)));
    }
    few
}

/// What reading a long prompt there takes from it and from all that runs beside it.
fn reading_costs(c: &Candidate, w: &ChoiceContext<'_>) -> f64 {
    let tokens = w.unread(c);
    let own = w.prompt.tokens_in.saturating_sub(w.prompt.shared_tokens());
    let read = f64::from(tokens) / w.prefill_tokens_per_ms;
    let again = f64::from(tokens.saturating_sub(own)) / w.prefill_tokens_per_ms;
    let over = (w.reading.wait_ms(&c.id, w.now) + read - w.max_pause_ms * BESIDE).max(0.0);
    read + again * (AGAIN - 1.0) + over * c.load() * HURT
}

/// Whether no candidate could begin the request within `ms`.
pub fn all_overdue(cands: &[&Candidate], w: &ChoiceContext<'_>, ms: f64) -> bool {
    cands.iter().all(|c| {
        let over = (c.load() + 1.0 - f64::from(c.slots)).max(0.0);
        over * w.service_time_ms / f64::from(c.slots) > ms
    })
}

/// Keeps an average of how long requests take; a tenth of each new one.
pub fn learn_duration(avg: &mut f64, seen: f64) {
    *avg += (seen - *avg) * 0.1;
}

/// Whether a cold replica is still cold.
pub fn is_cold(c: &Candidate, now: Tick) -> bool {
    c.cold_until > now
}
