//! What must never happen, looked for in what callers heard and replicas logged (design 7.5).

use crate::{
    actions::Action,
    audit::Audit,
    caller::{CallOutcome, CallResult},
    fake_replica::FakeReplica,
    fault::FaultKind,
    submissions::DocumentOutcome,
    timeline::{Timeline, Topology},
    traffic::RunRecord,
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// The brief's bounds.
pub const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(3);
pub const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);
pub const DEPARTURE_DEADLINE: Duration = Duration::from_secs(4);
pub const EVACUATION_DEADLINE: Duration = Duration::from_secs(5);
pub const MAX_RETRY_RATIO: f64 = 0.2;
/// A reject may follow a wait for room of two checks, three connects and a node's joining.
pub const REJECTION_DEADLINE: Duration = Duration::from_secs(5);
/// Three checks and the expire of a home.
const UNDETECTED_OUTAGE: Duration = Duration::from_millis(3_500);
/// As in the documents: the ramp of a replica that came up.
const SLOW_START_S: f64 = 10.0;

pub fn checks(a: &mut Audit, record: &RunRecord, topology: &Topology, replicas: &[Arc<FakeReplica>]) {
    let t = Timeline::from_actions(&record.actions, topology, replicas);
    documents(a, record);
    rejections(a, record, topology, &t);
    gaps(a, record, topology, replicas, &t);
    departures(a, record, replicas);
    record.actions.iter().for_each(|x| cold(a, record, x, replicas));
    let planned = record.actions.iter().all(|x| x.fault.kind.planned());
    a.dropped_in_planned_work =
        if planned { a.broken + a.unknown + a.other.values().sum::<usize>() } else { 0 };
}

/// A job that began three seconds after a document was told as accepted goes by that one or a
/// newer; and no router answers by an older one than it did before.
fn documents(a: &mut Audit, record: &RunRecord) {
    let revision_of = |h: &CallResult| h.revision;
    for p in record.actions.iter().flat_map(|x| &x.submissions) {
        let DocumentOutcome::Accepted(rev) = p.outcome else { continue };
        let late =
            |h: &&CallResult| h.at > p.at + CONFIGURATION_DEADLINE && revision_of(h).is_some_and(|v| v < rev);
        let found: Vec<&CallResult> = record.responses.iter().filter(late).collect();
        a.governed_late += found.len();
        found
            .iter()
            .take(1)
            .for_each(|h| a.note("governed late", &format!("{} by {:?}, not {rev}", h.call.job, h.revision)));
    }
    let mut by: BTreeMap<SocketAddr, Vec<&CallResult>> = BTreeMap::new();
    record
        .responses
        .iter()
        .filter(|h| h.revision.is_some())
        .for_each(|h| by.entry(h.router).or_default().push(h));
    for v in by.values_mut() {
        v.sort_by_key(|h| h.at);
        let mut ends: Vec<(Instant, u64)> =
            v.iter().filter_map(|h| Some((h.at + h.took, h.revision?))).collect();
        ends.sort();
        let (mut n, mut high) = (0, 0);
        for h in v.iter() {
            while n < ends.len() && ends[n].0 < h.at {
                high = high.max(ends[n].1);
                n += 1;
            }
            a.went_back += usize::from(h.revision.is_some_and(|r| r < high));
        }
    }
}

/// Told at once, with when to come back; what a frozen or cut-off router holds up is no fault of its own.
fn rejections(a: &mut Audit, record: &RunRecord, topology: &Topology, t: &Timeline) {
    for h in record.responses.iter().filter(|h| matches!(h.outcome, CallOutcome::Rejected(_))) {
        if h.code == 503 && h.retry_after.is_none() {
            a.bounced_without_retry_after += 1;
        }
        let name = topology.routers.iter().find(|r| r.2 == h.router).map_or("", |r| r.0.as_str());
        // A hop may have waited at another router; then its fate is not known here.
        let frozen = topology.routers.iter().any(|r| t.was_down_during(&r.0, h.at, h.at + h.took));
        if h.took > REJECTION_DEADLINE && !frozen {
            a.bounced_late += 1;
            a.note("bounced late", &format!("{} at {name} after {:?}: {:?}", h.call.job, h.took, h.outcome));
        }
    }
}

