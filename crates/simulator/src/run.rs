//! One run of a fleet, of processes or in a world: opened, driven, audited (design 7.5).

use crate::{
    audit::{Audit, audit},
    checks::MAX_RETRY_RATIO,
    fault::Fault,
    fleet::Fleet,
    submissions::{self, DocumentOutcome},
    traffic::{Load, drive},
};
use eyre::{Result, WrapErr, ensure};
use std::time::Duration;

/// Goes that a router may have saved up when it starts.
const INITIAL_RETRIES_PER_ROUTER: usize = 2;

pub async fn run(fleet: &mut Fleet, load: &Load, settle: f64, faults: &[Fault]) -> Result<Audit> {
    fleet.bring_up().await.wrap_err("opening the fleet")?;
    tokio::time::sleep(Duration::from_secs_f64(settle)).await;
    let mut record = drive(fleet, load, faults).await?;
    // A closing fault is given the time that the brief gives to come back.
    let op = fleet.operator();
    let mut document = op.document().await;
    for _ in 0..24 {
        if document.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        document = op.document().await;
    }
    submissions::resolve_undetermined(&op, &mut record.actions).await;
    let mut audit = audit(&record, &fleet.replicas, &fleet.topology());
    audit.placements = fleet.counter_by_label("foldshunt_placements_total{").await;
    audit.passes = fleet.counter_by_label("foldshunt_passes_total{").await;
    let goes = fleet.counter_by_label("foldshunt_goes_total{").await;
    audit.retry_ratio = goes.get("extra").copied().unwrap_or(0.0);
    audit.hops = goes.get("hop").copied().unwrap_or(0.0);
    audit.extra_share = audit.retry_ratio / audit.jobs.max(1) as f64;
    let routers = fleet.nodes.iter().filter(|n| !n.is_control).count();
    let most = MAX_RETRY_RATIO * audit.jobs as f64
        + (INITIAL_RETRIES_PER_ROUTER * (routers + record.actions.len())) as f64;
    audit.extra_over = (audit.retry_ratio - most).max(0.0).ceil() as usize;
    let want = submissions::newest_accepted(&record.actions, &fleet.deployment.document);
    audit.read_back_exact = Some(document.as_ref() == Some(&want));
    let refused =
        record.actions.iter().flat_map(|x| &x.submissions).filter(|p| p.outcome == DocumentOutcome::Refused);
    audit.refused_read_back = refused.filter(|p| document.as_ref() == Some(&p.text)).count();
    Ok(audit)
}

/// Prints the audit; an error where what must never happen did.
pub fn print_audit(audit: &Audit) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(audit)?);
    let bad = audit.violations();
    ensure!(bad.is_empty(), "what must never happen did: {bad:?}");
    Ok(())
}
