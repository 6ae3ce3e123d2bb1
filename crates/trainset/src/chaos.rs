//! A plan of faults by seed (design 7.4): each is undone again, and no more than one disk machine
//! or one area is out at a time, which is what the brief asks to survive.

use crate::{
    deployment::Deployment,
    fault::{Fault, What},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// Nothing new begins in the last seconds, so that the end is quiet.
const QUIET: f64 = 12.0;

pub fn plan(seed: u64, secs: f64, dep: &Deployment) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x0063_6861_6f73);
    let mut out = Vec::new();
    let mut gone: Vec<String> = Vec::new();
    let mut t = 4.0;
    while t < secs - QUIET {
        let span = rng.random_range(2.0..7.0);
        let area = dep.areas.choose(&mut rng).map(|a| a.0.to_string()).unwrap_or_default();
        let core = format!("s{}", rng.random_range(1..=3));
        let router = format!("p{}", rng.random_range(1..=9));
        let replica = replica(dep, &mut rng);
        let alive = !gone.contains(&replica);
        let fault = |second, what, whom| Fault { second, what, whom };
        let both = |a, b, whom: String| vec![fault(t, a, whom.clone()), fault(t + span, b, whom)];
        let acts = match rng.random_range(0..16) {
            0 | 1 => both(What::Kill, What::Start, router),
            2 => both(What::Freeze, What::Thaw, router),
            3 => both(What::Stop, What::Start, router),
            4 => both(What::Kill, What::Start, core),
            5 => both(What::Freeze, What::Thaw, core),
            6 => both(What::Kill, What::Blank, core),
            7 => both(What::Cut, What::Mend, core),
            8 => both(What::Cut, What::Mend, router),
            9 => both(What::Cut, What::Mend, format!("{router}>")),
            10 => both(What::Evacuate, What::Restore, area),
            11 if alive => both(What::Crash, What::Cold, replica),
            12 if alive => {
                gone.push(replica.clone());
                both(What::Drain, What::Remove, replica)
            }
            13 => vec![fault(t, What::Race, String::new())],
            14 => both(What::KillArea, What::StartArea, area),
            _ => vec![fault(t, What::Apply, String::new())],
        };
        out.extend(acts);
        t += span + rng.random_range(1.0..4.0);
    }
    out
}

/// A model replica's name, as the fleet gives them.
fn replica(dep: &Deployment, rng: &mut SmallRng) -> String {
    let (svc, per_area) = &dep.replicas[0];
    let n = rng.random_range(0..per_area.iter().sum::<usize>());
    let mut left = n;
    for (a, count) in per_area.iter().enumerate() {
        if left < *count {
            return format!("{svc}-{}-{n}", dep.areas[a].0);
        }
        left -= count;
    }
    String::new()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::deployment::{Firm, deployment};

    /// A seed gives the same plan again, each fault is undone, and no two overlap.
    #[test]
    fn plans_replay_and_heal() {
        let dep = deployment(Firm::Rinaldi);
        for seed in 0..50 {
            let p = plan(seed, 90.0, &dep);
            assert_eq!(p, plan(seed, 90.0, &dep));
            let count = |w: &What| p.iter().filter(|f| f.what == *w).count();
            assert_eq!(count(&What::Freeze), count(&What::Thaw));
            assert_eq!(count(&What::Cut), count(&What::Mend));
            assert_eq!(count(&What::Evacuate), count(&What::Restore));
            assert_eq!(count(&What::KillArea), count(&What::StartArea));
            assert_eq!(count(&What::Kill) + count(&What::Stop), count(&What::Start) + count(&What::Blank));
            assert!(p.windows(2).all(|w| w[0].second <= w[1].second));
        }
    }
}
