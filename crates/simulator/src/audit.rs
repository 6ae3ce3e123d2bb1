//! The audit of a run (design 7.5): compares the callers' answers with the replicas' logs.

use crate::{
    caller::CallOutcome, checks::run_checks, fake_replica::FakeReplica, replica_log::runs_by_request,
    request_audit::audit_call, timeline::Topology, traffic::RunRecord,
};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc};
use tokio::time::Instant;

/// The printed result of a run.
#[derive(Debug, Default, Serialize)]
pub struct Audit {
    /// The service that runs the model.
    pub model: String,
    /// Requests that callers sent.
    #[serde(rename = "jobs")]
    pub requests: usize,
    /// Complete answers.
    pub done: usize,
    /// Requests refused before they ran.
    #[serde(rename = "bounced")]
    pub rejected: usize,
    /// Requests of which the router could not say whether they ran.
    pub unknown: usize,
    /// Answers that broke off.
    pub broken: usize,
    /// Requests that found no router to connect to.
    #[serde(rename = "not_asked")]
    pub not_sent: usize,
    /// All other answers, by status.
    pub other: BTreeMap<u16, usize>,
    /// Rejections by reason.
    #[serde(rename = "bounce_reasons")]
    pub rejection_reasons: BTreeMap<String, usize>,
    /// Unknown outcomes by reason.
    pub unknown_reasons: BTreeMap<String, usize>,
    /// Broken answers by error.
    pub broken_reasons: BTreeMap<String, usize>,
    /// Requests redirected to another router.
    pub redirected: usize,
    /// Must be zero: requests that must not be repeated and ran more than once.
    #[serde(rename = "doubled")]
    pub run_twice: usize,
    /// Must be zero: requests that were rejected and still ran.
    #[serde(rename = "bounced_yet_run")]
    pub rejected_yet_run: usize,
    /// Must be zero: requests that ran outside their home regions.
    pub misrouted: usize,
    /// Must be zero: answers that looked complete and were not this request's.
    pub garbled: usize,
    /// Must be zero: complete answers to requests that no replica ran.
    pub done_not_run: usize,
    /// Must be zero: runs begun at a replica more than 4 s after its drain or removal.
    #[serde(rename = "late_at_departed")]
    pub late_at_departed_replica: usize,
    /// Must be zero: runs begun in a zone more than 5 s after its evacuation.
    #[serde(rename = "late_at_evacuated")]
    pub late_in_evacuated_zone: usize,
    /// For each drain, removal or evacuation: how long after it the last run began there.
    #[serde(rename = "last_begun_after_ms")]
    pub last_run_begun_after_ms: BTreeMap<String, u128>,
    /// Must be zero: rejections with 503 and no `Retry-After`.
    #[serde(rename = "bounced_without_retry_after")]
    pub rejected_without_retry_after: usize,
    /// Must be zero: rejections that took more than 5 s although no router was frozen or cut off meanwhile.
    #[serde(rename = "bounced_late")]
    pub rejected_late: usize,
    /// Longest time until a rejection.
    #[serde(rename = "slowest_bounce_ms")]
    pub slowest_rejection_ms: u128,
    /// Must be zero: requests served by an older document three seconds after a newer one was accepted.
    #[serde(rename = "governed_late")]
    pub older_document_used_late: usize,
    /// Must be zero: answers by an older document than the same router had used before.
    #[serde(rename = "went_back")]
    pub revision_went_back: usize,
    /// Must be zero: pairs of entry and tenant that failed for over twelve seconds although they could be served.
    #[serde(rename = "not_back")]
    pub not_served_again: usize,
    /// Longest time that an entry of a tenant failed although it could be served.
    pub longest_outage_ms: u128,
    /// Must be zero: runs that exceeded what the slow start of a cold replica allows.
    pub cold_over_allowance: usize,
    /// Must be zero: broken, unknown or unexpected answers in a run with planned work only.
    pub dropped_in_planned_work: usize,
    /// Must be zero: retries beyond a fifth of all requests and what each router may use after its start.
    #[serde(rename = "extra_over")]
    pub retries_over_limit: usize,
    /// Must be zero: refused documents that were read back as the current one.
    #[serde(rename = "refused_read_back")]
    pub refused_document_read_back: usize,
    /// Runs at replicas of the model.
    pub model_runs: usize,
    /// Runs at replicas of the model whose prefix was cached.
    pub prefix_hits: usize,
    /// Share of such runs.
    pub prefix_hit_ratio: f64,
    /// Most open runs at one replica of the model.
    pub most_open_at_a_replica: usize,
    /// Runs at replicas of the model, by region.
    pub runs_by_region: BTreeMap<String, usize>,
    /// Most runs open at a replica in each second after it came back cold.
    #[serde(rename = "cold_open")]
    pub most_open_since_cold_start: BTreeMap<String, Vec<usize>>,
    /// Placements by kind, from the routers' metrics.
    pub placements: BTreeMap<String, f64>,
    /// Capacity grants by outcome, from the routers' metrics.
    #[serde(rename = "passes")]
    pub grants: BTreeMap<String, f64>,
    /// Retries, from the routers' metrics.
    #[serde(rename = "extra_goes")]
    pub retries: f64,
    /// Retries as a share of all requests.
    #[serde(rename = "extra_share")]
    pub retry_ratio: f64,
    /// Requests forwarded to another router, from the routers' metrics.
    pub hops: f64,
    /// Whether the newest accepted document was read back unchanged at the end.
    pub read_back_exact: Option<bool>,
    /// The faults that were carried out.
    #[serde(rename = "acts")]
    pub actions: Vec<String>,
    /// Longest time between the starts of two successful requests, by entry.
    pub longest_gap_ms: BTreeMap<String, u128>,
    /// Median time of successful requests, by entry.
    pub p50_ms: BTreeMap<String, u128>,
    /// 99th percentile of the time of successful requests, by entry.
    pub p99_ms: BTreeMap<String, u128>,
    /// The first violations, with the requests concerned.
    pub examples: Vec<String>,
}

