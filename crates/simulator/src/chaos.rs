//! Draws the faults of a run by its seed (design 7.4). Each fault is undone. At most one disk or one
//! zone is lost at a time, the most that the requirements ask a fleet to survive. Groups of processes, such as all
//! control nodes, may be killed together; they come back with their disks.

use crate::{
    deployment::Deployment,
    fault::{Fault, FaultKind},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// No fault begins in the last seconds of a run, apart from those of `add_final_faults`.
const QUIET_END_S: f64 = 12.0;

/// The faults of a run of this length. Disk faults are drawn for a simulated fleet only.
pub fn draw_faults(seed: u64, seconds: f64, deployment: &Deployment, simulated: bool) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x0063_6861_6f73);
    let mut faults = Vec::new();
    let (mut removed, mut replaced): (Vec<String>, Option<String>) = (Vec::new(), None);
    let mut start_s = 4.0;
    while start_s < seconds - QUIET_END_S {
        let duration_s: f64 = rng.random_range(2.0..7.0);
        let zone = deployment.zones.choose(&mut rng).map(|(name, _)| name.to_string()).unwrap_or_default();
        let control_node = format!("s{}", rng.random_range(1..=3));
        let router = format!("p{}", rng.random_range(1..=9));
        let replica = draw_model_replica(deployment, &mut rng);
        let in_use = !removed.contains(&replica);
        let fault = |second, kind, target| Fault { second, kind, target };
        let with_undo = |begin, end, target: String| {
            vec![fault(start_s, begin, target.clone()), fault(start_s + duration_s, end, target)]
        };
        let single = |kind, target: String| vec![fault(start_s, kind, target)];
        // A voter that starts with an empty disk must be readmitted before the next machine may be lost.
        let (mut extra_pause_s, already_replaced) = (0.0, replaced.clone());
        let actions = match rng.random_range(0..32) {
            0 | 1 => with_undo(FaultKind::Kill, FaultKind::Start, router),
            2 => with_undo(FaultKind::Freeze, FaultKind::Thaw, router),
            3 => with_undo(FaultKind::Stop, FaultKind::Start, router),
            4 => with_undo(FaultKind::PowerOff, FaultKind::Start, router),
            5 => with_undo(FaultKind::Kill, FaultKind::Start, control_node),
            6 => with_undo(FaultKind::Freeze, FaultKind::Thaw, control_node),
            7 => {
                extra_pause_s = 6.0;
                with_undo(FaultKind::Kill, FaultKind::Blank, control_node)
            }
            8 => with_undo(FaultKind::Cut, FaultKind::Heal, control_node),
            9 => with_undo(FaultKind::Cut, FaultKind::Heal, router),
            10 => with_undo(FaultKind::Cut, FaultKind::Heal, format!("{router}>")),
            11 => with_undo(FaultKind::Cut, FaultKind::Heal, "core".into()),
            12 => with_undo(FaultKind::Cut, FaultKind::Heal, zone),
            13 => with_undo(FaultKind::KillCore, FaultKind::StartCore, String::new()),
            14 => {
                let group = (1..=9).filter(|_| rng.random_bool(0.5)).map(|n| format!("p{n}"));
                group.flat_map(|router| with_undo(FaultKind::Kill, FaultKind::Start, router)).collect()
            }
            15 if replaced.is_none() && duration_s > 4.0 => {
                extra_pause_s = 6.0;
                replaced = Some(control_node.clone());
                vec![
                    fault(start_s, FaultKind::Replace, control_node.clone()),
                    fault(start_s + duration_s + 4.0, FaultKind::Start, control_node),
                ]
            }
            16 if simulated => with_undo(FaultKind::SlowDisk, FaultKind::HealDisk, control_node),
            17 if simulated => with_undo(FaultKind::StallDisk, FaultKind::HealDisk, control_node),
            18 if simulated => with_undo(FaultKind::FailDisk, FaultKind::HealDisk, control_node),
            19 => with_undo(FaultKind::Evacuate, FaultKind::Restore, zone),
            20 => with_undo(FaultKind::EvacuateAndPatch, FaultKind::Restore, zone),
            21 if in_use => with_undo(FaultKind::Crash, FaultKind::Cold, replica),
            22 if in_use => with_undo(FaultKind::Mute, FaultKind::Unmute, replica),
            23 | 24 if in_use => {
                removed.push(replica.clone());
                match rng.random_range(0..4) {
                    0 => with_undo(FaultKind::Drain, FaultKind::Remove, replica),
                    1 => single(FaultKind::Lose, replica),
                    2 => single(FaultKind::Take, replica),
                    _ => single(FaultKind::Swap, replica),
                }
            }
            25 if rng.random_bool(0.5) => {
                with_undo(FaultKind::RejectAll, FaultKind::AcceptAll, String::new())
            }
            25 => with_undo(FaultKind::BrownOut, FaultKind::BrownOver, String::new()),
            26 => single(FaultKind::Race, String::new()),
            27 => single(FaultKind::Burst, String::new()),
            28 => with_undo(FaultKind::KillZone, FaultKind::StartZone, zone),
            _ => single(FaultKind::Apply, String::new()),
        };
        // A control node that was replaced gets no more faults.
        faults.extend(actions.into_iter().filter(|fault| already_replaced.as_ref() != Some(&fault.target)));
        start_s += duration_s + extra_pause_s + rng.random_range(1.0..4.0);
    }
    if rng.random_bool(0.4) {
        add_final_faults(seconds, &mut rng, &mut faults);
    }
    faults.sort_by(|a, b| a.second.total_cmp(&b.second));
    faults
}

/// Adds a change near the end of the run, and a fault right after it.
fn add_final_faults(seconds: f64, rng: &mut SmallRng, faults: &mut Vec<Fault>) {
    let fault = |second, kind, target: &str| Fault { second, kind, target: target.into() };
    let last = if rng.random_bool(0.5) { FaultKind::Apply } else { FaultKind::Race };
    faults.push(fault(seconds - 4.0, last, ""));
    if rng.random_bool(0.5) {
        faults.extend([
            fault(seconds - 1.0, FaultKind::KillCore, ""),
            fault(seconds + 1.0, FaultKind::StartCore, ""),
        ]);
    } else {
        let node = format!("s{}", rng.random_range(1..=3));
        faults.extend([
            fault(seconds - 1.0, FaultKind::Kill, &node),
            fault(seconds + 1.0, FaultKind::Start, &node),
        ]);
    }
}

/// Draws a replica of the model, by the id that the fleet gives it.
fn draw_model_replica(deployment: &Deployment, rng: &mut SmallRng) -> String {
    let (service, per_zone) = &deployment.replicas[0];
    let index = rng.random_range(0..per_zone.iter().sum::<usize>());
    let mut index_in_zone = index;
    for (zone_index, count) in per_zone.iter().enumerate() {
        if index_in_zone < *count {
            return format!("{service}-{}-{index}", deployment.zones[zone_index].0);
        }
        index_in_zone -= count;
    }
    String::new()
}
