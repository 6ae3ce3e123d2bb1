//! Checks that replicas which came back cold were loaded slowly (design 7.5).

use crate::{actions::Action, audit::Audit, fake_replica::FakeReplica, fault::FaultKind, traffic::RunRecord};
use std::{sync::Arc, time::Duration};

/// A shorter outage may go unnoticed: three health checks and the expiry of a placement home's lease.
const UNDETECTED_OUTAGE: Duration = Duration::from_millis(3_500);
/// How long the load of a started replica is ramped up, in seconds, as set in the deployments' documents.
const SLOW_START_S: f64 = 10.0;

/// A replica that came back cold may have no more open runs than its slow start allows.
pub fn check_slow_start(
    audit: &mut Audit,
    record: &RunRecord,
    action: &Action,
    replicas: &[Arc<FakeReplica>],
) {
    let target = action.fault.target.as_str();
    let concerned = |replica: &&Arc<FakeReplica>| match action.fault.kind {
        FaultKind::Cold => replica.id == target,
        FaultKind::StartZone => replica.spec.zone == target,
        _ => false,
    };
    // When a zone is lost together with the router that tracks its replicas, and is back within three health
    // checks, no router noticed the loss.
    let zone_losses = record.actions.iter().filter(|other| {
        other.fault.kind == FaultKind::KillZone
            && other.fault.target == target
            && other.started < action.started
    });
    let undetected = action.fault.kind == FaultKind::StartZone
        && zone_losses
            .map(|loss| loss.started)
            .max()
            .is_some_and(|at| action.started.duration_since(at) < UNDETECTED_OUTAGE);
    if undetected {
        return;
    }
    for replica in replicas.iter().filter(concerned) {
        let down_again = record.actions.iter().filter(|other| other.started > action.started).find(|other| {
            match other.fault.kind {
                FaultKind::Crash | FaultKind::Mute | FaultKind::Lose | FaultKind::Take => {
                    other.fault.target == replica.id
                }
                FaultKind::KillZone => other.fault.target == replica.spec.zone,
                _ => false,
            }
        });
        let mut most_open = vec![0usize; 15];
        for run in replica.runs().iter().filter(|run| {
            run.began_at > action.started && down_again.is_none_or(|fault| run.began_at < fault.started)
        }) {
            let seconds_up = run.began_at.duration_since(action.started).as_secs_f64();
            if (seconds_up as usize) < most_open.len() {
                most_open[seconds_up as usize] = most_open[seconds_up as usize].max(run.open);
            }
            let slots = replica.spec.slots as f64;
            let allowed = (slots * (seconds_up / SLOW_START_S).max(0.1)).floor().max(1.0) as usize;
            // When the membership changes, a slot may pass to another router, which may begin a run in it before
            // the run of its former holder has ended.
            if seconds_up < SLOW_START_S && run.open > allowed + 1 {
                audit.cold_over_allowance += 1;
                audit.note(
                    "cold replica",
                    &format!(
                        "{} had {} open {seconds_up:.1} s after its return, allowed {allowed}",
                        replica.id, run.open
                    ),
                );
            }
        }
        if replica.spec.service == audit.model {
            audit.most_open_since_cold_start.insert(replica.id.clone(), most_open);
        }
    }
}