/// Audits a run.
pub fn audit(record: &RunRecord, replicas: &[Arc<FakeReplica>], topology: &Topology) -> Audit {
    let model = topology.model;
    let runs = runs_by_request(replicas);
    let mut audit = Audit { requests: record.responses.len(), model: model.into(), ..Audit::default() };
    for result in &record.responses {
        audit_call(&mut audit, result, runs.get(&result.call.request_id).map(Vec::as_slice).unwrap_or(&[]));
    }
    for replica in replicas.iter().filter(|replica| replica.spec.service == model) {
        let runs = replica.runs();
        audit.model_runs += runs.len();
        audit.prefix_hits += runs.iter().filter(|r| r.warm).count();
        *audit.runs_by_region.entry(replica.spec.region.clone()).or_default() += runs.len();
        audit.most_open_at_a_replica =
            audit.most_open_at_a_replica.max(runs.iter().map(|r| r.open).max().unwrap_or(0));
    }
    run_checks(&mut audit, record, topology, replicas);
    audit.prefix_hit_ratio = audit.prefix_hits as f64 / audit.model_runs.max(1) as f64;
    let mut starts: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for result in record.responses.iter().filter(|result| result.outcome == CallOutcome::Done) {
        starts.entry(result.call.entry).or_default().push(result.at);
    }
    for (entry, mut values) in starts {
        values.sort();
        let gap = values.windows(2).map(|w| w[1].duration_since(w[0]).as_millis()).max();
        audit.longest_gap_ms.insert(entry.into(), gap.unwrap_or(0));
    }
    let mut durations: BTreeMap<String, Vec<u128>> = BTreeMap::new();
    for result in record.responses.iter().filter(|result| result.outcome == CallOutcome::Done) {
        durations.entry(result.call.entry.into()).or_default().push(result.took.as_millis());
    }
    for (entry, mut values) in durations {
        values.sort();
        audit.p50_ms.insert(entry.clone(), values[values.len() / 2]);
        audit.p99_ms.insert(entry, values[values.len() * 99 / 100]);
    }
    audit.actions = record
        .actions
        .iter()
        .map(|action| format!("{} ok={} governs_ms={:?}", action.label, action.ok, action.in_force_ms))
        .collect();
    audit
}

impl Audit {
    /// Keeps an example of a violation, up to 12.
    pub fn note(&mut self, what: &str, which: &str) {
        if self.examples.len() < 12 {
            self.examples.push(format!("{what}: {which}"));
        }
    }

    /// What must never happen and did: the name of each check that failed, with its count.
    pub fn violations(&self) -> Vec<(&'static str, usize)> {
        [
            ("doubled", self.run_twice),
            ("rejected, yet run", self.rejected_yet_run),
            ("misrouted", self.misrouted),
            ("garbled", self.garbled),
            ("done, not run", self.done_not_run),
            ("late run at a departed replica", self.late_at_departed_replica),
            ("late run in an evacuated zone", self.late_in_evacuated_zone),
            ("rejected without Retry-After", self.rejected_without_retry_after),
            ("rejected late", self.rejected_late),
            ("older document used late", self.older_document_used_late),
            ("went back to an older document", self.revision_went_back),
            ("not served again within twelve seconds", self.not_served_again),
            ("cold replica over its allowance", self.cold_over_allowance),
            ("dropped in planned work", self.dropped_in_planned_work),
            ("retries over a fifth of requests", self.retries_over_limit),
            ("refused document read back", self.refused_document_read_back),
            ("read-back differs", usize::from(self.read_back_exact == Some(false))),
        ]
        .into_iter()
        .filter(|v| v.1 > 0)
        .collect()
    }
}
