//! Checks for what must never happen, over the callers' results and the replicas' logs (design 7.5).

use crate::{
    audit::Audit,
    caller::{CallOutcome, CallResult},
    fake_replica::FakeReplica,
    fault::FaultKind,
    slow_start::check_slow_start,
    submissions::DocumentOutcome,
    timeline::{Timeline, Topology},
    traffic::RunRecord,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Once a document is accepted, how long requests may still be served by an older one.
pub const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(3);
/// How long a request may keep failing although it can be served again.
pub const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);
/// How long runs may still begin at a replica that was drained or removed.
pub const DEPARTURE_DEADLINE: Duration = Duration::from_secs(4);
/// How long runs may still begin in an evacuated zone.
pub const EVACUATION_DEADLINE: Duration = Duration::from_secs(5);
/// Most retries, as a share of all requests.
pub const MAX_RETRY_RATIO: f64 = 0.2;
/// How long a rejection may take: the wait for a free slot spans two health checks, three connection attempts and a
/// node's joining.
pub const REJECTION_DEADLINE: Duration = Duration::from_secs(5);

/// Runs all checks and counts what they find in the audit.
pub fn run_checks(audit: &mut Audit, record: &RunRecord, topology: &Topology, replicas: &[Arc<FakeReplica>]) {
    let timeline = Timeline::from_actions(&record.actions, topology, replicas);
    check_documents(audit, record);
    check_rejections(audit, record, topology, &timeline);
    check_recovery(audit, record, topology, replicas, &timeline);
    check_departures(audit, record, replicas);
    record.actions.iter().for_each(|action| check_slow_start(audit, record, action, replicas));
    let planned = record.actions.iter().all(|x| x.fault.kind.planned());
    audit.dropped_in_planned_work =
        if planned { audit.broken + audit.unknown + audit.other.values().sum::<usize>() } else { 0 };
}

/// A request sent more than three seconds after a document was reported as accepted must be served by that
/// document or a newer one, and no router may answer by an older one than it did before.
fn check_documents(audit: &mut Audit, record: &RunRecord) {
    let revision_of = |result: &CallResult| result.revision;
    for submission in record.actions.iter().flat_map(|action| &action.submissions) {
        let DocumentOutcome::Accepted(revision) = submission.outcome else { continue };
        let late = |result: &&CallResult| {
            result.at > submission.at + CONFIGURATION_DEADLINE
                && revision_of(result).is_some_and(|v| v < revision)
        };
        let found: Vec<&CallResult> = record.responses.iter().filter(late).collect();
        audit.older_document_used_late += found.len();
        found.iter().take(1).for_each(|result| {
            audit.note(
                "older document used late",
                &format!("{} by revision {:?}, not {revision}", result.call.request_id, result.revision),
            );
        });
    }
    let mut results_by_router: BTreeMap<SocketAddr, Vec<&CallResult>> = BTreeMap::new();
    record
        .responses
        .iter()
        .filter(|result| result.revision.is_some())
        .for_each(|result| results_by_router.entry(result.router).or_default().push(result));
    for results in results_by_router.values_mut() {
        results.sort_by_key(|result| result.at);
        let mut answered: Vec<(Instant, u64)> =
            results.iter().filter_map(|result| Some((result.at + result.took, result.revision?))).collect();
        answered.sort();
        let (mut answered_before, mut newest) = (0, 0);
        for result in results.iter() {
            while answered_before < answered.len() && answered[answered_before].0 < result.at {
                newest = newest.max(answered[answered_before].1);
                answered_before += 1;
            }
            audit.revision_went_back += usize::from(result.revision.is_some_and(|r| r < newest));
        }
    }
}