/// For each entry and tenant: from the first job that failed where it could have been served, to one
/// that still fails, all the while servable, at most twelve seconds.
fn gaps(a: &mut Audit, record: &RunRecord, topology: &Topology, replicas: &[Arc<FakeReplica>], t: &Timeline) {
    let mut by: BTreeMap<(&str, &str), Vec<&CallResult>> = BTreeMap::new();
    record.responses.iter().for_each(|h| by.entry((h.call.entry, h.call.tenant)).or_default().push(h));
    for ((entry, tenant), v) in &mut by {
        v.sort_by_key(|h| h.at);
        let mut failing: Option<Instant> = None;
        for h in v.iter() {
            if h.outcome == CallOutcome::Done {
                failing = None;
                continue;
            }
            let since =
                t.servable_since(topology, replicas, h.call.service, &h.call.homes, h.at, record.began);
            let Some(since) = since else {
                failing = None;
                continue;
            };
            let first = *failing.get_or_insert(h.at);
            let gap = h.at.saturating_duration_since(first.max(since));
            a.longest_outage_ms = a.longest_outage_ms.max(gap.as_millis());
            if gap > RECOVERY_DEADLINE {
                a.not_back += 1;
                a.note(
                    "not back",
                    &format!("{entry} of {tenant}: {} ms, last {:?}", gap.as_millis(), h.outcome),
                );
                break;
            }
        }
    }
}

/// Runs that began where nothing new may begin any more.
fn departures(a: &mut Audit, record: &RunRecord, replicas: &[Arc<FakeReplica>]) {
    for act in record.actions.iter().filter(|x| x.ok) {
        let target = act.fault.target.as_str();
        let later = |w: FaultKind| {
            let it = record
                .actions
                .iter()
                .filter(|x| x.started > act.started && x.fault.kind == w && x.fault.target == target);
            it.map(|x| x.started).min()
        };
        let (span, until) = match act.fault.kind {
            FaultKind::Drain | FaultKind::Remove | FaultKind::Lose | FaultKind::Take | FaultKind::Swap => {
                (DEPARTURE_DEADLINE, None)
            }
            FaultKind::Evacuate | FaultKind::EvacuateAndPatch => {
                (EVACUATION_DEADLINE, later(FaultKind::Restore))
            }
            _ => continue,
        };
        let evacuated = span == EVACUATION_DEADLINE;
        let there = |b: &&Arc<FakeReplica>| if evacuated { b.spec.zone == target } else { b.id == target };
        let runs: Vec<Instant> = replicas
            .iter()
            .filter(there)
            .flat_map(|b| b.runs())
            .map(|r| r.at)
            .filter(|at| *at > act.finished && until.is_none_or(|u| *at < u))
            .collect();
        let last = runs.iter().map(|at| at.duration_since(act.finished).as_millis()).max();
        a.last_begun_after_ms.insert(act.label.clone(), last.unwrap_or(0));
        let late = runs.iter().filter(|at| **at > act.finished + span).count();
        if evacuated {
            a.late_at_evacuated += late;
        } else {
            a.late_at_departed += late;
        }
    }
}

/// What was open at a replica that came back cold, against the most that its ramp allows.
fn cold(a: &mut Audit, record: &RunRecord, act: &Action, replicas: &[Arc<FakeReplica>]) {
    let target = act.fault.target.as_str();
    let whose = |b: &&Arc<FakeReplica>| match act.fault.kind {
        FaultKind::Cold => b.id == target,
        FaultKind::StartArea => b.spec.zone == target,
        _ => false,
    };
    // A zone that was lost with the home of its figures, and is back before three checks, was never
    // seen to be gone.
    let lost = record.actions.iter().filter(|x| {
        x.fault.kind == FaultKind::KillArea && x.fault.target == target && x.started < act.started
    });
    let unseen = act.fault.kind == FaultKind::StartArea
        && lost.map(|x| x.started).max().is_some_and(|at| act.started.duration_since(at) < UNDETECTED_OUTAGE);
    if unseen {
        return;
    }
    for b in replicas.iter().filter(whose) {
        let gone = record.actions.iter().filter(|x| x.started > act.started).find(|x| match x.fault.kind {
            FaultKind::Crash | FaultKind::Mute | FaultKind::Lose | FaultKind::Take => x.fault.target == b.id,
            FaultKind::KillArea => x.fault.target == b.spec.zone,
            _ => false,
        });
        let mut most = vec![0usize; 15];
        for r in b.runs().iter().filter(|r| r.at > act.started && gone.is_none_or(|g| r.at < g.started)) {
            let up = r.at.duration_since(act.started).as_secs_f64();
            if (up as usize) < most.len() {
                most[up as usize] = most[up as usize].max(r.open);
            }
            let slots = b.spec.slots as f64;
            let allowed = (slots * (up / SLOW_START_S).max(0.1)).floor().max(1.0) as usize;
            // A place changes hands with the membership: one job may end at the old holder while the
            // new one begins another.
            if up < SLOW_START_S && r.open > allowed + 1 {
                a.cold_over_allowance += 1;
                a.note(
                    "cold",
                    &format!("{} had {} open {up:.1} s after its return, allowed {allowed}", b.id, r.open),
                );
            }
        }
        if b.spec.service == a.model {
            a.cold_open.insert(b.id.clone(), most);
        }
    }
}
