//! A few real processes of the same layout, for processor time and resident memory.

use super::{
    ScalePlan,
    layout::Layout,
    run::{furnish, operator},
    usage,
};
use crate::{
    node::{Node, Yard},
    standin::StandIn,
};
use common::http::ask;
use eyre::{Result, ensure, eyre};
use hyper::Method;
use serde::Serialize;
use std::{path::Path, sync::Arc, time::Duration};
use tokio::time::sleep;

#[derive(Clone, Debug, Serialize)]
pub struct RealRow {
    pub origin: &'static str,
    pub layout: Layout,
    pub seconds: f64,
    pub role: String,
    pub holders: usize,
    /// Per cent of one core, mean and most over the holders.
    pub cpu_percent: f64,
    pub cpu_percent_most: f64,
    pub resident: f64,
    pub resident_most: u64,
}

/// Starts the processes, lets them stand for a while without requests, and ends them.
pub async fn real(p: &ScalePlan, nodes: usize, dir: &Path) -> Result<Vec<RealRow>> {
    let lay = Layout { requests: 0.0, ..Layout::of(p, nodes) };
    let bin = std::env::current_exe()?;
    let yard = Yard::Programs(bin.parent().map(Path::to_path_buf).unwrap_or_default());
    let mut fleet = lay.fleet(dir);
    let backs = lay.backs();
    let stopped = common::settings::shutdown_signal()?;
    let res = tokio::select! {
        r = stand(p, lay, &yard, &mut fleet, &backs) => r,
        _ = stopped => Err(eyre!("told to stop")),
    };
    for n in &mut fleet {
        n.kill().await?;
    }
    backs.iter().for_each(|b| b.crash());
    // Their tasks are dropped when they are next looked at; then the ports are free.
    sleep(Duration::from_millis(50)).await;
    res
}

async fn stand(
    p: &ScalePlan,
    lay: Layout,
    yard: &Yard,
    fleet: &mut [Node],
    backs: &[Arc<StandIn>],
) -> Result<Vec<RealRow>> {
    let op = operator(&lay, fleet);
    for n in fleet.iter_mut().filter(|n| n.core) {
        n.start(yard)?;
    }
    furnish(&op, &lay, backs).await?;
    for n in fleet.iter_mut().filter(|n| !n.core) {
        n.start(yard)?;
    }
    for n in fleet.iter().filter(|n| !n.core) {
        let mut ready = false;
        for _ in 0..150 {
            let res = ask(lay.operator(), n.http(), Method::GET, "/readyz", &[], "", 1_000).await;
            ready = res.is_ok_and(|r| r.0.is_success());
            if ready {
                break;
            }
            sleep(Duration::from_millis(200)).await;
        }
        ensure!(ready, "{} is not ready", n.name);
    }
    sleep(Duration::from_secs(6)).await;
    let cpu = |n: &Node| n.pid().and_then(usage::process_ms).unwrap_or(0.0);
    let before: Vec<f64> = fleet.iter().map(cpu).collect();
    sleep(Duration::from_secs_f64(p.seconds)).await;
    let spent: Vec<f64> = fleet.iter().zip(before).map(|(n, b)| (cpu(n) - b) / p.seconds / 10.0).collect();
    let held: Vec<u64> = fleet.iter().map(|n| n.pid().and_then(usage::resident).unwrap_or(0)).collect();
    let status = op.status().await.ok_or_else(|| eyre!("no status"))?;
    let role = |n: &Node| match n.core {
        true if status["leader"] == n.name.as_str() => "core leader",
        true => "core follower",
        false => "router",
    };
    let row = |name: &str| {
        let of: Vec<usize> = (0..fleet.len()).filter(|n| role(&fleet[*n]) == name).collect();
        let part = 1.0 / of.len().max(1) as f64;
        RealRow {
            origin: "real",
            layout: lay,
            seconds: p.seconds,
            role: name.into(),
            holders: of.len(),
            cpu_percent: of.iter().map(|n| spent[*n]).sum::<f64>() * part,
            cpu_percent_most: of.iter().map(|n| spent[*n]).fold(0.0, f64::max),
            resident: of.iter().map(|n| held[*n] as f64).sum::<f64>() * part,
            resident_most: of.iter().map(|n| held[*n]).max().unwrap_or(0),
        }
    };
    Ok(["core leader", "core follower", "router"].into_iter().map(row).collect())
}