/// Rejections must come without delay and say when to retry. Delays while a router was frozen or cut off do not count.
fn check_rejections(audit: &mut Audit, record: &RunRecord, topology: &Topology, timeline: &Timeline) {
    for result in record.responses.iter().filter(|result| matches!(result.outcome, CallOutcome::Rejected(_)))
    {
        if result.code == 503 && result.retry_after.is_none() {
            audit.rejected_without_retry_after += 1;
        }
        let name = topology.routers.iter().find(|r| r.2 == result.router).map_or("", |r| r.0.as_str());
        // The request may have been forwarded to another router, and which one is not recorded: any may have delayed it.
        let impaired = topology
            .routers
            .iter()
            .any(|r| timeline.was_down_during(&r.0, result.at, result.at + result.took));
        if result.took > REJECTION_DEADLINE && !impaired {
            audit.rejected_late += 1;
            audit.note(
                "rejected late",
                &format!(
                    "{} at {name} after {:?}: {:?}",
                    result.call.request_id, result.took, result.outcome
                ),
            );
        }
    }
}

/// For each entry and tenant, requests that could be served may not keep failing for more than twelve seconds,
/// counted from the first failure or from when they could be served again.
fn check_recovery(
    audit: &mut Audit,
    record: &RunRecord,
    topology: &Topology,
    replicas: &[Arc<FakeReplica>],
    timeline: &Timeline,
) {
    let mut results_by_entry: BTreeMap<(&str, &str), Vec<&CallResult>> = BTreeMap::new();
    record.responses.iter().for_each(|result| {
        results_by_entry.entry((result.call.entry, result.call.tenant)).or_default().push(result);
    });
    for ((entry, tenant), results) in &mut results_by_entry {
        results.sort_by_key(|result| result.at);
        let mut failing_since: Option<Instant> = None;
        for result in results.iter() {
            if result.outcome == CallOutcome::Done {
                failing_since = None;
                continue;
            }
            let servable_since = timeline.servable_since(
                topology,
                replicas,
                result.call.service,
                &result.call.homes,
                result.at,
                record.began,
            );
            let Some(servable_since) = servable_since else {
                failing_since = None;
                continue;
            };
            let first_failure = *failing_since.get_or_insert(result.at);
            let outage = result.at.saturating_duration_since(first_failure.max(servable_since));
            audit.longest_outage_ms = audit.longest_outage_ms.max(outage.as_millis());
            if outage > RECOVERY_DEADLINE {
                audit.not_served_again += 1;
                audit.note(
                    "not served again",
                    &format!(
                        "{entry} of {tenant}: failing for {} ms, last {:?}",
                        outage.as_millis(),
                        result.outcome
                    ),
                );
                break;
            }
        }
    }
}

/// No run may begin at a replica that left, or in an evacuated zone, after the deadline for it.
fn check_departures(audit: &mut Audit, record: &RunRecord, replicas: &[Arc<FakeReplica>]) {
    for action in record.actions.iter().filter(|x| x.ok) {
        let target = action.fault.target.as_str();
        let later = |kind: FaultKind| {
            let matching = record
                .actions
                .iter()
                .filter(|x| x.started > action.started && x.fault.kind == kind && x.fault.target == target);
            matching.map(|x| x.started).min()
        };
        let (deadline, until) = match action.fault.kind {
            FaultKind::Drain | FaultKind::Remove | FaultKind::Lose | FaultKind::Take | FaultKind::Swap => {
                (DEPARTURE_DEADLINE, None)
            }
            FaultKind::Evacuate | FaultKind::EvacuateAndPatch => {
                (EVACUATION_DEADLINE, later(FaultKind::Restore))
            }
            _ => continue,
        };
        let evacuated = deadline == EVACUATION_DEADLINE;
        let concerned = |replica: &&Arc<FakeReplica>| {
            if evacuated { replica.spec.zone == target } else { replica.id == target }
        };
        let runs: Vec<Instant> = replicas
            .iter()
            .filter(concerned)
            .flat_map(|replica| replica.runs())
            .map(|r| r.at)
            .filter(|at| *at > action.finished && until.is_none_or(|u| *at < u))
            .collect();
        let last = runs.iter().map(|at| at.duration_since(action.finished).as_millis()).max();
        audit.last_run_begun_after_ms.insert(action.label.clone(), last.unwrap_or(0));
        let late = runs.iter().filter(|at| **at > action.finished + deadline).count();
        if evacuated {
            audit.late_in_evacuated_zone += late;
        } else {
            audit.late_at_departed_replica += late;
        }
    }
}
