//! What is asked of the leader, wherever it is (design 2.3, 4.6).

use super::{Core, OUT_OF_TOUCH, connectivity::Connectivity};
use crate::{
    change::{Change, VoterInfo},
    cluster_state::ClusterState,
    consensus::Contact,
    rpc::{ControlRequest, ControlResponse, ProposalOutcome},
};
use common::fault::Fault;
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

/// Voters asked in turn, at most.
const VOTERS_ASKED: usize = crate::consensus::MOST_VOTERS;
/// Part of a call's time after which a read is asked for at the other voters as well.
const HEDGE_PART: u32 = 4;

/// Part of a call's time after which a round ends, once a majority has answered that it does not lead.
const ENOUGH_PART: u32 = 2;

/// Where the leader may be: what was heard of it first, then each voter that is known.
struct LeaderSearch {
    own: SocketAddr,
    due: VecDeque<SocketAddr>,
    asked: Vec<SocketAddr>,
}

impl LeaderSearch {
    fn last_contact(&mut self, leader: Option<VoterInfo>) {
        leader.into_iter().for_each(|h| self.due.push_front(h.rpc_addr));
    }

    fn next(&mut self) -> Option<SocketAddr> {
        while let Some(to) = self.due.pop_front() {
            if to != self.own && !self.asked.contains(&to) && self.asked.len() < VOTERS_ASKED {
                self.asked.push(to);
                return Some(to);
            }
        }
        None
    }
}

/// What came of asking the voters once for the newest state.
enum QueryResult {
    LoadResult(Box<ClusterState>),
    /// A majority answered, and none of them leads.
    Leaderless,
    /// No majority answered.
    Unanswered(String),
}

type Answer = (SocketAddr, Result<ControlResponse, Fault>);

impl Core {
    /// A blank voter, or one that was replaced, knows no leader: the others may. Who answered as the
    /// leader a moment ago is asked first.
    fn leader_search(&self, leader: Option<VoterInfo>) -> LeaderSearch {
        let now = self.clock.now();
        let g = self.lock();
        let known =
            g.voter.cluster_state.voters.iter().map(|h| h.rpc_addr).chain(self.set.seeds.iter().copied());
        let mut t = LeaderSearch { own: self.set.rpc_addr(), due: known.collect(), asked: Vec::new() };
        t.last_contact(leader);
        let fresh = g.answered.filter(|(_, at)| now.since(*at) < g.voter.silence_timeout_ms());
        fresh.into_iter().for_each(|(leader, _)| t.due.push_front(leader));
        t
    }

    /// Voters that must be in touch with each other to accept anything, as far as this one knows.
    fn majority(&self) -> usize {
        let voters = self.lock().voter.cluster_state.voters.len();
        let voters = if voters == 0 { self.set.seeds.len() } else { voters };
        voters / 2 + 1
    }

    /// Proposes at the leader. Only where nothing was sent, or the leader said that it logged
    /// nothing, is the change known not to take effect. Voters are asked one after the other, the next
    /// one only once it is known that nothing was logged.
    pub async fn propose(self: &Arc<Self>, change: Change, ms: u64) -> ProposalOutcome {
        let (mut leader_search, mut why) = match self.propose_here(change.clone(), ms).await {
            ProposalOutcome::NotLogged { leader, why } => (self.leader_search(leader), why),
            done => return done,
        };
        if self.connectivity() == Connectivity::CutOff {
            return ProposalOutcome::NotLogged { leader: None, why: OUT_OF_TOUCH.into() };
        }
        while let Some(to) = leader_search.next() {
            let ask = ControlRequest::Propose { change: change.clone() };
            let (line, most) = self.line(change.weight());
            match line.call_within(ms + most, "propose", to, ask).await {
                Ok(ControlResponse::Proposed(ProposalOutcome::NotLogged { leader, why: w })) => {
                    leader_search.last_contact(leader);
                    why = w;
                }
                Ok(ControlResponse::Proposed(p)) => return p,
                Err(e) if e.step == "connect" || e.step == "hello" => why = e.to_string(),
                _ => return ProposalOutcome::Undetermined,
            }
        }
        ProposalOutcome::NotLogged { leader: None, why }
    }

