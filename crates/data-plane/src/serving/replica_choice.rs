//! The choice of a replica within a region (design 9.5): the one with the shortest expected time until the first
//! event of the answer, by load reports and this router's own counts. No I/O.

use super::{prefill::PrefillTracker, protocol::Prompt, replica_view::Candidate};
use common::{Region, Tick, Zone, rendezvous::stable_hash};

/// Prompt tokens that a replica processes per millisecond (prefill rate).
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Fraction of the slots above which a new request may have to wait.
const QUEUEING_LOAD: f64 = 0.9;
/// Penalty for sending a short shared prefix to another replica than the one that probably has it cached.
const PREFIX_MISS_MS: f64 = 15.0;
/// How much longer a request takes until its first event in a full batch than in an empty one.
const FULL_BATCH_MS: f64 = 100.0;
/// Processing shared tokens that another replica has cached costs this many times the time it takes, since it also
/// loads the replica.
const REPEATED_PREFILL_FACTOR: f64 = 6.0;
/// Fraction of the longest allowed pause of a stream that prefill beside running streams may take without a penalty.
const PREFILL_PAUSE_FRACTION: f64 = 0.6;
/// Penalty for each millisecond above that, for each stream that runs at the replica.
const DELAYED_STREAM_FACTOR: f64 = 0.5;

/// How many replicas are compared for a request.
const CHOICES: usize = 2;

/// What the choice depends on besides the candidates.
pub struct ChoiceContext<'a> {
    /// The request's prompt.
    pub prompt: &'a Prompt,
    /// The router's zone.
    pub zone: &'a Zone,
    /// The router's region.
    pub region: &'a Region,
    /// Requests with the same shared prefix should go to the same replica.
    pub affinity: bool,
    /// The prompt is so long that processing it delays streams that run beside it.
    pub long_prompt: bool,
    /// Long prompts that replicas process now, and prefixes that they have cached.
    pub reading: &'a PrefillTracker,
    /// Hash and length in tokens of each shared prefix of the prompt, shortest first.
    pub prefixes: &'a [(u64, u32)],
    /// Prompt tokens that a replica processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The longest allowed pause between events of a stream.
    pub max_pause_ms: f64,
    /// The current time.
    pub now: Tick,
    /// How long a request occupies a slot, on average.
    pub service_time_ms: f64,
    /// A random number in [0, 1): lets routers that have the same outdated load reports choose differently.
    pub random_unit: f64,
}

impl ChoiceContext<'_> {
    /// Tokens of the prompt that a replica does not have cached.
    fn uncached_tokens(&self, replica: &Candidate) -> u32 {
        self.reading.unread_tokens(&replica.id, self.prefixes, self.prompt.tokens_in)
    }

    /// Tokens of the prefix that requests may share; 0 without affinity.
    fn shared_tokens(&self) -> u32 {
        if self.affinity { self.prompt.shared_tokens() } else { 0 }
    }

    /// The rendezvous hash of a replica for the request: by its shared prefix, or random if it has none.
    fn rank_hash(&self, replica: &Candidate) -> u64 {
        let ids: Vec<u8> = if self.shared_tokens() > 0 {
            self.prompt.shared().iter().flat_map(|part| part.0.to_le_bytes()).collect()
        } else {
            self.random_unit.to_le_bytes().to_vec()
        };
        stable_hash(&[&ids, replica.id.as_str().as_bytes()])
    }
}

/// Expected milliseconds until the first event if the request went to this replica, without the time to process the
/// prompt itself.
pub fn first_event_delay_ms(replica: &Candidate, context: &ChoiceContext<'_>) -> f64 {
    let slots = f64::from(replica.slots);
    let queued = (replica.load() + 1.0 - slots * QUEUEING_LOAD).max(0.0);
    let wait = queued * context.service_time_ms / slots;
    let batch = replica.load() / slots * FULL_BATCH_MS;
    let reading = context.reading.wait_ms(&replica.id, context.now);
    let tokens = u64::from(context.prompt.tokens_in) + u64::from(context.prompt.tokens_out);
    let memory_short = replica.memory_total > 0 && replica.memory_used + tokens > replica.memory_total;
    let network_ms = if replica.zone == *context.zone {
        0.0
    } else if replica.region == *context.region {
        3.0
    } else {
        100.0
    };
    wait + batch + reading + network_ms + if memory_short { 300.0 } else { 0.0 }
}

