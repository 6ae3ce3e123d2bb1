//! The audit of a run (design 7.5): callers' answers against the replicas' own logs.

use crate::{
    caller::{CallOutcome, CallResult},
    checks::checks,
    fake_replica::{FakeReplica, by_job},
    timeline::Topology,
    traffic::RunRecord,
};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc};
use tokio::time::Instant;

#[derive(Debug, Default, Serialize)]
pub struct Audit {
    pub model: String,
    pub jobs: usize,
    pub done: usize,
    #[serde(rename = "bounced")]
    pub rejected: usize,
    pub unknown: usize,
    pub broken: usize,
    pub not_asked: usize,
    pub other: BTreeMap<u16, usize>,
    pub bounce_reasons: BTreeMap<String, usize>,
    pub unknown_reasons: BTreeMap<String, usize>,
    pub broken_reasons: BTreeMap<String, usize>,
    pub redirected: usize,
    /// Must be zero: jobs that may not be repeated and ran twice.
    pub doubled: usize,
    /// Must be zero: told as rejected, and ran.
    pub bounced_yet_run: usize,
    /// Must be zero: ran outside the homes.
    pub misrouted: usize,
    /// Must be zero: an answer that looked whole and was not the job's own.
    pub garbled: usize,
    /// Must be zero: whole answers without a run.
    pub done_not_run: usize,
    /// Must be zero: runs begun at a drained or removed replica later than 4 s after that.
    pub late_at_departed: usize,
    /// Must be zero: runs begun in an evacuated zone later than 5 s after that.
    pub late_at_evacuated: usize,
    /// How long after a drain, removal or evacuation the last run began there.
    pub last_begun_after_ms: BTreeMap<String, u128>,
    /// Must be zero: 503 without when to come back.
    pub bounced_without_retry_after: usize,
    /// Must be zero: rejected later than at once, with no router frozen or cut off meanwhile.
    pub bounced_late: usize,
    pub slowest_bounce_ms: u128,
    /// Must be zero: answered by an older document three seconds after a newer was accepted.
    pub governed_late: usize,
    /// Must be zero: a router answered by an older document than before.
    pub went_back: usize,
    /// Must be zero: entries of tenants that could be served and were not for over twelve seconds.
    pub not_back: usize,
    pub longest_outage_ms: u128,
    /// Must be zero: more open at a replica that came back cold than its ramp allows.
    pub cold_over_allowance: usize,
    /// Must be zero: broken, unknown or odd answers in a run of planned work alone.
    pub dropped_in_planned_work: usize,
    /// Must be zero: goes beyond a fifth of all jobs and what routers start with.
    pub extra_over: usize,
    /// Must be zero: a refused document that is read back.
    pub refused_read_back: usize,
    pub model_runs: usize,
    pub prefix_hits: usize,
    pub prefix_hit_ratio: f64,
    pub most_open_at_a_replica: usize,
    pub runs_by_region: BTreeMap<String, usize>,
    /// Most runs open at a replica in each second after it came back cold.
    pub cold_open: BTreeMap<String, Vec<usize>>,
    pub placements: BTreeMap<String, f64>,
    pub passes: BTreeMap<String, f64>,
    #[serde(rename = "extra_goes")]
    pub retry_ratio: f64,
    pub extra_share: f64,
    pub hops: f64,
    pub read_back_exact: Option<bool>,
    #[serde(rename = "acts")]
    pub actions: Vec<String>,
    /// Longest time between the beginnings of two jobs that were done, by entry.
    pub longest_gap_ms: BTreeMap<String, u128>,
    pub p50_ms: BTreeMap<String, u128>,
    pub p99_ms: BTreeMap<String, u128>,
    pub examples: Vec<String>,
}

