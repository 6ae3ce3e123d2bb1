//! A plan of faults by seed (design 7.4): each is undone again, and no more than one disk or one
//! zone is lost at a time, which is what the brief asks to survive. Herds of processes, the whole
//! core among them, are killed and come back with their disks.

use crate::{
    deployment::Deployment,
    fault::{Fault, What},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// Nothing new begins in the last seconds, so that the end is quiet.
const QUIET: f64 = 12.0;

pub fn plan(seed: u64, secs: f64, dep: &Deployment, world: bool) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x0063_6861_6f73);
    let mut out = Vec::new();
    let (mut gone, mut replaced): (Vec<String>, Option<String>) = (Vec::new(), None);
    let mut t = 4.0;
    while t < secs - QUIET {
        let span: f64 = rng.random_range(2.0..7.0);
        let zone = dep.zones.choose(&mut rng).map(|a| a.0.to_string()).unwrap_or_default();
        let core = format!("s{}", rng.random_range(1..=3));
        let router = format!("p{}", rng.random_range(1..=9));
        let rep = replica(dep, &mut rng);
        let alive = !gone.contains(&rep);
        let fault = |second, what, whom| Fault { second, what, whom };
        let both = |a, b, whom: String| vec![fault(t, a, whom.clone()), fault(t + span, b, whom)];
        let one = |a, whom: String| vec![fault(t, a, whom)];
        // A voter that starts blank must be readmitted before the next machine may be lost.
        let (mut rest, known) = (0.0, replaced.clone());
        let acts = match rng.random_range(0..32) {
            0 | 1 => both(What::Kill, What::Start, router),
            2 => both(What::Freeze, What::Thaw, router),
            3 => both(What::Stop, What::Start, router),
            4 => both(What::Dark, What::Start, router),
            5 => both(What::Kill, What::Start, core),
            6 => both(What::Freeze, What::Thaw, core),
            7 => {
                rest = 6.0;
                both(What::Kill, What::Blank, core)
            }
            8 => both(What::Cut, What::Mend, core),
            9 => both(What::Cut, What::Mend, router),
            10 => both(What::Cut, What::Mend, format!("{router}>")),
            11 => both(What::Cut, What::Mend, "core".into()),
            12 => both(What::Cut, What::Mend, zone),
            13 => both(What::KillCore, What::StartCore, String::new()),
            14 => {
                let herd = (1..=9).filter(|_| rng.random_bool(0.5)).map(|n| format!("p{n}"));
                herd.flat_map(|p| both(What::Kill, What::Start, p)).collect()
            }
            15 if replaced.is_none() && span > 4.0 => {
                rest = 6.0;
                replaced = Some(core.clone());
                vec![fault(t, What::Replace, core.clone()), fault(t + span + 4.0, What::Start, core)]
            }
            16 if world => both(What::SlowDisk, What::WellDisk, core),
            17 if world => both(What::StallDisk, What::WellDisk, core),
            18 if world => both(What::FailDisk, What::WellDisk, core),
            19 => both(What::Evacuate, What::Restore, zone),
            20 => both(What::EvacuateAndPatch, What::Restore, zone),
            21 if alive => both(What::Crash, What::Cold, rep),
            22 if alive => both(What::Mute, What::Unmute, rep),
            23 | 24 if alive => {
                gone.push(rep.clone());
                match rng.random_range(0..4) {
                    0 => both(What::Drain, What::Remove, rep),
                    1 => one(What::Lose, rep),
                    2 => one(What::Take, rep),
                    _ => one(What::Swap, rep),
                }
            }
            25 if rng.random_bool(0.5) => both(What::Sour, What::Sweet, String::new()),
            25 => both(What::BrownOut, What::BrownOver, String::new()),
            26 => one(What::Race, String::new()),
            27 => one(What::Burst, String::new()),
            28 => both(What::KillArea, What::StartArea, zone),
            _ => one(What::Apply, String::new()),
        };
        // What was replaced is out for good.
        out.extend(acts.into_iter().filter(|a| known.as_ref() != Some(&a.whom)));
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
    let fault = |second, what, whom: &str| Fault { second, what, whom: whom.into() };
    let last = if rng.random_bool(0.5) { What::Apply } else { What::Race };
    out.push(fault(secs - 4.0, last, ""));
    if rng.random_bool(0.5) {
        out.extend([fault(secs - 1.0, What::KillCore, ""), fault(secs + 1.0, What::StartCore, "")]);
    } else {
        let s = format!("s{}", rng.random_range(1..=3));
        out.extend([fault(secs - 1.0, What::Kill, &s), fault(secs + 1.0, What::Start, &s)]);
    }
}

/// A model replica's name, as the fleet gives them.
fn replica(dep: &Deployment, rng: &mut SmallRng) -> String {
    let (svc, per_area) = &dep.replicas[0];
    let n = rng.random_range(0..per_area.iter().sum::<usize>());
    let mut left = n;
    for (a, count) in per_area.iter().enumerate() {
        if left < *count {
            return format!("{svc}-{}-{n}", dep.zones[a].0);
        }
        left -= count;
    }
    String::new()
}
