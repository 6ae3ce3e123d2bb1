//! Random identifiers are unique even if drawn in the same millisecond by the same process (design 2.5, 4.6).

use common::settings::{Settings, Timing};
use control_plane::{operator::api::random_operation_id, storage::blank_voter};
use std::collections::BTreeSet;

fn settings() -> Settings {
    let address = "127.0.0.1:7100".parse().unwrap();
    Settings {
        cluster: "c".into(),
        node: "s1".into(),
        zone: "a".into(),
        rpc_addr: address,
        http: address,
        rpc_advertise: None,
        http_advertise: None,
        seeds: vec![],
        may_bootstrap: true,
        data: None,
        timing: Timing::default(),
        resources: Default::default(),
        log: "info".into(),
    }
}

/// Data folders may be created at the same clock reading, as after a restart with a reset clock.
#[test]
fn incarnations_are_unique() {
    let all: BTreeSet<_> = (0..1_000).map(|_| blank_voter(&settings()).incarnation).collect();
    assert_eq!(all.len(), 1_000);
}

/// Guards against equal ids of two operations that one voter receives in the same millisecond: the second was answered
/// with the outcome of the first.
#[test]
fn operation_ids_are_unique() {
    let all: BTreeSet<_> = (0..1_000).map(|_| random_operation_id()).collect();
    assert_eq!(all.len(), 1_000);
    assert!(all.iter().all(|operation| common::is_valid_name(operation.as_str())));
}