pub fn audit(record: &RunRecord, replicas: &[Arc<FakeReplica>], topology: &Topology) -> Audit {
    let model = topology.model;
    let runs = by_job(replicas);
    let mut a = Audit { jobs: record.responses.len(), model: model.into(), ..Audit::default() };
    for h in &record.responses {
        audit_call(&mut a, h, runs.get(&h.call.job).map(Vec::as_slice).unwrap_or(&[]));
    }
    for s in replicas.iter().filter(|s| s.spec.service == model) {
        let runs = s.runs();
        a.model_runs += runs.len();
        a.prefix_hits += runs.iter().filter(|r| r.warm).count();
        *a.runs_by_region.entry(s.spec.region.clone()).or_default() += runs.len();
        a.most_open_at_a_replica =
            a.most_open_at_a_replica.max(runs.iter().map(|r| r.open).max().unwrap_or(0));
    }
    checks(&mut a, record, topology, replicas);
    a.prefix_hit_ratio = a.prefix_hits as f64 / a.model_runs.max(1) as f64;
    let mut begun: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for h in record.responses.iter().filter(|h| h.outcome == CallOutcome::Done) {
        begun.entry(h.call.entry).or_default().push(h.at);
    }
    for (k, mut v) in begun {
        v.sort();
        let gap = v.windows(2).map(|w| w[1].duration_since(w[0]).as_millis()).max();
        a.longest_gap_ms.insert(k.into(), gap.unwrap_or(0));
    }
    let mut took: BTreeMap<String, Vec<u128>> = BTreeMap::new();
    for h in record.responses.iter().filter(|h| h.outcome == CallOutcome::Done) {
        took.entry(h.call.entry.into()).or_default().push(h.took.as_millis());
    }
    for (k, mut v) in took {
        v.sort();
        a.p50_ms.insert(k.clone(), v[v.len() / 2]);
        a.p99_ms.insert(k, v[v.len() * 99 / 100]);
    }
    a.actions = record
        .actions
        .iter()
        .map(|x| format!("{} ok={} governs_ms={:?}", x.label, x.ok, x.in_force_ms))
        .collect();
    a
}

fn audit_call(a: &mut Audit, h: &CallResult, runs: &[(Arc<FakeReplica>, crate::fake_replica::JobRun)]) {
    let note = |a: &mut Audit, what: &str| {
        let at: Vec<String> = runs.iter().map(|r| r.0.id.clone()).collect();
        a.note(what, &format!("{} {:?} ran at {at:?}", h.call.job, h.outcome));
    };
    if h.call.once && runs.len() > 1 {
        note(a, "doubled");
        a.doubled += 1;
    }
    if runs.iter().any(|(s, _)| !h.call.homes.contains(&s.spec.region.as_str())) {
        note(a, "misrouted");
        a.misrouted += 1;
    }
    a.redirected += usize::from(h.redirected);
    match &h.outcome {
        CallOutcome::Done if runs.is_empty() => {
            note(a, "done, not run");
            a.done_not_run += 1;
        }
        CallOutcome::Done => a.done += 1,
        CallOutcome::Rejected(why) => {
            a.rejected += 1;
            *a.bounce_reasons.entry(why.clone()).or_default() += 1;
            a.slowest_bounce_ms = a.slowest_bounce_ms.max(h.took.as_millis());
            if !runs.is_empty() {
                note(a, "bounced, yet run");
                a.bounced_yet_run += 1;
            }
        }
        CallOutcome::Unknown(why) => {
            a.unknown += 1;
            *a.unknown_reasons.entry(why.clone()).or_default() += 1;
        }
        CallOutcome::Broken(why) => {
            a.broken += 1;
            *a.broken_reasons.entry(why.clone()).or_default() += 1;
        }
        CallOutcome::NotAsked => a.not_asked += 1,
        CallOutcome::Garbled(_) => {
            note(a, "garbled");
            a.garbled += 1;
        }
        CallOutcome::Other(c) => {
            note(a, "other");
            *a.other.entry(*c).or_default() += 1;
        }
    }
}

impl Audit {
    pub fn note(&mut self, what: &str, which: &str) {
        if self.examples.len() < 12 {
            self.examples.push(format!("{what}: {which}"));
        }
    }

    /// The never-points that this run can judge, by name.
    pub fn violations(&self) -> Vec<(&'static str, usize)> {
        [
            ("doubled", self.doubled),
            ("bounced, yet run", self.bounced_yet_run),
            ("misrouted", self.misrouted),
            ("garbled", self.garbled),
            ("done, not run", self.done_not_run),
            ("late at a departed replica", self.late_at_departed),
            ("late in an evacuated area", self.late_at_evacuated),
            ("bounced without Retry-After", self.bounced_without_retry_after),
            ("bounced late", self.bounced_late),
            ("governed late", self.governed_late),
            ("went back to an older document", self.went_back),
            ("not back within twelve seconds", self.not_back),
            ("cold replica over its allowance", self.cold_over_allowance),
            ("dropped in planned work", self.dropped_in_planned_work),
            ("extra goes over a fifth", self.extra_over),
            ("refused, yet read back", self.refused_read_back),
            ("read-back differs", usize::from(self.read_back_exact == Some(false))),
        ]
        .into_iter()
        .filter(|v| v.1 > 0)
        .collect()
    }
}
