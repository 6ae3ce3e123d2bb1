//! One run of a fleet, of processes or simulated: brought up, put under load, audited (design 7.5).

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

/// Retries that a router may make right after its start, beyond the ratio.
const INITIAL_RETRIES_PER_ROUTER: usize = 2;

/// Brings a fleet up, waits `settle` seconds, sends traffic while the faults happen, and audits the run.
pub async fn run(fleet: &mut Fleet, load: &Load, settle: f64, faults: &[Fault]) -> Result<Audit> {
    fleet.bring_up().await.wrap_err("bringing up the fleet")?;
    tokio::time::sleep(Duration::from_secs_f64(settle)).await;
    let mut record = drive(fleet, load, faults).await?;
    // A fault at the very end may take as long to recover from as the requirements allow: 12 s.
    let operator = fleet.operator();
    let mut document = operator.document().await;
    for _ in 0..24 {
        if document.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        document = operator.document().await;
    }
    submissions::resolve_undetermined(&operator, &mut record.actions).await;
    let mut audit = audit(&record, &fleet.replicas, &fleet.topology());
    audit.placements = fleet.counter_by_label("foldshunt_placements_total{").await;
    audit.grants = fleet.counter_by_label("foldshunt_passes_total{").await;
    let attempts = fleet.counter_by_label("foldshunt_goes_total{").await;
    audit.retries = attempts.get("extra").copied().unwrap_or(0.0);
    audit.hops = attempts.get("hop").copied().unwrap_or(0.0);
    audit.retry_ratio = audit.retries / audit.requests.max(1) as f64;
    let routers = fleet.nodes.iter().filter(|n| !n.is_control).count();
    let allowed = MAX_RETRY_RATIO * audit.requests as f64
        + (INITIAL_RETRIES_PER_ROUTER * (routers + record.actions.len())) as f64;
    audit.retries_over_limit = (audit.retries - allowed).max(0.0).ceil() as usize;
    let expected = submissions::newest_accepted(&record.actions, &fleet.deployment.document);
    audit.read_back_exact = Some(document.as_ref() == Some(&expected));
    let refused =
        record.actions.iter().flat_map(|x| &x.submissions).filter(|p| p.outcome == DocumentOutcome::Refused);
    audit.refused_document_read_back = refused.filter(|p| document.as_ref() == Some(&p.text)).count();
    Ok(audit)
}

/// Prints the audit; an error if it found a violation.
pub fn print_audit(audit: &Audit) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(audit)?);
    let violations = audit.violations();
    ensure!(violations.is_empty(), "violations: {violations:?}");
    Ok(())
}
