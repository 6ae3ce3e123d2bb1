//! Requests that only the leader can answer, from any control node (design 2.3, 4.6).

use super::{ControlNode, LeaderSighting, OUT_OF_CONTACT, connectivity::Connectivity};
use crate::{
    consensus::Contact,
    rpc::{ControlRequest, ControlResponse, ProposalOutcome},
    state_machine::ClusterState,
    types::{Change, MAX_VOTERS, VoterInfo},
};
use common::error::PeerError;
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use std::{collections::VecDeque, fmt, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

/// Most voters that one search asks.
const MAX_ASKED: usize = MAX_VOTERS;
/// A read is also sent to the other voters (a hedged request) after the RPC timeout divided by this.
const HEDGE_TIMEOUT_DIVISOR: u32 = 4;
/// A query ends after the RPC timeout divided by this, once a majority has answered that it does not lead.
const MAJORITY_TIMEOUT_DIVISOR: u32 = 2;

/// Why the newest state could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// This node is out of contact with a majority.
    OutOfContact,
    /// A majority answered, and none of them is a leader with a confirmed term.
    NoLeader,
    /// No majority answered; this is the last failure.
    Unreachable(PeerError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::OutOfContact => f.write_str(OUT_OF_CONTACT),
            ReadError::NoLeader => f.write_str("no leader with a confirmed term was found; try again"),
            ReadError::Unreachable(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ReadError::Unreachable(error) => Some(error),
            ReadError::OutOfContact | ReadError::NoLeader => None,
        }
    }
}

/// A search for the leader: asks nodes that were named as the leader first, then each known voter.
struct LeaderSearch {
    own: SocketAddr,
    candidates: VecDeque<SocketAddr>,
    asked: Vec<SocketAddr>,
}

impl LeaderSearch {
    fn add_hint(&mut self, leader: Option<VoterInfo>) {
        if let Some(leader) = leader {
            self.candidates.push_front(leader.rpc_addr);
        }
    }

    /// The next voter to ask; no voter is asked twice.
    fn next(&mut self) -> Option<SocketAddr> {
        while let Some(to) = self.candidates.pop_front() {
            if to != self.own && !self.asked.contains(&to) && self.asked.len() < MAX_ASKED {
                self.asked.push(to);
                return Some(to);
            }
        }
        None
    }
}

/// Result of asking the voters once for the newest state.
enum QueryResult {
    Found(Box<ClusterState>),
    /// A majority answered, and none of them is the leader.
    NoLeader,
    /// No majority answered.
    Failed(ReadError),
}

type Answer = (SocketAddr, Result<ControlResponse, PeerError>);
type PendingAnswers<'a> = FuturesUnordered<BoxFuture<'a, Answer>>;

impl ControlNode {
    /// Starts a search for the leader. A node that answered as the leader a moment ago is asked first: a blank or
    /// replaced voter knows no leader itself, but still reaches the last one that way.
    fn search_leader(&self, hint: Option<VoterInfo>) -> LeaderSearch {
        let now = self.clock.now();
        let inner = self.lock();
        let voters = inner.voter.cluster_state.voters.iter().map(|voter| voter.rpc_addr);
        let candidates = voters.chain(self.settings.seeds.iter().copied()).collect();
        let mut search = LeaderSearch { own: self.settings.advertised_rpc(), candidates, asked: Vec::new() };
        search.add_hint(hint);
        let recent = |seen: &LeaderSighting| now.since(seen.at) < inner.voter.silence_timeout_ms();
        if let Some(seen) = inner.leader_seen.filter(recent) {
            search.candidates.push_front(seen.addr);
        }
        search
    }

    /// Number of voters that make a majority, as far as this node knows.
    fn majority(&self) -> usize {
        let voters = self.lock().voter.cluster_state.voters.len();
        let voters = if voters == 0 { self.settings.seeds.len() } else { voters };
        voters / 2 + 1
    }

