//! What must never be alike by chance of time or process (design 2.5, 4.6).

use common::settings::{Settings, Timing};
use control_plane::{operator::api::random_operation_id, storage::blank_voter};
use std::collections::BTreeSet;

fn settings() -> Settings {
    let at = "127.0.0.1:7100".parse().unwrap();
    Settings {
        cluster: "c".into(),
        node: "s1".into(),
        zone: "a".into(),
        rpc_addr: at,
        http: at,
        rpc_advertise: None,
        http_advertise: None,
        seeds: vec![],
        may_bootstrap: true,
        data: None,
        timing: Timing::default(),
        log: "info".into(),
    }
}

/// Folders that begin in the same millisecond and process, as after a restart with a reset clock.
#[test]
fn no_two_incarnations_are_alike() {
    let all: BTreeSet<_> = (0..1_000).map(|_| blank_voter(&settings()).incarnation).collect();
    assert_eq!(all.len(), 1_000);
}

/// Two operators at one voter in one millisecond: the second was answered with the first one's outcome.
#[test]
fn no_two_operations_share_a_name() {
    let all: BTreeSet<_> = (0..1_000).map(|_| random_operation_id()).collect();
    assert_eq!(all.len(), 1_000);
    assert!(all.iter().all(|o| common::is_valid_name(o.as_str())));
}
