//! When a leader sends entries and when it resends them (design 2.3): a long entry is sent once while its reply may be
//! in transit, and heartbeats continue meanwhile.

use common::Index;
use std::collections::VecDeque;

mod file_cluster;
use file_cluster::{DOCUMENT_BYTES, FileCluster, start};

/// Number of appends sent to a voter since a time: those with a long document, and all.
fn appends_to(cluster: &FileCluster, to: usize, since: common::Tick) -> (usize, usize) {
    let appends = cluster.appends_sent.iter().filter(|append| append.0 == to && append.1 >= since);
    (appends.clone().filter(|append| append.2 >= DOCUMENT_BYTES).count(), appends.count())
}

/// A running cluster and the number of one of its followers.
fn started_cluster(dir: &std::path::Path) -> (FileCluster, usize) {
    let mut cluster = start(dir);
    cluster.run(5_000);
    let follower = (cluster.leader() + 1) % 3;
    (cluster, follower)
}

/// A follower's disk takes a second to sync: the entry is sent once, and heartbeats continue.
#[test]
fn a_long_entry_is_sent_once_while_its_reply_may_be_in_transit() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cluster, follower) = started_cluster(dir.path());
    cluster.slow_disk = Some((follower, VecDeque::new()));
    let since = cluster.now;
    cluster.slow_disk_stalled = true;
    cluster.propose_document(0, DOCUMENT_BYTES);
    cluster.run(1_000);
    let (long, all) = appends_to(&cluster, follower, since);
    assert_eq!(long, 1);
    assert!(all >= 10, "{all} appends in a second");
    cluster.slow_disk_stalled = false;
    cluster.run(2_000);
    cluster.assert_consistent();
}

/// A lost entry is sent again when its reply is overdue, not with every heartbeat.
#[test]
fn a_lost_entry_is_sent_again_when_its_reply_is_overdue() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cluster, follower) = started_cluster(dir.path());
    cluster.isolated = Some(follower);
    let since = cluster.now;
    cluster.propose_document(0, DOCUMENT_BYTES);
    cluster.run(5_000);
    let (long, all) = appends_to(&cluster, follower, since);
    assert!((3..=5).contains(&long), "{long} times in five seconds");
    assert!(all >= 50, "{all} appends in five seconds");
    cluster.isolated = None;
    cluster.run(2_000);
    cluster.assert_consistent();
}

/// Changes that are logged while an append is in transit are sent in order when its reply arrives.
#[test]
fn entries_logged_meanwhile_are_sent_after_the_reply() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cluster, _) = started_cluster(dir.path());
    let leader = cluster.leader();
    let before = cluster.voters[leader].last_index();
    for n in 0..20 {
        cluster.propose_document(n, 10);
    }
    assert_eq!(cluster.voters[leader].last_index(), Index(before.0 + 20));
    // Three steps: the first entry, its reply and then the other entries, and the last commit.
    cluster.run(75);
    for voter in &cluster.voters {
        assert_eq!(voter.last_index(), cluster.voters[leader].last_index());
    }
    cluster.run(200);
    cluster.assert_consistent();
}
