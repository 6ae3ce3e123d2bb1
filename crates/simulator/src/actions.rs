//! Carries out the faults of a run, and what operators do (design 7.4).

use crate::{
    fake_replica::FakeReplica,
    fault::{Fault, FaultKind},
    fleet::Fleet,
    sim::disk::DiskCondition,
    submissions::{self, Submission},
};
use eyre::{Result, eyre};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// A fault that was carried out, and what came of it.
#[derive(Clone, Debug)]
pub struct Action {
    /// When it began.
    pub started: Instant,
    /// When it was complete; for an operator's call, when it was answered.
    pub finished: Instant,
    /// `SECOND:WHAT:WHOM`, as printed in the audit.
    pub label: String,
    /// The fault.
    pub fault: Fault,
    /// Whether it could be carried out, and was accepted where an operator asked.
    pub succeeded: bool,
    /// For a document: how long until all nodes confirmed that they use it, in milliseconds.
    pub in_force_ms: Option<u64>,
    /// The documents submitted.
    pub submissions: Vec<Submission>,
}

/// Carries out one fault; `seed` makes its operation ids unique.
pub async fn perform(fleet: &mut Fleet, fault: &Fault, seed: u64) -> Action {
    let started = Instant::now();
    let label = format!("{}:{:?}:{}", fault.second, fault.kind, fault.target);
    let mut action = Action {
        started,
        finished: started,
        label,
        fault: fault.clone(),
        succeeded: true,
        in_force_ms: None,
        submissions: vec![],
    };
    let operator = fleet.operator();
    match fault.kind {
        FaultKind::Apply => submissions::apply(&operator, fault, seed, &mut action).await,
        FaultKind::Race => submissions::race(&operator, fault, seed, &mut action).await,
        FaultKind::Burst => submissions::burst(&operator, fault, seed, &mut action).await,
        FaultKind::EvacuateAndPatch => {
            submissions::evacuate_and_patch(&operator, fault, seed, &mut action).await;
        }
        _ => {
            let result = if fault.kind >= FaultKind::Evacuate {
                apply_to_platform(fleet, fault).await
            } else {
                apply_to_machines(fleet, fault).await
            };
            action.succeeded = result.unwrap_or(false);
        }
    }
    action.finished = Instant::now();
    action
}

/// Faults of machines, links and disks.
async fn apply_to_machines(fleet: &mut Fleet, fault: &Fault) -> Result<bool> {
    let target = fault.target.as_str();
    let control_nodes: Vec<String> = fleet
        .nodes
        .iter()
        .filter(|node| node.is_control && !node.is_replacement)
        .map(|node| node.name.clone())
        .collect();
    match fault.kind {
        FaultKind::Kill => fleet.node(target)?.kill().await?,
        FaultKind::Stop => drop(fleet.node(target)?.stop().await?),
        FaultKind::Start => fleet.start_node(target)?,
        FaultKind::Blank => {
            fleet.node(target)?.wipe()?;
            fleet.start_node(target)?;
        }
        FaultKind::Freeze => fleet.node(target)?.freeze()?,
        FaultKind::Thaw => fleet.node(target)?.thaw()?,
        FaultKind::PowerOff => fleet.node(target)?.power_off().await?,
        FaultKind::Cut => fleet.cut(target),
        FaultKind::Heal => fleet.heal(target),
        FaultKind::KillCore => {
            for name in &control_nodes {
                fleet.node(name)?.kill().await?;
            }
        }
        FaultKind::StartCore => {
            for name in control_nodes {
                fleet.start_node(&name)?;
            }
        }
        FaultKind::Replace => {
            fleet.node(target)?.power_off().await?;
            fleet.start_replacement(target)?;
        }
        FaultKind::SlowDisk => fleet.node(target)?.set_disk_condition(DiskCondition::Slow)?,
        FaultKind::StallDisk => fleet.node(target)?.set_disk_condition(DiskCondition::Stalled)?,
        FaultKind::FailDisk => fleet.node(target)?.set_disk_condition(DiskCondition::Failing)?,
        FaultKind::HealDisk => fleet.node(target)?.set_disk_condition(DiskCondition::Healthy)?,
        _ => return Ok(false),
    }
    Ok(true)
}

/// Faults of replicas and zones, and what operators and the platform do.
async fn apply_to_platform(fleet: &mut Fleet, fault: &Fault) -> Result<bool> {
    let (target, operator) = (fault.target.as_str(), fleet.operator());
    let zone_nodes: Vec<String> =
        fleet.nodes.iter().filter(|node| node.zone == target).map(|node| node.name.clone()).collect();
    let replicas: Vec<Arc<FakeReplica>> =
        fleet.replicas.iter().filter(|replica| replica.spec.zone == target).cloned().collect();
    match fault.kind {
        FaultKind::Evacuate => return Ok(operator.evacuate(target, true).await),
        FaultKind::Restore => return Ok(operator.evacuate(target, false).await),
        FaultKind::Crash => fleet.replica(target)?.crash(),
        FaultKind::Cold => fleet.replica(target)?.start().await?,
        FaultKind::Drain => return Ok(operator.drain(target).await),
        FaultKind::Remove => return Ok(operator.remove(target).await),
        FaultKind::Mute => fleet.replica(target)?.mute(),
        FaultKind::Unmute => fleet.replica(target)?.unmute().await?,
        FaultKind::Lose => {
            fleet.replica(target)?.crash();
            sleep(Duration::from_secs(1)).await;
            return Ok(operator.remove(target).await);
        }
        FaultKind::Take => {
            let accepted = operator.drain(target).await;
            sleep(Duration::from_secs(2)).await;
            fleet.replica(target)?.crash();
            return Ok(operator.remove(target).await && accepted);
        }
        FaultKind::Swap => {
            let new = fleet.start_replica_like(target).await?;
            let spec = &new.spec;
            let accepted = operator.list(&new.id, &spec.service, &spec.zone, new.addr).await
                && operator.drain(target).await;
            sleep(Duration::from_secs(3)).await;
            return Ok(accepted && operator.remove(target).await);
        }
        FaultKind::BrownOut => fleet.replicas.iter().for_each(|replica| replica.set_unhealthy(true)),
        FaultKind::BrownOver => fleet.replicas.iter().for_each(|replica| replica.set_unhealthy(false)),
        FaultKind::RejectAll => fleet.replicas.iter().for_each(|replica| replica.set_rejecting(true)),
        FaultKind::AcceptAll => fleet.replicas.iter().for_each(|replica| replica.set_rejecting(false)),
        FaultKind::KillZone => {
            for name in &zone_nodes {
                fleet.node(name)?.kill().await?;
            }
            replicas.iter().for_each(|replica| replica.crash());
        }
        FaultKind::StartZone => {
            for name in &zone_nodes {
                fleet.start_node(name)?;
            }
            for replica in &replicas {
                replica.start().await?;
            }
        }
        _ => return Err(eyre!("{:?} does not concern replicas or zones", fault.kind)),
    }
    Ok(true)
}
