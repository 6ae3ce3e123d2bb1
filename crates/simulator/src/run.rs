//! One run of a fleet, of processes or in a world: opened, driven, audited (design 7.5).

use crate::{
    audit::{Audit, audit},
    checks::EXTRA,
    drive::{Load, ride},
    fault::Fault,
    fleet::Fleet,
    papers::{self, DocumentOutcome},
};
use eyre::{Result, WrapErr, ensure};
use std::time::Duration;

/// Goes that a router may have saved up when it starts.
const SAVED: usize = 2;

pub async fn run(f: &mut Fleet, load: &Load, settle: f64, faults: &[Fault]) -> Result<Audit> {
    f.open().await.wrap_err("opening the fleet")?;
    tokio::time::sleep(Duration::from_secs_f64(settle)).await;
    let mut r = ride(f, load, faults).await?;
    // A closing fault is given the time that the brief gives to come back.
    let op = f.operator();
    let mut shown = op.shown().await;
    for _ in 0..24 {
        if shown.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        shown = op.shown().await;
    }
    papers::settle(&op, &mut r.acts).await;
    let mut a = audit(&r, &f.backs, &f.scene());
    a.placements = f.by_label("foldshunt_placements_total{").await;
    a.passes = f.by_label("foldshunt_passes_total{").await;
    let goes = f.by_label("foldshunt_goes_total{").await;
    a.retry_ratio = goes.get("extra").copied().unwrap_or(0.0);
    a.hops = goes.get("hop").copied().unwrap_or(0.0);
    a.extra_share = a.retry_ratio / a.jobs.max(1) as f64;
    let routers = f.nodes.iter().filter(|n| !n.core).count();
    let most = EXTRA * a.jobs as f64 + (SAVED * (routers + r.acts.len())) as f64;
    a.extra_over = (a.retry_ratio - most).max(0.0).ceil() as usize;
    let want = papers::newest(&r.acts, &f.dep.document);
    a.read_back_exact = Some(shown.as_ref() == Some(&want));
    let refused = r.acts.iter().flat_map(|x| &x.papers).filter(|p| p.told == DocumentOutcome::Refused);
    a.refused_read_back = refused.filter(|p| shown.as_ref() == Some(&p.text)).count();
    Ok(a)
}

/// Prints the audit; an error where what must never happen did.
pub fn told(a: &Audit) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(a)?);
    let bad = a.violations();
    ensure!(bad.is_empty(), "what must never happen did: {bad:?}");
    Ok(())
}
