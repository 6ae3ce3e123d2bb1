//! What a leader appends, and when it appends it again (design 2.3): long entries on long links go once,
//! and heartbeats go meanwhile.

use common::Index;
use std::collections::VecDeque;

mod file_cluster;
use file_cluster::{DOCUMENT_BYTES, FileCluster, start};

/// Feeds to a voter since a moment: those that carry a document, and all.
fn replication_targets(r: &FileCluster, to: usize, since: common::Tick) -> (usize, usize) {
    let to_it = r.appends_sent.iter().filter(|f| f.0 == to && f.1 >= since);
    (to_it.clone().filter(|f| f.2 >= DOCUMENT_BYTES).count(), to_it.count())
}

fn rig(dir: &std::path::Path) -> (FileCluster, usize) {
    let mut r = start(dir);
    r.run(5_000);
    let far = (r.leader() + 1) % 3;
    (r, far)
}

/// Its disk takes a second: nothing is lost, and nothing is sent twice.
#[test]
fn a_long_entry_is_fed_once_while_its_answer_may_be_on_its_way() {
    let dir = tempfile::tempdir().unwrap();
    let (mut r, far) = rig(dir.path());
    r.slow_disk = Some((far, VecDeque::new()));
    let since = r.now;
    r.slow_disk_stalled = true;
    r.propose_document(0, DOCUMENT_BYTES);
    r.run(1_000);
    let (long, all) = replication_targets(&r, far, since);
    assert_eq!(long, 1);
    assert!(all >= 10, "{all} beats in a second");
    r.slow_disk_stalled = false;
    r.run(2_000);
    r.assert_consistent();
}

/// What was lost is fed again, once its answer is overdue and not with every heartbeat.
#[test]
fn a_lost_entry_is_fed_again_when_its_answer_is_overdue() {
    let dir = tempfile::tempdir().unwrap();
    let (mut r, far) = rig(dir.path());
    r.isolated = Some(far);
    let since = r.now;
    r.propose_document(0, DOCUMENT_BYTES);
    r.run(5_000);
    let (long, all) = replication_targets(&r, far, since);
    assert!((3..=5).contains(&long), "{long} times in five seconds");
    assert!(all >= 50, "{all} beats in five seconds");
    r.isolated = None;
    r.run(2_000);
    r.assert_consistent();
}

/// Changes that are logged while a feed is on its way follow with its answer, in their order.
#[test]
fn what_is_logged_meanwhile_follows_with_the_answer() {
    let dir = tempfile::tempdir().unwrap();
    let (mut r, _) = rig(dir.path());
    let at = r.leader();
    let before = r.voters[at].last_index();
    for n in 0..20 {
        r.propose_document(n, 10);
    }
    assert_eq!(r.voters[at].last_index(), Index(before.0 + 20));
    // Once there for the first, there with it and the rest, and there for the last acceptance.
    r.run(75);
    for s in &r.voters {
        assert_eq!(s.last_index(), r.voters[at].last_index());
    }
    r.run(200);
    r.assert_consistent();
}
