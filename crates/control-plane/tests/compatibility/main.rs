//! Stored data and messages of the control plane keep the encoding of earlier versions, which `fixtures/` holds.

mod samples;

use common::{Epoch, Index, Revision};
use control_plane::{
    ClusterState, Role,
    consensus::{DurableState, Record},
    rpc::{ControlRequest, ControlResponse, ProposalOutcome},
    state_machine::state_update::StateUpdate,
    storage::FileStore,
    storage::{LoadResult, RecordWriter},
    types::{SHORT_LOG_BYTES, SLOT_BYTES},
};
use rstest::rstest;
use std::{fs, path::Path};
use test_fixtures::Fixtures;

/// Files of a store and their lengths in bytes.
const STORE_FILES: [(&str, u64); 4] =
    [("slot-0", SLOT_BYTES), ("slot-1", SLOT_BYTES), ("log-0", SHORT_LOG_BYTES), ("log-1", SHORT_LOG_BYTES)];

fn fixtures() -> Fixtures {
    Fixtures::of_crate(env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn compatibility_of_changes_and_outcomes() {
    for (name, change) in samples::changes() {
        fixtures().assert_wire(&format!("change-{name}"), &change);
    }
    for (name, outcome) in samples::outcomes() {
        fixtures().assert_wire(&format!("outcome-{name}"), &outcome);
    }
}

#[test]
fn compatibility_of_messages_between_voters() {
    for (name, message) in samples::messages() {
        fixtures().assert_wire(&format!("message-{name}"), &message);
    }
}

#[test]
fn compatibility_of_records() {
    for (name, record) in samples::records() {
        fixtures().assert_wire(&format!("record-{name}"), &record);
    }
}

#[test]
fn compatibility_of_requests() {
    let info = || samples::node_info(Role::Router);
    let (_, msg) = samples::messages().remove(0);
    let (_, change) = samples::changes().remove(0);
    let requests = [
        ("consensus", ControlRequest::Consensus { from: samples::address(1), msg: Box::new(msg) }),
        ("renew", ControlRequest::Renew { info: info(), index: Index(4), revision: Revision(2) }),
        ("leave", ControlRequest::Leave { info: info() }),
        ("updates", ControlRequest::WatchState { have: Index(4), wait_ms: 500 }),
        ("propose", ControlRequest::Propose { change }),
        ("state", ControlRequest::State),
        ("heartbeat", ControlRequest::Heartbeat { index: Index(4) }),
    ];
    for (name, request) in requests {
        fixtures().assert_wire(&format!("request-{name}"), &request);
    }
}

#[test]
fn compatibility_of_responses() {
    let (_, outcome) = samples::outcomes().remove(0);
    let leader = || Some(samples::voter(1));
    let why = "not the leader".to_string();
    let leaving = ClusterState { leaving_voter: Some(samples::voter(2)), ..samples::state() };
    let responses = [
        ("done", ControlResponse::Done),
        ("renewed", ControlResponse::Renewed { epoch: Epoch(4), index: Index(5) }),
        ("not-yet", ControlResponse::Pending),
        ("elsewhere", ControlResponse::NotLeader { leader: leader() }),
        ("updates-none", ControlResponse::StateUpdate(StateUpdate::Unchanged)),
        ("updates-snapshot", ControlResponse::StateUpdate(StateUpdate::Snapshot(Box::new(samples::state())))),
        ("updates-changes", ControlResponse::StateUpdate(StateUpdate::Changes(samples::entries()))),
        ("settled", ControlResponse::Proposed(ProposalOutcome::Committed { index: Index(41), outcome })),
        ("not-logged", ControlResponse::Proposed(ProposalOutcome::NotLogged { leader: leader(), why })),
        ("undetermined", ControlResponse::Proposed(ProposalOutcome::Undetermined)),
        ("state", ControlResponse::State(Box::new(samples::state()))),
        ("state-leaving-voter", ControlResponse::State(Box::new(leaving))),
        ("heartbeat", ControlResponse::HeartbeatAck { index: Index(5) }),
    ];
    for (name, response) in responses {
        fixtures().assert_wire(&format!("reply-{name}"), &response);
    }
}

/// Parts of the state that `/v1/status` and `/v1/replicas` return as JSON.
#[test]
fn compatibility_of_json() {
    let state = samples::state();
    let parts = [
        ("voters", serde_json::to_string(&state.voters)),
        ("replicas", serde_json::to_string(&state.replicas)),
        ("members", serde_json::to_string(&state.members)),
        ("lost", serde_json::to_string(&state.lost)),
        ("evacuated", serde_json::to_string(&state.evacuated)),
    ];
    for (name, json) in parts {
        fixtures().assert_json(&format!("status-{name}"), &json.unwrap());
    }
}

/// Writes a data folder as a voter does: a blank identity, and then what `write` adds.
fn write_store(folder: &Path, write: impl FnOnce(&mut FileStore)) {
    let mut store = FileStore::open(folder, &DurableState::blank(&samples::voter(1))).unwrap();
    write(&mut store);
}

/// Contents of a file without the zeros at its end, since a store allocates the full length of each file.
fn without_padding(path: &Path) -> Vec<u8> {
    let mut bytes = fs::read(path).unwrap();
    let end = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
    bytes.truncate(end);
    bytes
}

/// Writes the data folder that an earlier version left, from its fixture.
fn restore(name: &str, folder: &Path) {
    for (file, length) in STORE_FILES {
        let mut bytes = fixtures().read(&format!("store-{name}/{file}"));
        bytes.resize(length as usize, 0);
        fs::write(folder.join(file), bytes).unwrap();
    }
}

fn replaced_voter() -> DurableState {
    let mut state = samples::durable_state();
    state.cluster_state.voters[2].incarnation = common::Incarnation(99);
    state.entries.clear();
    state
}

fn write_each_record(store: &mut FileStore) {
    let state = DurableState { entries: Vec::new(), ..samples::durable_state() };
    store.write(&Record::DurableState(Box::new(state))).unwrap();
    for (_, record) in samples::records().into_iter().filter(|(name, _)| *name != "state") {
        store.write(&record).unwrap();
    }
}

fn write_replaced(store: &mut FileStore) {
    store.write(&Record::DurableState(Box::new(replaced_voter()))).unwrap();
    store.write(&Record::Promise(common::Term(41))).unwrap();
}

#[rstest]
#[case::blank("blank", |_: &mut FileStore| {})]
#[case::each_record("records", write_each_record)]
#[case::after_a_replaced_voter("replaced", write_replaced)]
fn compatibility_of_the_store(#[case] name: &str, #[case] write: fn(&mut FileStore)) {
    let folder = tempfile::tempdir().unwrap();
    write_store(folder.path(), write);
    for (file, _) in STORE_FILES {
        let bytes = without_padding(&folder.path().join(file));
        fixtures().assert_bytes(&format!("store-{name}/{file}"), &bytes);
    }
    let old = tempfile::tempdir().unwrap();
    restore(name, old.path());
    let loaded = FileStore::load(old.path()).unwrap();
    assert!(matches!(loaded, LoadResult::State(_)), "{name}: {loaded:?}");
    assert_eq!(loaded, FileStore::load(folder.path()).unwrap());
}

/// A data folder with one flipped bit in its newest slot is refused, and the error names the damaged slot.
#[test]
fn compatibility_of_damage_reports() {
    let folder = tempfile::tempdir().unwrap();
    restore("records", folder.path());
    let path = folder.path().join("slot-0");
    let mut bytes = fs::read(&path).unwrap();
    bytes[100] ^= 1;
    fs::write(&path, bytes).unwrap();
    let LoadResult::Corrupt(why) = FileStore::load(folder.path()).unwrap() else {
        panic!("the damage was not detected")
    };
    assert_eq!(why.to_string(), "slot 2 was synced and is damaged");
}