    /// The newest accepted state, from the leader under a confirmed view; else why not. A voter that is
    /// cut off says so at once; while a majority is between two leaders, the next one is waited for.
    pub async fn state(&self) -> Result<ClusterState, String> {
        let until = self.clock.now() + self.set.timing.election_timeout_ms();
        loop {
            if let Ok(cluster_state) = self.state_here() {
                return Ok(cluster_state);
            }
            if self.connectivity() == Connectivity::CutOff {
                return Err(OUT_OF_TOUCH.into());
            }
            match self.ask_seats().await {
                QueryResult::LoadResult(cluster_state) => return Ok(*cluster_state),
                QueryResult::Unanswered(why) => return Err(why),
                QueryResult::Leaderless if self.clock.now() >= until => {
                    return Err("no leader under a confirmed view; ask again".into());
                }
                QueryResult::Leaderless => {
                    sleep(Duration::from_millis(self.set.timing.heartbeat_ms() / 2)).await
                }
            }
        }
    }

    /// Asks whoever was heard to lead, and, where that one is silent for a while or none was, all
    /// others at once: reading changes nothing, so it may be asked for many times.
    async fn ask_seats(&self) -> QueryResult {
        let leader = self.state_here().err().flatten();
        let mut leader_search = self.leader_search(leader);
        let most = Duration::from_millis(self.set.timing.rpc_timeout_ms);
        let began = Instant::now();
        let mut hedge = std::pin::pin!(sleep_until(began + most / HEDGE_PART));
        let mut asked: FuturesUnordered<BoxFuture<'_, Answer>> = FuturesUnordered::new();
        let first = if self.connectivity() == Connectivity::InTouch { 1 } else { VOTERS_ASKED };
        self.ask_next(&mut leader_search, first, &mut asked);
        let mut enough = std::pin::pin!(sleep_until(began + most / ENOUGH_PART));
        // This node's own word counts where it is one of the voters.
        let outside = self.lock().voter.contact(self.clock.now()) == Contact::Outside;
        let mut answered = usize::from(!outside);
        let (majority, mut hedged) = (self.majority(), false);
        let mut why = OUT_OF_TOUCH.to_string();
        loop {
            let answer = tokio::select! {
                biased;
                answer = asked.next() => answer,
                () = &mut hedge, if !hedged => {
                    hedged = true;
                    self.ask_next(&mut leader_search, VOTERS_ASKED, &mut asked);
                    continue;
                }
                () = &mut enough, if answered >= majority => break,
            };
            match answer {
                None => break,
                Some((at, Ok(ControlResponse::State(cluster_state)))) => {
                    let now = self.clock.now();
                    self.lock().answered = Some((at, now));
                    return QueryResult::LoadResult(cluster_state);
                }
                Some((_, Ok(ControlResponse::NotLeader { leader }))) => {
                    answered += 1;
                    leader_search.last_contact(leader);
                }
                Some((_, Ok(_))) => {}
                Some((_, Err(e))) => why = e.to_string(),
            }
            // The one that was heard to lead does not: all others may be asked.
            self.ask_next(&mut leader_search, VOTERS_ASKED, &mut asked);
        }
        if answered >= majority { QueryResult::Leaderless } else { QueryResult::Unanswered(why) }
    }

    fn ask_next<'a>(
        &'a self,
        leader_search: &mut LeaderSearch,
        most: usize,
        asked: &mut FuturesUnordered<BoxFuture<'a, Answer>>,
    ) {
        for to in std::iter::from_fn(|| leader_search.next()).take(most) {
            asked.push(Box::pin(
                async move { (to, self.bulk.call("state", to, ControlRequest::State).await) },
            ));
        }
    }
}
