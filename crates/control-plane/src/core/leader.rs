//! What is asked of the leader, wherever it is (design 2.3, 4.6).

use super::{Core, OUT_OF_TOUCH, reach::Reach};
use crate::{
    change::{Change, VoterInfo},
    consensus::Contact,
    ledger::Ledger,
    rpc::{Ask, Proposed, Reply},
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
struct Trail {
    own: SocketAddr,
    due: VecDeque<SocketAddr>,
    asked: Vec<SocketAddr>,
}

impl Trail {
    fn heard(&mut self, leader: Option<VoterInfo>) {
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
enum Round {
    Found(Box<Ledger>),
    /// A majority answered, and none of them leads.
    Leaderless,
    /// No majority answered.
    Unanswered(String),
}

type Answer = (SocketAddr, Result<Reply, Fault>);

impl Core {
    /// A blank voter, or one that was replaced, knows no leader: the others may. Who answered as the
    /// leader a moment ago is asked first.
    fn trail(&self, leader: Option<VoterInfo>) -> Trail {
        let now = self.clock.now();
        let g = self.lock();
        let known = g.voter.ledger.voters.iter().map(|h| h.rpc_addr).chain(self.set.seeds.iter().copied());
        let mut t = Trail { own: self.set.rpc_addr(), due: known.collect(), asked: Vec::new() };
        t.heard(leader);
        let fresh = g.answered.filter(|(_, at)| now.since(*at) < g.voter.silence_ms());
        fresh.into_iter().for_each(|(leader, _)| t.due.push_front(leader));
        t
    }

    /// Voters that must be in touch with each other to accept anything, as far as this one knows.
    fn majority(&self) -> usize {
        let voters = self.lock().voter.ledger.voters.len();
        let voters = if voters == 0 { self.set.seeds.len() } else { voters };
        voters / 2 + 1
    }

    /// Proposes at the leader. Only where nothing was sent, or the leader said that it logged
    /// nothing, is the change known not to take effect. Voters are asked one after the other, the next
    /// one only once it is known that nothing was logged.
    pub async fn propose(self: &Arc<Self>, change: Change, ms: u64) -> Proposed {
        let (mut trail, mut why) = match self.propose_here(change.clone(), ms).await {
            Proposed::NotLogged { leader, why } => (self.trail(leader), why),
            done => return done,
        };
        if self.reach() == Reach::CutOff {
            return Proposed::NotLogged { leader: None, why: OUT_OF_TOUCH.into() };
        }
        while let Some(to) = trail.next() {
            let ask = Ask::Propose { change: change.clone() };
            let (line, most) = self.line(change.weight());
            match line.call_within(ms + most, "propose", to, ask).await {
                Ok(Reply::Proposed(Proposed::NotLogged { leader, why: w })) => {
                    trail.heard(leader);
                    why = w;
                }
                Ok(Reply::Proposed(p)) => return p,
                Err(e) if e.step == "connect" || e.step == "hello" => why = e.to_string(),
                _ => return Proposed::Undetermined,
            }
        }
        Proposed::NotLogged { leader: None, why }
    }

    /// The newest accepted state, from the leader under a confirmed view; else why not. A voter that is
    /// cut off says so at once; while a majority is between two leaders, the next one is waited for.
    pub async fn state(&self) -> Result<Ledger, String> {
        let until = self.clock.now() + self.set.timing.election_timeout_ms();
        loop {
            if let Ok(ledger) = self.state_here() {
                return Ok(ledger);
            }
            if self.reach() == Reach::CutOff {
                return Err(OUT_OF_TOUCH.into());
            }
            match self.ask_seats().await {
                Round::Found(ledger) => return Ok(*ledger),
                Round::Unanswered(why) => return Err(why),
                Round::Leaderless if self.clock.now() >= until => {
                    return Err("no leader under a confirmed view; ask again".into());
                }
                Round::Leaderless => sleep(Duration::from_millis(self.set.timing.heartbeat_ms() / 2)).await,
            }
        }
    }

    /// Asks whoever was heard to lead, and, where that one is silent for a while or none was, all
    /// others at once: reading changes nothing, so it may be asked for many times.
    async fn ask_seats(&self) -> Round {
        let leader = self.state_here().err().flatten();
        let mut trail = self.trail(leader);
        let most = Duration::from_millis(self.set.timing.rpc_timeout_ms);
        let began = Instant::now();
        let mut hedge = std::pin::pin!(sleep_until(began + most / HEDGE_PART));
        let mut asked: FuturesUnordered<BoxFuture<'_, Answer>> = FuturesUnordered::new();
        let first = if self.reach() == Reach::Near { 1 } else { VOTERS_ASKED };
        self.ask_next(&mut trail, first, &mut asked);
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
                    self.ask_next(&mut trail, VOTERS_ASKED, &mut asked);
                    continue;
                }
                () = &mut enough, if answered >= majority => break,
            };
            match answer {
                None => break,
                Some((at, Ok(Reply::State(ledger)))) => {
                    let now = self.clock.now();
                    self.lock().answered = Some((at, now));
                    return Round::Found(ledger);
                }
                Some((_, Ok(Reply::Elsewhere { leader }))) => {
                    answered += 1;
                    trail.heard(leader);
                }
                Some((_, Ok(_))) => {}
                Some((_, Err(e))) => why = e.to_string(),
            }
            // The one that was heard to lead does not: all others may be asked.
            self.ask_next(&mut trail, VOTERS_ASKED, &mut asked);
        }
        if answered >= majority { Round::Leaderless } else { Round::Unanswered(why) }
    }

    fn ask_next<'a>(
        &'a self,
        trail: &mut Trail,
        most: usize,
        asked: &mut FuturesUnordered<BoxFuture<'a, Answer>>,
    ) {
        for to in std::iter::from_fn(|| trail.next()).take(most) {
            asked.push(Box::pin(async move { (to, self.bulk.call("state", to, Ask::State).await) }));
        }
    }
}
