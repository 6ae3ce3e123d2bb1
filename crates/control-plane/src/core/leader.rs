//! What is asked of the leader, wherever it is (design 2.3, 4.6).

use super::Core;
use crate::{
    change::{Change, Holder},
    ledger::Ledger,
    rail::{Ask, Proposed, Reply},
};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

/// Seats asked in turn, at most.
const SEATS_ASKED: usize = crate::seat::MOST_SEATS;

/// Where the leader may be: what was heard of it first, then each seat that is known.
struct Trail {
    own: SocketAddr,
    due: VecDeque<SocketAddr>,
    asked: Vec<SocketAddr>,
}

impl Trail {
    fn heard(&mut self, leader: Option<Holder>) {
        leader.into_iter().for_each(|h| self.due.push_front(h.rail));
    }

    fn next(&mut self) -> Option<SocketAddr> {
        while let Some(to) = self.due.pop_front() {
            if to != self.own && !self.asked.contains(&to) && self.asked.len() < SEATS_ASKED {
                self.asked.push(to);
                return Some(to);
            }
        }
        None
    }
}

impl Core {
    /// A blank seat, or one that was replaced, knows no leader: the others may.
    fn trail(&self, leader: Option<Holder>) -> Trail {
        let roster = self.lock().seat.ledger.roster.clone();
        let known = roster.iter().map(|h| h.rail).chain(self.set.seeds.iter().copied());
        let mut t = Trail { own: self.set.rail(), due: known.collect(), asked: Vec::new() };
        t.heard(leader);
        t
    }

    /// Proposes at the leader. Only where nothing was sent, or the leader said that it logged
    /// nothing, is the change known not to take effect.
    pub async fn propose(self: &Arc<Self>, change: Change, ms: u64) -> Proposed {
        let (mut trail, mut why) = match self.propose_here(change.clone(), ms).await {
            Proposed::NotLogged { leader, why } => (self.trail(leader), why),
            done => return done,
        };
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

    /// The newest accepted state, from the leader under a confirmed view; else why not.
    pub async fn state(&self) -> Result<Ledger, String> {
        let mut trail = match self.state_here() {
            Ok(l) => return Ok(l),
            Err(leader) => self.trail(leader),
        };
        let mut why = "no leader under a confirmed view; ask again".to_string();
        while let Some(to) = trail.next() {
            match self.bulk.call("state", to, Ask::State).await {
                Ok(Reply::State(l)) => return Ok(*l),
                Ok(Reply::Elsewhere { leader }) => trail.heard(leader),
                Ok(_) => {}
                Err(e) => why = e.to_string(),
            }
        }
        Err(why)
    }
}
