//! Tests of `simulator::chaos`.

use simulator::{
    chaos::draw_faults,
    deployment::{Firm, deployment},
    fault::FaultKind,
};

/// A seed gives the same plan again, each fault is undone, and no two overlap.
#[test]
fn plans_replay_and_heal() {
    let deployment = deployment(Firm::Rinaldi);
    for seed in 0..50 {
        let p = draw_faults(seed, 90.0, &deployment, true);
        assert_eq!(p, draw_faults(seed, 90.0, &deployment, true));
        let count = |w: &FaultKind| p.iter().filter(|f| f.kind == *w).count();
        assert_eq!(count(&FaultKind::Freeze), count(&FaultKind::Thaw));
        assert_eq!(count(&FaultKind::Cut), count(&FaultKind::Mend));
        assert_eq!(
            count(&FaultKind::Evacuate) + count(&FaultKind::EvacuateAndPatch),
            count(&FaultKind::Restore)
        );
        assert_eq!(count(&FaultKind::KillArea), count(&FaultKind::StartArea));
        // A closing fault may kill what is replaced.
        let down = [FaultKind::Kill, FaultKind::Stop, FaultKind::Dark, FaultKind::Replace]
            .iter()
            .map(count)
            .sum::<usize>();
        assert_eq!(down, count(&FaultKind::Start) + count(&FaultKind::Blank), "{p:?}");
        assert_eq!(count(&FaultKind::KillCore), count(&FaultKind::StartCore));
        assert_eq!(count(&FaultKind::Sour), count(&FaultKind::Sweet));
        assert_eq!(count(&FaultKind::BrownOut), count(&FaultKind::BrownOver));
        assert!(p.windows(2).all(|w| w[0].second <= w[1].second));
    }
}
