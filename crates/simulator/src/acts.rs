//! What happens to a fleet during a run: faults, and what operators do (design 7.4).

use crate::{
    fault::{Fault, What},
    fleet::Fleet,
    papers::{self, Paper},
    sim::disk::DiskCondition,
    standin::StandIn,
};
use eyre::{Result, eyre};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// What operators did and saw during the run.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: Instant,
    /// When it was over: for an operator's call, when it was answered.
    pub done: Instant,
    pub what: String,
    pub fault: Fault,
    pub ok: bool,
    /// For documents: how long until all nodes said that it governs.
    pub governs_ms: Option<u64>,
    pub papers: Vec<Paper>,
}

pub async fn act(f: &mut Fleet, x: &Fault, seed: u64) -> Act {
    let at = Instant::now();
    let what = format!("{}:{:?}:{}", x.second, x.what, x.whom);
    let mut out = Act { at, done: at, what, fault: x.clone(), ok: true, governs_ms: None, papers: vec![] };
    let op = f.operator();
    match x.what {
        What::Apply => papers::apply(&op, x, seed, &mut out).await,
        What::Race => papers::race(&op, x, seed, &mut out).await,
        What::Burst => papers::burst(&op, x, seed, &mut out).await,
        What::EvacuateAndPatch => papers::evacuate_and_patch(&op, x, seed, &mut out).await,
        _ => {
            let res = if x.what >= What::Evacuate { platform(f, x).await } else { machine(f, x).await };
            out.ok = res.unwrap_or(false);
        }
    }
    out.done = Instant::now();
    out
}

/// What befalls machines and links.
async fn machine(f: &mut Fleet, x: &Fault) -> Result<bool> {
    let whom = x.whom.as_str();
    let core: Vec<String> = f.nodes.iter().filter(|n| n.core && !n.spare).map(|n| n.name.clone()).collect();
    match x.what {
        What::Kill => f.node(whom)?.kill().await?,
        What::Stop => drop(f.node(whom)?.stop().await?),
        What::Start => f.start_node(whom)?,
        What::Blank => {
            f.node(whom)?.wipe()?;
            f.start_node(whom)?;
        }
        What::Freeze => f.node(whom)?.freeze()?,
        What::Thaw => f.node(whom)?.thaw()?,
        What::Dark => f.node(whom)?.power_off().await?,
        What::Cut => f.cut(whom),
        What::Mend => f.mend(whom),
        What::KillCore => {
            for n in &core {
                f.node(n)?.kill().await?;
            }
        }
        What::StartCore => {
            for n in core {
                f.start_node(&n)?;
            }
        }
        What::Replace => {
            f.node(whom)?.power_off().await?;
            f.spare_for(whom)?;
        }
        What::SlowDisk => f.node(whom)?.mood(DiskCondition::Slow)?,
        What::StallDisk => f.node(whom)?.mood(DiskCondition::Stalled)?,
        What::FailDisk => f.node(whom)?.mood(DiskCondition::Failing)?,
        What::WellDisk => f.node(whom)?.mood(DiskCondition::Healthy)?,
        _ => return Ok(false),
    }
    Ok(true)
}

/// What befalls replicas and zones, and what the platform does.
async fn platform(f: &mut Fleet, x: &Fault) -> Result<bool> {
    let (whom, op) = (x.whom.as_str(), f.operator());
    let zone: Vec<String> = f.nodes.iter().filter(|n| n.zone == whom).map(|n| n.name.clone()).collect();
    let backs: Vec<Arc<StandIn>> = f.backs.iter().filter(|b| b.shape.zone == whom).cloned().collect();
    match x.what {
        What::Evacuate => return Ok(op.evacuate(whom, true).await),
        What::Restore => return Ok(op.evacuate(whom, false).await),
        What::Crash => f.back(whom)?.crash(),
        What::Cold => f.back(whom)?.start().await?,
        What::Drain => return Ok(op.drain(whom).await),
        What::Remove => return Ok(op.remove(whom).await),
        What::Mute => f.back(whom)?.mute(),
        What::Unmute => f.back(whom)?.unmute().await?,
        What::Lose => {
            f.back(whom)?.crash();
            sleep(Duration::from_secs(1)).await;
            return Ok(op.remove(whom).await);
        }
        What::Take => {
            let ok = op.drain(whom).await;
            sleep(Duration::from_secs(2)).await;
            f.back(whom)?.crash();
            return Ok(op.remove(whom).await && ok);
        }
        What::Swap => {
            let new = f.another(whom).await?;
            let s = &new.shape;
            let ok = op.list(&new.id, &s.service, &s.zone, new.addr).await && op.drain(whom).await;
            sleep(Duration::from_secs(3)).await;
            return Ok(ok && op.remove(whom).await);
        }
        What::BrownOut => f.backs.iter().for_each(|b| b.set_sick(true)),
        What::BrownOver => f.backs.iter().for_each(|b| b.set_sick(false)),
        What::Sour => f.backs.iter().for_each(|b| b.set_sour(true)),
        What::Sweet => f.backs.iter().for_each(|b| b.set_sour(false)),
        What::KillArea => {
            for n in &zone {
                f.node(n)?.kill().await?;
            }
            backs.iter().for_each(|b| b.crash());
        }
        What::StartArea => {
            for n in &zone {
                f.start_node(n)?;
            }
            for b in &backs {
                b.start().await?;
            }
        }
        _ => return Err(eyre!("{:?} is no act of the platform", x.what)),
    }
    Ok(true)
}