    /// Proposes a change at the leader. The next voter is asked only if the last one is known not to have logged the
    /// change: nothing was sent to it, or it said so. Otherwise the outcome is undetermined.
    pub async fn propose(self: &Arc<Self>, change: Change, timeout_ms: u64) -> ProposalOutcome {
        let (mut search, mut why) = match self.propose_here(change.clone(), timeout_ms).await {
            ProposalOutcome::NotLogged { leader, why } => (self.search_leader(leader), why),
            decided => return decided,
        };
        if self.connectivity() == Connectivity::CutOff {
            return ProposalOutcome::NotLogged { leader: None, why: OUT_OF_CONTACT.into() };
        }
        while let Some(to) = search.next() {
            let request = ControlRequest::Propose { change: change.clone() };
            let (client, travel_ms) = self.client_for(change.max_encoded_len());
            match client.call_within(timeout_ms + travel_ms, "propose", to, request).await {
                Ok(ControlResponse::Proposed(ProposalOutcome::NotLogged { leader, why: refused })) => {
                    search.add_hint(leader);
                    why = refused;
                }
                Ok(ControlResponse::Proposed(decided)) => return decided,
                Err(error) if error.is_before_sending() => why = error.to_string(),
                _ => return ProposalOutcome::Undetermined,
            }
        }
        ProposalOutcome::NotLogged { leader: None, why }
    }

    /// Returns the newest committed state, read from a leader whose term is confirmed. A node that is cut off fails at
    /// once. While a majority has no leader, the next one is waited for, up to an election timeout.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn newest_state(&self) -> Result<ClusterState, ReadError> {
        let until = self.clock.now() + self.settings.timing.election_timeout_ms();
        loop {
            if let Ok(state) = self.local_state() {
                return Ok(state);
            }
            if self.connectivity() == Connectivity::CutOff {
                return Err(ReadError::OutOfContact);
            }
            match self.query_voters().await {
                QueryResult::Found(state) => return Ok(*state),
                QueryResult::Failed(why) => return Err(why),
                QueryResult::NoLeader if self.clock.now() >= until => return Err(ReadError::NoLeader),
                QueryResult::NoLeader => {
                    sleep(Duration::from_millis(self.settings.timing.heartbeat_ms() / 2)).await;
                }
            }
        }
    }

    /// Asks the presumed leader for its state, and all others at once if there is none or it does not answer for a
    /// while: a read has no effect, so it may be sent many times.
    async fn query_voters(&self) -> QueryResult {
        let mut search = self.search_leader(self.local_state().err().flatten());
        let timeout = Duration::from_millis(self.settings.timing.rpc_timeout_ms);
        let began = Instant::now();
        let mut hedge = std::pin::pin!(sleep_until(began + timeout / HEDGE_TIMEOUT_DIVISOR));
        let mut pending = PendingAnswers::new();
        let first = if self.connectivity() == Connectivity::InContact { 1 } else { MAX_ASKED };
        self.ask_next(&mut search, first, &mut pending);
        let mut majority_deadline = std::pin::pin!(sleep_until(began + timeout / MAJORITY_TIMEOUT_DIVISOR));
        // This node counts as one answer if it is one of the voters.
        let outside = self.lock().voter.contact(self.clock.now()) == Contact::NotVoter;
        let mut answered = usize::from(!outside);
        let (majority, mut hedged) = (self.majority(), false);
        let mut failure = ReadError::OutOfContact;
        loop {
            let answer = tokio::select! {
                biased;
                answer = pending.next() => answer,
                () = &mut hedge, if !hedged => {
                    hedged = true;
                    self.ask_next(&mut search, MAX_ASKED, &mut pending);
                    continue;
                }
                () = &mut majority_deadline, if answered >= majority => break,
            };
            match answer {
                None => break,
                Some((addr, Ok(ControlResponse::State(state)))) => {
                    self.note_leader(addr);
                    return QueryResult::Found(state);
                }
                Some((_, Ok(ControlResponse::NotLeader { leader }))) => {
                    answered += 1;
                    search.add_hint(leader);
                }
                Some((_, Ok(_))) => {}
                Some((_, Err(error))) => failure = ReadError::Unreachable(error),
            }
            // The presumed leader did not turn out to be one: ask all others.
            self.ask_next(&mut search, MAX_ASKED, &mut pending);
        }
        if answered >= majority { QueryResult::NoLeader } else { QueryResult::Failed(failure) }
    }

    fn note_leader(&self, addr: SocketAddr) {
        let at = self.clock.now();
        self.lock().leader_seen = Some(LeaderSighting { addr, at });
    }

    fn ask_next<'a>(&'a self, search: &mut LeaderSearch, max: usize, pending: &mut PendingAnswers<'a>) {
        for to in std::iter::from_fn(|| search.next()).take(max) {
            pending.push(Box::pin(async move {
                (to, self.bulk_client.call("state", to, ControlRequest::State).await)
            }));
        }
    }
}
