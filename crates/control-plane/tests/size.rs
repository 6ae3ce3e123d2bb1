//! Every change that is logged fits into the short log, a slot and a message, also when changes, failures and
//! elections overlap (design 2.8). Three voters with real files get documents near the size limit.

use common::{Incarnation, Index, Revision, Term, wire};
use control_plane::{
    Change, ClusterState, ReplicaChange, Role,
    consensus::{Event, Record},
    state_machine::state_update,
    storage::FileStore,
    storage::LoadResult,
    types::{LogEntry, NodeInfo, VoterInfo},
};
use rstest::rstest;
use std::collections::VecDeque;

mod file_cluster;
use file_cluster::{DOCUMENT_BYTES, addr, random_text::random_text, start};

/// Documents in quick succession, while one follower is isolated, has a slow disk, or neither.
#[rstest]
#[case::all_reachable(false, false, DOCUMENT_BYTES, 12)]
#[case::one_isolated(true, false, DOCUMENT_BYTES, 12)]
#[case::one_slow(false, true, DOCUMENT_BYTES, 6)]
#[case::many_small_documents(true, false, 60_000, 100)]
fn documents_in_quick_succession_fit(
    #[case] isolated: bool,
    #[case] slow: bool,
    #[case] length: usize,
    #[case] count: u64,
) {
    let dir = tempfile::tempdir().unwrap();
    let mut cluster = start(dir.path());
    cluster.run(5_000);
    let follower = (cluster.leader() + 1) % 3;
    cluster.isolated = isolated.then_some(follower);
    cluster.slow_disk = slow.then(|| (follower, VecDeque::new()));
    for n in 0..count {
        cluster.propose_document(n, length);
        cluster.run(400);
    }
    cluster.isolated = None;
    cluster.slow_disk = None;
    cluster.run(5_000);
    cluster.assert_consistent();
    let leader = cluster.leader();
    let voter = &cluster.voters[leader];
    assert_eq!(voter.cluster_state.revision, Revision(count), "each document is accepted");
    for have in [1, voter.cluster_state.index.0 / 2, voter.cluster_state.index.0 - 1] {
        let update = wire::encode(&state_update::update_since(
            Index(have),
            &voter.cluster_state,
            &voter.log,
            voter.snapshot_index,
            voter.size_limits,
        ))
        .unwrap();
        assert!(update.len() < wire::MAX_FRAME_BYTES, "update of {} bytes after {have}", update.len());
    }
    let log_bytes: usize = voter.log.iter().map(|entry| wire::encode(entry).unwrap().len()).sum();
    assert!(log_bytes <= 3 * DOCUMENT_BYTES, "{log_bytes} bytes of entries are kept in memory");
}

/// Several documents are proposed at once. Those that don't fit are not logged, and no voter fails.
#[rstest]
#[case::one_isolated(true)]
#[case::all_reachable(false)]
fn concurrent_documents_fit(#[case] isolated: bool) {
    let dir = tempfile::tempdir().unwrap();
    let mut cluster = start(dir.path());
    cluster.run(5_000);
    cluster.isolated = isolated.then_some((cluster.leader() + 1) % 3);
    for round in 0..3 {
        (0..6).for_each(|n| cluster.propose_document(round * 10 + n, DOCUMENT_BYTES));
        cluster.run(1_000);
    }
    cluster.isolated = None;
    cluster.run(5_000);
    cluster.assert_consistent();
    assert!(
        cluster.logged_proposals >= 3 && cluster.rejected_proposals >= 1,
        "{} logged, {} rejected",
        cluster.logged_proposals,
        cluster.rejected_proposals
    );
}

/// A new leader takes over a long log, and a voter that was isolated catches up with it.
#[test]
fn a_change_of_leader_fits() {
    let dir = tempfile::tempdir().unwrap();
    let mut cluster = start(dir.path());
    cluster.run(5_000);
    let old_leader = cluster.leader();
    cluster.isolated = Some((old_leader + 1) % 3);
    for n in 0..6 {
        cluster.propose_document(n, DOCUMENT_BYTES);
        cluster.run(400);
    }
    // The leader is isolated while a change is being replicated; the voter that was isolated takes part in the
    // election.
    cluster.propose_document(90, DOCUMENT_BYTES);
    cluster.isolated = Some(old_leader);
    cluster.run(6_000);
    assert_ne!(cluster.leader(), old_leader);
    for n in 10..13 {
        cluster.propose_document(n, DOCUMENT_BYTES);
        cluster.run(400);
    }
    cluster.isolated = None;
    cluster.run(6_000);
    cluster.assert_consistent();
}

fn replica_change(op: &str, id: &str, what: ReplicaChange) -> Change {
    Change::Replica { op: op.into(), id: id.into(), what }
}

