//! A plan of faults by seed (design 7.4): each is undone again, and no more than one disk or one
//! zone is lost at a time, which is kind the brief asks to survive. Herds of processes, the whole
//! core among them, are killed and come back with their disks.

use crate::{
    deployment::Deployment,
    fault::{Fault, FaultKind},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// Nothing new begins in the last seconds, so that the end is quiet.
const QUIET_END_S: f64 = 12.0;

pub fn draw_faults(seed: u64, secs: f64, deployment: &Deployment, world: bool) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x0063_6861_6f73);
    let mut out = Vec::new();
    let (mut gone, mut replaced): (Vec<String>, Option<String>) = (Vec::new(), None);
    let mut t = 4.0;
    while t < secs - QUIET_END_S {
        let span: f64 = rng.random_range(2.0..7.0);
        let zone = deployment.zones.choose(&mut rng).map(|a| a.0.to_string()).unwrap_or_default();
        let core = format!("s{}", rng.random_range(1..=3));
        let router = format!("p{}", rng.random_range(1..=9));
        let rep = replica(deployment, &mut rng);
        let alive = !gone.contains(&rep);
        let fault = |second, kind, target| Fault { second, kind, target };
        let both = |a, b, target: String| vec![fault(t, a, target.clone()), fault(t + span, b, target)];
        let one = |a, target: String| vec![fault(t, a, target)];
        // A voter that starts blank must be readmitted before the next machine may be lost.
        let (mut rest, known) = (0.0, replaced.clone());
        let actions = match rng.random_range(0..32) {
            0 | 1 => both(FaultKind::Kill, FaultKind::Start, router),
            2 => both(FaultKind::Freeze, FaultKind::Thaw, router),
            3 => both(FaultKind::Stop, FaultKind::Start, router),
            4 => both(FaultKind::Dark, FaultKind::Start, router),
            5 => both(FaultKind::Kill, FaultKind::Start, core),
            6 => both(FaultKind::Freeze, FaultKind::Thaw, core),
            7 => {
                rest = 6.0;
                both(FaultKind::Kill, FaultKind::Blank, core)
            }
            8 => both(FaultKind::Cut, FaultKind::Mend, core),
            9 => both(FaultKind::Cut, FaultKind::Mend, router),
            10 => both(FaultKind::Cut, FaultKind::Mend, format!("{router}>")),
            11 => both(FaultKind::Cut, FaultKind::Mend, "core".into()),
            12 => both(FaultKind::Cut, FaultKind::Mend, zone),
            13 => both(FaultKind::KillCore, FaultKind::StartCore, String::new()),
            14 => {
                let herd = (1..=9).filter(|_| rng.random_bool(0.5)).map(|n| format!("p{n}"));
                herd.flat_map(|p| both(FaultKind::Kill, FaultKind::Start, p)).collect()
            }
            15 if replaced.is_none() && span > 4.0 => {
                rest = 6.0;
                replaced = Some(core.clone());
                vec![
                    fault(t, FaultKind::Replace, core.clone()),
                    fault(t + span + 4.0, FaultKind::Start, core),
                ]
            }
            16 if world => both(FaultKind::SlowDisk, FaultKind::WellDisk, core),
            17 if world => both(FaultKind::StallDisk, FaultKind::WellDisk, core),
            18 if world => both(FaultKind::FailDisk, FaultKind::WellDisk, core),
            19 => both(FaultKind::Evacuate, FaultKind::Restore, zone),
            20 => both(FaultKind::EvacuateAndPatch, FaultKind::Restore, zone),
            21 if alive => both(FaultKind::Crash, FaultKind::Cold, rep),
            22 if alive => both(FaultKind::Mute, FaultKind::Unmute, rep),
            23 | 24 if alive => {
                gone.push(rep.clone());
                match rng.random_range(0..4) {
                    0 => both(FaultKind::Drain, FaultKind::Remove, rep),
                    1 => one(FaultKind::Lose, rep),
                    2 => one(FaultKind::Take, rep),
                    _ => one(FaultKind::Swap, rep),
                }
            }
            25 if rng.random_bool(0.5) => both(FaultKind::Sour, FaultKind::Sweet, String::new()),
            25 => both(FaultKind::BrownOut, FaultKind::BrownOver, String::new()),
            26 => one(FaultKind::Race, String::new()),
            27 => one(FaultKind::Burst, String::new()),
            28 => both(FaultKind::KillArea, FaultKind::StartArea, zone),
            _ => one(FaultKind::Apply, String::new()),
        };
        // What was replaced is out for good.
        out.extend(actions.into_iter().filter(|a| known.as_ref() != Some(&a.target)));
        t += span + rest + rng.random_range(1.0..4.0);
    }
    if rng.random_bool(0.4) {
        closing(secs, &mut rng, &mut out);
    }
    out.sort_by(|a, b| a.second.total_cmp(&b.second));
    out
}

/// Some days end with a fault just after the last change.
fn closing(secs: f64, rng: &mut SmallRng, out: &mut Vec<Fault>) {
    let fault = |second, kind, target: &str| Fault { second, kind, target: target.into() };
    let last = if rng.random_bool(0.5) { FaultKind::Apply } else { FaultKind::Race };
    out.push(fault(secs - 4.0, last, ""));
    if rng.random_bool(0.5) {
        out.extend([fault(secs - 1.0, FaultKind::KillCore, ""), fault(secs + 1.0, FaultKind::StartCore, "")]);
    } else {
        let s = format!("s{}", rng.random_range(1..=3));
        out.extend([fault(secs - 1.0, FaultKind::Kill, &s), fault(secs + 1.0, FaultKind::Start, &s)]);
    }
}

/// A model replica's name, as the fleet gives them.
fn replica(deployment: &Deployment, rng: &mut SmallRng) -> String {
    let (service, per_zone) = &deployment.replicas[0];
    let n = rng.random_range(0..per_zone.iter().sum::<usize>());
    let mut left = n;
    for (a, count) in per_zone.iter().enumerate() {
        if left < *count {
            return format!("{service}-{}-{n}", deployment.zones[a].0);
        }
        left -= count;
    }
    String::new()
}
