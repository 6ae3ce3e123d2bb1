//! A short soak of real control nodes (design 7.2): signals, restarts and lost disks overlap under operators and clients.
//! `simulator soak` runs longer ones.

use rstest::rstest;
use simulator::soak::{SoakPlan, run_seed};
use std::{
    net::{Ipv4Addr, TcpListener},
    path::Path,
};

/// A second octet of loopback addresses that no other soak on this machine uses while the listener is open: clusters at
/// the same addresses would take each other's nodes for their own.
fn reserve_net() -> (u8, TcpListener) {
    let reserve = |net: u8| {
        TcpListener::bind((Ipv4Addr::new(127, net, 250, 1), 7100)).ok().map(|listener| (net, listener))
    };
    (100..250).find_map(reserve).expect("a free range of addresses")
}

/// No acknowledged change is lost or read back older, no process ends by itself, and the cluster recovers. Guards against a cluster that elects no
/// leader any more after two lost disks during the replacement of a frozen voter.
#[rstest]
#[case::five_voters(11, 5, 0)]
#[case::five_voters_by_another_seed(12, 5, 0)]
#[case::three_voters(13, 3, 0)]
#[case::with_routers(14, 3, 20)]
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_disruptions_lose_nothing_acknowledged(
    #[case] seed: u64,
    #[case] voters: u8,
    #[case] routers: u8,
) {
    let (net, _reservation) = reserve_net();
    let dir = tempfile::tempdir().unwrap();
    let plan = SoakPlan {
        from: seed,
        seeds: 1,
        voters,
        routers,
        clients: 8,
        crowd: 16,
        seconds: 20.0,
        net,
        dir: dir.path().into(),
    };
    let programs = Path::new(env!("CARGO_BIN_EXE_simulator")).parent().unwrap();
    let report = run_seed(&plan, seed, programs).await.unwrap();
    println!("{report:?}");
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
    assert!(report.accepted > 10 && report.answers > 100 && report.disruptions > 5, "{report:?}");
}
