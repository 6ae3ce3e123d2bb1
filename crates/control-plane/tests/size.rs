//! Whatever is accepted for logging fits the short log, the slot and the wire, in every
//! interleaving (design 2.8): three voters on real files, with documents near their limit.

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

/// Documents in quick succession, while a follower is cut off, slow, or neither.
#[rstest]
#[case::all_there(false, false, DOCUMENT_BYTES, 12)]
#[case::one_cut_off(true, false, DOCUMENT_BYTES, 12)]
#[case::one_slow(false, true, DOCUMENT_BYTES, 6)]
#[case::many_small_ones(true, false, 60_000, 100)]
fn quick_documents_fit(#[case] cut: bool, #[case] slow: bool, #[case] len: usize, #[case] count: u64) {
    let dir = tempfile::tempdir().unwrap();
    let mut r = start(dir.path());
    r.run(5_000);
    let far = (r.leader() + 1) % 3;
    r.isolated = cut.then_some(far);
    r.slow_disk = slow.then(|| (far, VecDeque::new()));
    for n in 0..count {
        r.propose_document(n, len);
        r.run(400);
    }
    r.isolated = None;
    r.slow_disk = None;
    r.run(5_000);
    r.assert_consistent();
    let at = r.leader();
    let s = &r.voters[at];
    assert_eq!(s.cluster_state.revision, Revision(count), "each was accepted");
    for have in [1, s.cluster_state.index.0 / 2, s.cluster_state.index.0 - 1] {
        let told = wire::encode(&state_update::update_since(
            Index(have),
            &s.cluster_state,
            &s.log,
            s.snapshot_index,
            s.size_limits,
        ))
        .unwrap();
        assert!(told.len() < wire::MAX_FRAME_BYTES, "news of {} bytes after {have}", told.len());
    }
    let kept: usize = s.log.iter().map(|e| wire::encode(e).unwrap().len()).sum();
    assert!(kept <= 3 * DOCUMENT_BYTES, "{kept} bytes of entries are kept in memory");
}

/// Racing documents, all at once: what does not fit now is not logged, and nothing dies of it.
#[rstest]
#[case::one_cut_off(true)]
#[case::all_there(false)]
fn racing_documents_fit(#[case] cut: bool) {
    let dir = tempfile::tempdir().unwrap();
    let mut r = start(dir.path());
    r.run(5_000);
    r.isolated = cut.then_some((r.leader() + 1) % 3);
    for round in 0..3 {
        (0..6).for_each(|n| r.propose_document(round * 10 + n, DOCUMENT_BYTES));
        r.run(1_000);
    }
    r.isolated = None;
    r.run(5_000);
    r.assert_consistent();
    assert!(
        r.logged_proposals >= 3 && r.rejected_proposals >= 1,
        "{} logged, {} not",
        r.logged_proposals,
        r.rejected_proposals
    );
}

/// A new leader with long tails to take over, and a voter that comes back to them.
#[test]
fn a_change_of_view_fits() {
    let dir = tempfile::tempdir().unwrap();
    let mut r = start(dir.path());
    r.run(5_000);
    let old = r.leader();
    r.isolated = Some((old + 1) % 3);
    for n in 0..6 {
        r.propose_document(n, DOCUMENT_BYTES);
        r.run(400);
    }
    // The leader goes away with changes on their way; the one that was cut off helps to elect.
    r.propose_document(90, DOCUMENT_BYTES);
    r.isolated = Some(old);
    r.run(6_000);
    assert_ne!(r.leader(), old);
    for n in 10..13 {
        r.propose_document(n, DOCUMENT_BYTES);
        r.run(400);
    }
    r.isolated = None;
    r.run(6_000);
    r.assert_consistent();
}

fn named(op: &str, id: &str, what: ReplicaChange) -> Change {
    Change::Replica { op: op.into(), id: id.into(), what }
}

fn list() -> ReplicaChange {
    ReplicaChange::List {
        service: "s".repeat(60).as_str().into(),
        zone: "a".repeat(60).as_str().into(),
        addr: addr(9),
    }
}

/// Names from a path are as long as a caller likes, and outcomes name them: neither may fill the
/// state. A state that is full still takes what makes it smaller.
#[test]
fn the_whole_state_stays_within_its_slot() {
    let dir = tempfile::tempdir().unwrap();
    let mut r = start(dir.path());
    r.run(5_000);
    r.propose_document(0, DOCUMENT_BYTES);
    r.run(500);
    let at = r.leader();
    let before = r.rejected_proposals;
    for n in 0..3 {
        let long = format!("{n}{}", "r".repeat(50_000));
        r.step(at, Event::Propose(named(&format!("x{n}"), &long, ReplicaChange::Drain)));
    }
    assert_eq!(r.rejected_proposals, before + 3, "such names are not logged");
    let mut n = 0;
    while r.rejected_proposals == before + 3 && n < 20_000 {
        n += 1;
        let id = format!("{n:0>60}");
        r.step(at, Event::Propose(named(&format!("l{n:0>60}"), &id, list())));
        if n % 50 == 0 {
            r.run(50);
        }
    }
    assert!((1_000..20_000).contains(&n), "{n} replicas fill a slot");
    r.run(3_000);
    let (at, rejected) = (r.leader(), r.rejected_proposals);
    r.step(at, Event::Propose(named("gone", &format!("{:0>60}", 1), ReplicaChange::Remove)));
    assert_eq!(r.rejected_proposals, rejected);
    r.run(3_000);
    r.assert_consistent();
    // What is on disk is read back whole.
    let back = FileStore::load(&dir.path().join("s0")).unwrap();
    assert!(matches!(back, LoadResult::State(i) if i.cluster_state.replicas.len() > 900));
}

/// Weights bound the real lengths: all room is reckoned by them.
#[test]
fn nothing_is_longer_than_its_weight() {
    let info = NodeInfo {
        node: "n".repeat(64).as_str().into(),
        incarnation: Incarnation(u64::MAX),
        role: Role::Router,
        lang: u32::MAX,
        zone: "a".repeat(64).as_str().into(),
        rpc_addr: "[2001:db8::1:2:3:4]:65535".parse().unwrap(),
        http: "[2001:db8::1:2:3:4]:65535".parse().unwrap(),
    };
    let holder = VoterInfo {
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
        Change::ReplaceVoter(holder.clone()),
        named(&"p".repeat(64), &"r".repeat(64), list()),
        named(&"q".repeat(64), &"w".repeat(64), ReplicaChange::Drain),
        Change::Apply { op: "z".into(), base: Revision(0), text: "".into() },
    ];
    let mut l = ClusterState::bootstrapped(&"c".repeat(64), vec![holder.clone(), holder.clone(), holder]);
    let mut told = vec![];
    for (n, change) in all.into_iter().enumerate() {
        let e = LogEntry { index: Index(u64::MAX - 100 + n as u64), change };
        assert!(wire::encode(&e).unwrap().len() <= e.max_encoded_len(), "{e:?}");
        let _ = l.apply(e.index, &e.change);
        assert!(wire::encode(&l).unwrap().len() <= l.max_encoded_len(), "{l:?}");
        told.push(e);
    }
    let record = Record::Install { term: Term(u64::MAX), truncate_to: Index(u64::MAX), entries: told };
    assert!(wire::encode(&record).unwrap().len() + 32 <= record.max_encoded_len());
}
