//! Sample values of each type that is stored or sent, with every field set.

use common::{Epoch, Incarnation, Index, NodeId, OpId, ReplicaId, Revision, Service, Term, Tick, Zone};
use control_plane::{
    ApplyOutcome, Change, ClusterState, Member, Replica, ReplicaChange, Role,
    consensus::{AppendBody, DurableState, LogTail, Message, Record, VoterId},
    state_machine::AcceptedOperations,
    types::LostMember,
    types::{LogEntry, NodeInfo, VoterInfo},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

pub fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7100))
}

pub fn voter(n: u8) -> VoterInfo {
    VoterInfo {
        number: n,
        incarnation: Incarnation(10 + u64::from(n)),
        node: NodeId::new(format!("s{n}")),
        zone: "centro-1".into(),
        rpc_addr: address(n),
        http: SocketAddr::from(([10, 0, 0, n], 8080)),
    }
}

/// Id of the voter with this number.
pub fn voter_id(n: u8) -> VoterId {
    VoterId { number: n, incarnation: Incarnation(10 + u64::from(n)) }
}

pub fn node_info(role: Role) -> NodeInfo {
    NodeInfo {
        node: NodeId::new("p1"),
        incarnation: Incarnation(77),
        role,
        lang: 3,
        zone: Zone::new("norte-1"),
        rpc_addr: address(9),
        http: SocketAddr::from(([10, 0, 0, 9], 8080)),
    }
}

/// Each kind of change, by name. The names are those of the fixtures.
pub fn changes() -> Vec<(&'static str, Change)> {
    let op = || OpId::new("op-1");
    let long = "limits = 4096\n".repeat(64);
    let replica = |what| Change::Replica { op: op(), id: ReplicaId::new("r-1"), what };
    let list =
        ReplicaChange::List { service: Service::new("verdict"), zone: "centro-1".into(), addr: address(50) };
    vec![
        ("apply", Change::Apply { op: op(), base: Revision(6), text: "version = 7\n".into() }),
        ("apply-packed", Change::Apply { op: op(), base: Revision(7), text: long.as_str().into() }),
        ("evacuate", Change::Evacuate { op: op(), zone: "norte-1".into(), on: true, seen: Index(3) }),
        ("replica-list", replica(list)),
        ("replica-drain", replica(ReplicaChange::Drain)),
        ("replica-remove", replica(ReplicaChange::Remove)),
        ("join", Change::Join(node_info(Role::Router))),
        ("expire", Change::Expire { node: NodeId::new("p2"), incarnation: Incarnation(5), left: true }),
        ("down", Change::ConfirmDown { op: op(), node: NodeId::new("p2") }),
        ("replace-voter", Change::ReplaceVoter(voter(2))),
    ]
}

/// Log entries with each kind of change.
pub fn entries() -> Vec<LogEntry> {
    changes()
        .into_iter()
        .zip(41..)
        .map(|((_, change), index)| LogEntry { index: Index(index), change })
        .collect()
}

/// Each outcome of a change, by name.
pub fn outcomes() -> Vec<(&'static str, ApplyOutcome)> {
    vec![
        ("accepted", ApplyOutcome::Accepted { revision: Revision(8) }),
        ("conflict", ApplyOutcome::Conflict { current: Revision(9) }),
        ("bounced", ApplyOutcome::Rejected { reason: "no replica 'r-9' is listed".into() }),
    ]
}

/// A state with every part in use.
pub fn state() -> ClusterState {
    let mut accepted_operations = AcceptedOperations::default();
    accepted_operations.record(&OpId::new("op-a"));
    accepted_operations.record(&OpId::new("op-b"));
    let replica =
        Replica { service: "verdict".into(), zone: "centro-1".into(), addr: address(50), draining: true };
    let member = Member { info: node_info(Role::Control), epoch: Epoch(12) };
    ClusterState {
        cluster: "bitacora".into(),
        secret: 0x0123_4567_89ab_cdef_0011_2233_4455_6677,
        index: Index(40),
        revision: Revision(7),
        text: Some("version = 7\n".into()),
        evacuated: BTreeSet::from(["norte-1".into()]),
        evacuation_changes: BTreeMap::from([("norte-1".into(), Index(21))]),
        replicas: BTreeMap::from([(ReplicaId::new("r-1"), replica)]),
        members: BTreeMap::from([(NodeId::new("p1"), member)]),
        epoch: Epoch(33),
        leaving_voter: None,
        voters: (0..3).map(voter).collect(),
        lost: vec![LostMember { node: NodeId::new("p4"), members_before: 12 }],
        recent_operations: outcomes()
            .into_iter()
            .map(|(name, outcome)| (OpId::new(name), outcome))
            .collect::<VecDeque<_>>(),
        accepted_operations,
    }
}

pub fn durable_state() -> DurableState {
    DurableState {
        identity: voter(1),
        initialized: true,
        current_term: Term(25),
        log_term: Term(17),
        cluster_state: state(),
        entries: entries(),
    }
}

/// Each kind of record of the short log.
pub fn records() -> Vec<(&'static str, Record)> {
    vec![
        ("state", Record::DurableState(Box::new(durable_state()))),
        ("promise", Record::Promise(Term(33))),
        ("append", Record::Append { commit_index: Index(40), entries: entries() }),
        ("install", Record::Install { term: Term(33), truncate_to: Index(40), entries: entries() }),
    ]
}

/// Each kind of message between voters.
pub fn messages() -> Vec<(&'static str, Message)> {
    let append = |body| Message::Append {
        by: voter_id(1),
        to: 2,
        term: Term(25),
        commit_index: Index(40),
        sent_at: Tick(86_400_123),
        body,
    };
    let tail = LogTail {
        log_term: Term(17),
        last: Index(50),
        commit_index: Index(40),
        snapshot: Some(state()),
        entries: entries(),
    };
    vec![
        (
            "discover",
            Message::Discover {
                voter: voter(0),
                initialized: true,
                voters: vec![voter(0), voter(1)],
                index: Index(4),
            },
        ),
        ("blank-query", Message::BlankQuery { asker: Incarnation(7), sent_at: Tick(86_400_123) }),
        ("blank", Message::Blank { voter: voter(2), asker: Incarnation(7), sent_at: Tick(86_400_123) }),
        (
            "bootstrap",
            Message::Bootstrap { cluster_state: ClusterState::bootstrapped("bitacora", vec![voter(0)]) },
        ),
        ("join-request", Message::JoinRequest { voter: voter(2) }),
        ("leader-query", Message::LeaderQuery(Tick(7))),
        ("not-leading", Message::NotLeading(Tick(7))),
        ("step-down", Message::StepDown { by: voter_id(1), term: Term(25) }),
        ("pre-vote", Message::PreVote { by: voter_id(1), term: Term(25) }),
        ("pre-vote-granted", Message::PreVoteGranted { by: voter_id(2), term: Term(25) }),
        ("vote-request", Message::VoteRequest { by: voter_id(1), term: Term(25), commit_index: Index(40) }),
        ("vote", Message::Vote { by: voter_id(2), term: Term(25), tail }),
        ("heartbeat", append(AppendBody::Heartbeat)),
        ("append", append(AppendBody::Append { prev: Index(40), entries: entries() })),
        (
            "install",
            append(AppendBody::Install {
                truncate_to: Index(40),
                snapshot: Some(state()),
                entries: entries(),
            }),
        ),
        (
            "append-reply",
            Message::AppendReply {
                by: voter_id(2),
                term: Term(25),
                installed: true,
                last: Index(50),
                commit_index: Index(40),
                sent_at: Tick(86_400_123),
            },
        ),
    ]
}
