//! Audits single requests (design 7.5): the answer that the caller got against the runs that replicas logged.

use crate::{
    audit::Audit,
    caller::{CallOutcome, CallResult},
    fake_replica::FakeReplica,
    replica_log::RequestRun,
};
use std::sync::Arc;

/// Audits one request against its runs.
pub fn audit_call(audit: &mut Audit, result: &CallResult, runs: &[(Arc<FakeReplica>, RequestRun)]) {
    let note = |audit: &mut Audit, what: &str| {
        let at: Vec<String> = runs.iter().map(|r| r.0.id.clone()).collect();
        audit.note(what, &format!("{} {:?} ran at {at:?}", result.call.request_id, result.outcome));
    };
    if result.call.once && runs.len() > 1 {
        note(audit, "doubled");
        audit.run_twice += 1;
    }
    if runs.iter().any(|(replica, _)| !result.call.homes.contains(&replica.spec.region.as_str())) {
        note(audit, "misrouted");
        audit.misrouted += 1;
    }
    audit.redirected += usize::from(result.redirected);
    match &result.outcome {
        CallOutcome::Done if runs.is_empty() => {
            note(audit, "done, not run");
            audit.done_not_run += 1;
        }
        CallOutcome::Done => audit.done += 1,
        CallOutcome::Rejected(reason) => {
            audit.rejected += 1;
            *audit.rejection_reasons.entry(reason.clone()).or_default() += 1;
            audit.slowest_rejection_ms = audit.slowest_rejection_ms.max(result.took.as_millis());
            if !runs.is_empty() {
                note(audit, "rejected, yet run");
                audit.rejected_yet_run += 1;
            }
        }
        CallOutcome::Unknown(reason) => {
            audit.unknown += 1;
            *audit.unknown_reasons.entry(reason.clone()).or_default() += 1;
        }
        CallOutcome::Broken(reason) => {
            audit.broken += 1;
            *audit.broken_reasons.entry(reason.clone()).or_default() += 1;
        }
        CallOutcome::NotAsked => audit.not_sent += 1,
        CallOutcome::Garbled(_) => {
            note(audit, "garbled");
            audit.garbled += 1;
        }
        CallOutcome::Other(code) => {
            note(audit, "other");
            *audit.other.entry(*code).or_default() += 1;
        }
    }
}
