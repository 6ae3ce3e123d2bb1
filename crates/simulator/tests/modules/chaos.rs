//! Tests of `simulator::chaos`.

use simulator::{
    chaos::plan,
    deployment::{Firm, deployment},
    fault::What,
};

/// A seed gives the same plan again, each fault is undone, and no two overlap.
#[test]
fn plans_replay_and_heal() {
    let dep = deployment(Firm::Rinaldi);
    for seed in 0..50 {
        let p = plan(seed, 90.0, &dep, true);
        assert_eq!(p, plan(seed, 90.0, &dep, true));
        let count = |w: &What| p.iter().filter(|f| f.what == *w).count();
        assert_eq!(count(&What::Freeze), count(&What::Thaw));
        assert_eq!(count(&What::Cut), count(&What::Mend));
        assert_eq!(count(&What::Evacuate) + count(&What::EvacuateAndPatch), count(&What::Restore));
        assert_eq!(count(&What::KillArea), count(&What::StartArea));
        // A closing fault may kill what is replaced.
        let down = [What::Kill, What::Stop, What::Dark, What::Replace].iter().map(count).sum::<usize>();
        assert_eq!(down, count(&What::Start) + count(&What::Blank), "{p:?}");
        assert_eq!(count(&What::KillCore), count(&What::StartCore));
        assert_eq!(count(&What::Sour), count(&What::Sweet));
        assert_eq!(count(&What::BrownOut), count(&What::BrownOver));
        assert!(p.windows(2).all(|w| w[0].second <= w[1].second));
    }
}
