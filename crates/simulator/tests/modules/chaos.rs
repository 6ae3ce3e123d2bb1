//! Tests of `simulator::chaos`.

use simulator::{
    chaos::draw_faults,
    deployment::{Firm, deployment},
    fault::FaultKind,
};

/// A seed draws the same faults again, sorted by time, and each fault is undone.
#[test]
fn the_same_seed_draws_the_same_faults_and_each_is_undone() {
    let deployment = deployment(Firm::Rinaldi);
    for seed in 0..50 {
        let faults = draw_faults(seed, 90.0, &deployment, true);
        assert_eq!(faults, draw_faults(seed, 90.0, &deployment, true));
        let count = |w: &FaultKind| faults.iter().filter(|f| f.kind == *w).count();
        assert_eq!(count(&FaultKind::Freeze), count(&FaultKind::Thaw));
        assert_eq!(count(&FaultKind::Cut), count(&FaultKind::Heal));
        assert_eq!(
            count(&FaultKind::Evacuate) + count(&FaultKind::EvacuateAndPatch),
            count(&FaultKind::Restore)
        );
        assert_eq!(count(&FaultKind::KillZone), count(&FaultKind::StartZone));
        // Counted together, since the final faults may kill a node that was replaced.
        let down = [FaultKind::Kill, FaultKind::Stop, FaultKind::PowerOff, FaultKind::Replace]
            .iter()
            .map(count)
            .sum::<usize>();
        assert_eq!(down, count(&FaultKind::Start) + count(&FaultKind::Blank), "{faults:?}");
        assert_eq!(count(&FaultKind::KillCore), count(&FaultKind::StartCore));
        assert_eq!(count(&FaultKind::RejectAll), count(&FaultKind::AcceptAll));
        assert_eq!(count(&FaultKind::BrownOut), count(&FaultKind::BrownOver));
        assert!(faults.windows(2).all(|w| w[0].second <= w[1].second));
    }
}
