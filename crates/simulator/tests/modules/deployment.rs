//! Tests of `simulator::deployment`.

use simulator::deployment::{Firm, deployment};

/// Both deployments have the required numbers of replicas, and documents that compile and fit these replicas.
#[test]
fn both_documents_fit_their_deployments() {
    for (firm, models, others) in [(Firm::Bitacora, 18, 3), (Firm::Rinaldi, 11, 3)] {
        let deployment = deployment(firm);
        let count = |n: usize| deployment.replicas[n].1.iter().sum::<usize>();
        assert_eq!((count(0), count(1)), (models, others));
        let table = configuration::compile(&deployment.document).unwrap();
        assert_eq!(table.cluster, deployment.name);
        let listed: Vec<_> = deployment
            .replicas
            .iter()
            .flat_map(|(service, _)| {
                deployment.zones.iter().map(|(zone, _)| ((*service).into(), (*zone).into()))
            })
            .collect();
        assert_eq!(configuration::check_fleet(&deployment.document, &table, &listed), vec![]);
        for kind in &deployment.kinds {
            let entry = table.entries.iter().find(|entry| entry.name == kind.entry).unwrap();
            assert_eq!(entry.idempotent, !kind.once);
        }
    }
}
