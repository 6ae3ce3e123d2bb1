//! Sample values that several test programs of the control plane share.

#![allow(dead_code)]

use common::{Incarnation, Index, Tick};
use control_plane::{
    Change, ClusterState,
    consensus::{DurableState, Effect, Event, Message, Voter},
    types::{LogEntry, VoterInfo},
};
use std::net::SocketAddr;

/// Voter 1 with these addresses.
pub fn voter_at(rpc_addr: SocketAddr, http: SocketAddr) -> VoterInfo {
    VoterInfo { number: 1, incarnation: Incarnation(5), node: "s1".into(), zone: "a".into(), rpc_addr, http }
}

/// The state of a cluster that was bootstrapped with this voter alone.
pub fn bootstrapped(identity: &VoterInfo) -> DurableState {
    DurableState {
        initialized: true,
        cluster_state: ClusterState::bootstrapped("c", vec![identity.clone()]),
        ..DurableState::blank(identity)
    }
}

/// The same state for a voter whose addresses don't matter.
pub fn one_voter() -> DurableState {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    bootstrapped(&voter_at(addr, addr))
}

/// A log entry that evacuates a zone.
pub fn entry(n: u64) -> LogEntry {
    let change = Change::Evacuate {
        op: format!("o{n}").as_str().into(),
        zone: "a".into(),
        on: true,
        seen: Index(u64::MAX),
    };
    LogEntry { index: Index(n), change }
}

/// The messages among the effects of a step.
pub fn sent(effects: &[Effect]) -> Vec<&Message> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send { msg, .. } => Some(msg),
            _ => None,
        })
        .collect()
}

/// A blank voter introduces itself to `to`, is asked whether it is blank, and answers at once.
pub fn introduce_blank(to: &mut Voter, from: SocketAddr, blank: VoterInfo, now: Tick) {
    let introduction =
        Message::Discover { voter: blank.clone(), initialized: false, voters: vec![], index: Index(0) };
    let effects = to.step(Event::Msg(from, introduction), now);
    for asked in sent(&effects) {
        if let Message::BlankQuery { asker, sent_at } = asked {
            let answer = Message::Blank { voter: blank.clone(), asker: *asker, sent_at: *sent_at };
            to.step(Event::Msg(from, answer), now);
        }
    }
}