/// Whether the replica has enough memory for the request, even if nothing else ran there.
pub fn fits_memory(replica: &Candidate, prompt: &Prompt) -> bool {
    replica.memory_total == 0
        || u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out) <= replica.memory_total
}

/// The best candidate for the request: of a few, the one with the least expected time until the first event plus what
/// the request costs those that run beside it.
pub fn choose_replica<'a>(
    candidates: &[&'a Candidate],
    context: &ChoiceContext<'_>,
) -> Option<&'a Candidate> {
    let compared = compared(candidates, context);
    let prefix_holder =
        compared.first().filter(|_| context.shared_tokens() > 0).map(|replica| replica.id.clone());
    let score = |replica: &Candidate| {
        let jitter =
            stable_hash(&[&context.random_unit.to_le_bytes(), replica.id.as_str().as_bytes()]) % 1000;
        let base = first_event_delay_ms(replica, context) + jitter as f64 / 1000.0 * 4.0;
        if context.long_prompt {
            return base + prefill_cost(replica, context);
        }
        base + if prefix_holder.as_ref().is_some_and(|holder| *holder != replica.id) {
            PREFIX_MISS_MS
        } else {
            0.0
        }
    };
    compared.into_iter().min_by(|a, b| score(a).total_cmp(&score(b)))
}

/// The few candidates that are compared for a request ("power of two choices"): those with the highest rendezvous
/// hash. Many routers use the same load report until the next one: if each took the best of all replicas, all would
/// send to the same few until then. For a long prompt the replica that has the longest prefix of it cached is
/// compared as well.
fn compared<'a>(candidates: &[&'a Candidate], context: &ChoiceContext<'_>) -> Vec<&'a Candidate> {
    let mut ranked: Vec<(u64, &'a Candidate)> =
        candidates.iter().map(|replica| (context.rank_hash(replica), *replica)).collect();
    ranked.sort_unstable_by_key(|(hash, _)| std::cmp::Reverse(*hash));
    let mut few: Vec<&Candidate> = ranked.iter().take(CHOICES).map(|(_, replica)| *replica).collect();
    if context.long_prompt {
        let cached_at =
            ranked.iter().map(|(_, replica)| *replica).min_by_key(|replica| context.uncached_tokens(replica));
        let cached_at =
            cached_at.filter(|replica| context.uncached_tokens(replica) < context.prompt.tokens_in);
        few.extend(cached_at.filter(|cached_at| few.iter().all(|replica| replica.id != cached_at.id)));
    }
    few
}

/// What processing a long prompt at this replica costs the request and all that run beside it, in milliseconds.
fn prefill_cost(replica: &Candidate, context: &ChoiceContext<'_>) -> f64 {
    let tokens = context.uncached_tokens(replica);
    let own_tokens = context.prompt.tokens_in.saturating_sub(context.prompt.shared_tokens());
    let prefill_ms = f64::from(tokens) / context.prefill_tokens_per_ms;
    let repeated_ms = f64::from(tokens.saturating_sub(own_tokens)) / context.prefill_tokens_per_ms;
    let excess_pause_ms = (context.reading.wait_ms(&replica.id, context.now) + prefill_ms
        - context.max_pause_ms * PREFILL_PAUSE_FRACTION)
        .max(0.0);
    prefill_ms
        + repeated_ms * (REPEATED_PREFILL_FACTOR - 1.0)
        + excess_pause_ms * replica.load() * DELAYED_STREAM_FACTOR
}

/// Whether the request would wait longer than `ms` for a slot at every candidate.
pub fn all_overdue(candidates: &[&Candidate], context: &ChoiceContext<'_>, ms: f64) -> bool {
    candidates.iter().all(|replica| {
        let over = (replica.load() + 1.0 - f64::from(replica.slots)).max(0.0);
        over * context.service_time_ms / f64::from(replica.slots) > ms
    })
}

/// Adds a duration to the moving average of how long requests take, with a weight of a tenth.
pub fn learn_duration(average: &mut f64, measured: f64) {
    *average += (measured - *average) * 0.1;
}

/// Whether a replica is still cold according to its report.
pub fn is_cold(replica: &Candidate, now: Tick) -> bool {
    replica.cold_until > now
}
