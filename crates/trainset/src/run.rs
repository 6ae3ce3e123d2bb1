//! One run of a fleet, of processes or in a world: opened, driven, audited (design 7.5).

use crate::{
    audit::{Audit, audit},
    drive::{Load, ride},
    fault::Fault,
    fleet::Fleet,
};
use eyre::{Result, WrapErr, ensure};
use std::time::Duration;

pub async fn run(f: &mut Fleet, load: &Load, settle: f64, faults: &[Fault]) -> Result<Audit> {
    f.open().await.wrap_err("opening the fleet")?;
    tokio::time::sleep(Duration::from_secs_f64(settle)).await;
    let r = ride(f, load, faults).await?;
    let mut a = audit(&r, &f.backs, f.dep.replicas[0].0);
    a.placements = f.by_label("foldshunt_placements_total{").await;
    a.passes = f.by_label("foldshunt_passes_total{").await;
    let goes = f.by_label("foldshunt_goes_total{").await;
    a.extra_goes = goes.get("extra").copied().unwrap_or(0.0);
    a.hops = goes.get("hop").copied().unwrap_or(0.0);
    a.extra_share = a.extra_goes / a.jobs.max(1) as f64;
    let newest = r.acts.iter().rev().find_map(|x| x.text.clone());
    let want = newest.unwrap_or(f.dep.document.clone());
    a.read_back_exact = f.operator().shown().await.map(|s| s == want);
    Ok(a)
}

/// Prints the audit; an error where what must never happen did.
pub fn told(a: &Audit) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(a)?);
    let bad = a.violations();
    ensure!(bad.is_empty(), "what must never happen did: {bad:?}");
    Ok(())
}