/// Lists a replica whose service and zone have long names.
fn list_replica() -> ReplicaChange {
    ReplicaChange::List {
        service: "s".repeat(60).as_str().into(),
        zone: "a".repeat(60).as_str().into(),
        addr: addr(9),
    }
}

/// Callers choose the length of ids in request paths, and outcomes contain these ids: neither may fill the state. A
/// full state still accepts changes that make it smaller.
#[test]
fn the_state_stays_within_its_slot() {
    let dir = tempfile::tempdir().unwrap();
    let mut cluster = start(dir.path());
    cluster.run(5_000);
    cluster.propose_document(0, DOCUMENT_BYTES);
    cluster.run(500);
    let leader = cluster.leader();
    let before = cluster.rejected_proposals;
    for n in 0..3 {
        let long_id = format!("{n}{}", "r".repeat(50_000));
        cluster
            .step(leader, Event::Propose(replica_change(&format!("x{n}"), &long_id, ReplicaChange::Drain)));
    }
    assert_eq!(cluster.rejected_proposals, before + 3, "changes with such ids are not logged");
    let mut n = 0;
    while cluster.rejected_proposals == before + 3 && n < 20_000 {
        n += 1;
        let id = format!("{n:0>60}");
        cluster.step(leader, Event::Propose(replica_change(&format!("l{n:0>60}"), &id, list_replica())));
        if n % 50 == 0 {
            cluster.run(50);
        }
    }
    assert!((1_000..20_000).contains(&n), "{n} replicas fill a slot");
    cluster.run(3_000);
    let (leader, rejected) = (cluster.leader(), cluster.rejected_proposals);
    cluster
        .step(leader, Event::Propose(replica_change("gone", &format!("{:0>60}", 1), ReplicaChange::Remove)));
    assert_eq!(cluster.rejected_proposals, rejected);
    cluster.run(3_000);
    cluster.assert_consistent();
    // The whole state can be loaded from disk.
    let loaded = FileStore::load(&dir.path().join("s0")).unwrap();
    assert!(matches!(loaded, LoadResult::State(state) if state.cluster_state.replicas.len() > 900));
}

/// Nothing is longer than its `max_encoded_len`, by which all limits are computed.
#[test]
fn nothing_is_longer_than_its_maximum_length() {
    let info = NodeInfo {
        node: "n".repeat(64).as_str().into(),
        incarnation: Incarnation(u64::MAX),
        role: Role::Router,
        lang: u32::MAX,
        zone: "a".repeat(64).as_str().into(),
        rpc_addr: "[2001:db8::1:2:3:4]:65535".parse().unwrap(),
        http: "[2001:db8::1:2:3:4]:65535".parse().unwrap(),
    };
    let voter = VoterInfo {
        number: 255,
        incarnation: info.incarnation,
        node: info.node.clone(),
        zone: info.zone.clone(),
        rpc_addr: info.rpc_addr,
        http: info.http,
    };
    let op = || "o".repeat(64).as_str().into();
    let zone = || info.zone.clone();
    let all = [
        Change::Apply { op: op(), base: Revision(u64::MAX), text: random_text(1, 70_000).into() },
        Change::Apply { op: "y".into(), base: Revision(1), text: "t".repeat(70_000).into() },
        Change::Evacuate { op: op(), zone: zone(), on: true, seen: common::Index(u64::MAX) },
        Change::Join(info.clone()),
        Change::Expire { node: info.node.clone(), incarnation: info.incarnation, left: false },
        Change::ConfirmDown { op: op(), node: info.node.clone() },
        Change::ReplaceVoter(voter.clone()),
        replica_change(&"p".repeat(64), &"r".repeat(64), list_replica()),
        replica_change(&"q".repeat(64), &"w".repeat(64), ReplicaChange::Drain),
        Change::Apply { op: "z".into(), base: Revision(0), text: "".into() },
    ];
    let mut state = ClusterState::bootstrapped(&"c".repeat(64), vec![voter.clone(), voter.clone(), voter]);
    let mut entries = vec![];
    for (n, change) in all.into_iter().enumerate() {
        let entry = LogEntry { index: Index(u64::MAX - 100 + n as u64), change };
        assert!(wire::encode(&entry).unwrap().len() <= entry.max_encoded_len(), "{entry:?}");
        let _ = state.apply(entry.index, &entry.change);
        assert!(wire::encode(&state).unwrap().len() <= state.max_encoded_len(), "{state:?}");
        entries.push(entry);
    }
    let record = Record::Install { term: Term(u64::MAX), truncate_to: Index(u64::MAX), entries };
    assert!(wire::encode(&record).unwrap().len() + 32 <= record.max_encoded_len());
}
