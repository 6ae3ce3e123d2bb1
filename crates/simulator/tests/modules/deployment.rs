//! Tests of `simulator::deployment`.

use simulator::deployment::{Firm, deployment};

/// The brief's sizes, and documents that compile against the replicas they need.
#[test]
fn both_documents_fit_their_deployments() {
    for (f, models, apps) in [(Firm::Bitacora, 18, 3), (Firm::Rinaldi, 11, 3)] {
        let d = deployment(f);
        let count = |n: usize| d.replicas[n].1.iter().sum::<usize>();
        assert_eq!((count(0), count(1)), (models, apps));
        let tab = configuration::compile(&d.document).unwrap();
        assert_eq!(tab.cluster, d.name);
        let listed: Vec<_> = d
            .replicas
            .iter()
            .flat_map(|(s, _)| d.zones.iter().map(|(a, _)| ((*s).into(), (*a).into())))
            .collect();
        assert_eq!(configuration::check_fleet(&d.document, &tab, &listed), vec![]);
        for k in &d.kinds {
            let e = tab.entries.iter().find(|e| e.name == k.entry).unwrap();
            assert_eq!(e.idempotent, !k.once);
        }
    }
}
