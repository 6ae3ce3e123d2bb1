//! Virtual time, the event queue, and the way of each event (design 7.1).

use super::{
    Broken, Stats, Violation,
    check::Book,
    nodes::{ROUTERS, SimClock, SimRouter, SimVoter},
};
use common::{Epoch, FencingToken, Index, OpId, Revision, Tick};
use control_plane::{
    Change,
    consensus::{Event, Message},
    state_machine::{singleton::FencingTokens, state_update::StateUpdate},
    types::NodeInfo,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque},
};

/// Voters of the usual core; one more machine may take the place of any.
pub const CORE: usize = 3;
/// Faults happen until here; then all is healed and must come back.
pub const CALM_AT: u64 = 60_000;
/// The last operator's call; what it brings has until the end to reach everyone.
pub const QUIET_AT: u64 = 80_000;
pub const END_AT: u64 = 85_000;
/// Longest time in calm until all routers have an accepted change.
pub const KNOWN_MS: u64 = 1_000;
/// The brief's bound on the return of service.
pub const BACK_MS: u64 = 12_000;
const WAKEUP: u64 = 50;

#[derive(Debug)]
pub enum What {
    Wakeup(usize),
    Consensus { to: usize, from: usize, msg: Box<Message> },
    Synced { voter: usize, starts: u64 },
    RouterWakeup(usize),
    Renew { voter: usize, router: usize, info: NodeInfo, sent: Tick },
    Renewed { router: usize, incarnation: u64, epoch: Epoch, sent: Tick },
    AskNews { voter: usize, router: usize, have: Index },
    StateUpdate { router: usize, state_update: Box<StateUpdate> },
    Act { fencing_token: FencingToken, node: common::NodeId },
    Operator,
    Reader,
    Forward { to: usize, change: Box<Change> },
    Fault,
    Refuse { voter: usize, for_ms: u64 },
    Recover { voter: usize, starts: u64 },
    Heal(Box<super::faults::Undo>),
}

pub struct Proposal {
    pub op: OpId,
    pub change: Change,
    pub voter: usize,
    pub starts: u64,
}

pub struct World {
    pub seed: u64,
    pub t: u64,
    pub rng: SmallRng,
    pub broken: Option<Broken>,
    pub voters: Vec<SimVoter>,
    pub routers: Vec<SimRouter>,
    pub cut: BTreeSet<(usize, usize)>,
    pub book: Book,
    pub stats: Stats,
    pub waiting: BTreeMap<(usize, Index), Proposal>,
    pub fencing_tokens: FencingTokens,
    pub serial: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, What>,
    trace: VecDeque<String>,
    pub calm_since: Option<u64>,
    pub readers: Option<super::orders::Readers>,
    /// The newest revision that all routers must know at the end. Orders that are late on their way may be accepted up
    /// to the last moment.
    pub due_revision: Revision,
}

impl World {
    /// A core of so many voters, and one more machine; three of them are seeds.
    pub fn new(seed: u64, broken: Option<Broken>, core: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut clock = |n: usize| SimClock {
            offset: 1_000_000 + rng.random_range(0..1_000_000),
            rate: if broken == Some(Broken::FastClock) && n == 1 {
                4.0
            } else {
                rng.random_range(0.99..1.01)
            },
        };
        let voters = (0..=core).map(|n| SimVoter::new(n, core, clock(n))).collect();
        let routers = (0..ROUTERS).map(|n| SimRouter::new(n, 100 + n as u64, clock(9))).collect();
        let mut w = World {
            seed,
            t: 0,
            rng,
            broken,
            voters,
            routers,
            cut: BTreeSet::new(),
            book: Book::default(),
            stats: Stats::default(),
            waiting: BTreeMap::new(),
            fencing_tokens: FencingTokens::default(),
            serial: 1000,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            trace: VecDeque::new(),
            calm_since: None,
            readers: None,
            due_revision: Revision(0),
        };
        w.voters.iter_mut().for_each(|s| s.boundless = broken == Some(Broken::Boundless));
        for n in 0..core {
            let incarnation = w.number();
            w.voters[n].start(0, incarnation);
        }
        (0..=core).for_each(|n| w.push(n as u64, What::Wakeup(n)));
        (0..ROUTERS).for_each(|n| w.push(10 + n as u64, What::RouterWakeup(n)));
        w.push(2_500, What::Operator);
        w.push(4_000, What::Fault);
        w
    }

    pub fn number(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    pub fn push(&mut self, after: u64, what: What) {
        let id = self.number();
        self.queue.push(Reverse((self.t + after, id)));
        self.events.insert(id, what);
    }

    pub fn note(&mut self, s: String) {
        self.trace.push_back(format!("{:>6} {s}", self.t));
        if self.trace.len() > 60 {
            self.trace.pop_front();
        }
    }

    fn fail(&self, what: String) -> Violation {
        Violation { seed: self.seed, at_ms: self.t, what, trace: self.trace.iter().cloned().collect() }
    }

    pub fn run(&mut self) -> Result<(), Violation> {
        while let Some(Reverse((t, id))) = self.queue.pop() {
            if t > END_AT {
                break;
            }
            self.t = t;
            let Some(what) = self.events.remove(&id) else { continue };
            self.stats.steps += 1;
            self.one(what).and_then(|_| self.look()).map_err(|e| self.fail(e))?;
        }
        self.last_look().map_err(|e| self.fail(e))
    }

    /// Never two voters that lead at one time.
    fn look(&self) -> Result<(), String> {
        let leaders: Vec<&str> = self
            .voters
            .iter()
            .filter(|s| s.frozen_until <= self.t)
            .filter(|s| s.voter.as_ref().is_some_and(|x| x.has_leadership(s.clock.at(self.t))))
            .map(|s| s.me.node.as_str())
            .collect();
        if leaders.len() > 1 { Err(format!("two seats lead at once: {leaders:?}")) } else { Ok(()) }
    }

    /// After the calm: service is back in time, and what is read is the newest accepted.
    fn last_look(&mut self) -> Result<(), String> {
        if self.stats.back_ms == 0 || self.stats.back_ms > BACK_MS {
            let voters: Vec<String> = self.voters.iter().map(SimVoter::shown).collect();
            let back = self.stats.back_ms;
            return Err(format!(
                "no acceptance within {BACK_MS} ms after the faults ended: {back}; {voters:#?}"
            ));
        }
        let lead = self
            .voters
            .iter()
            .find(|s| s.voter.as_ref().is_some_and(|x| x.can_serve_reads(s.clock.at(self.t))));
        let Some(l) = lead.and_then(|s| s.voter.as_ref()).map(|s| &s.cluster_state) else {
            return Err("no seat leads at the end".into());
        };
        let read = (l.revision, l.text.clone());
        if read != self.book.newest {
            return Err(format!(
                "read back {:?} where {:?} is the newest accepted",
                read.0, self.book.newest.0
            ));
        }
        for (op, index) in &self.book.told_accepted {
            if !matches!(self.book.order.get(index), Some((c, _)) if c.op() == Some(op)) {
                return Err(format!("{op}, told as accepted at {index}, is gone"));
            }
        }
        let known = self.due_revision..=l.revision;
        let behind = self.routers.iter().find(|r| !known.contains(&r.cluster_state.revision));
        match behind {
            Some(r) => Err(format!(
                "{} still has revision {}, neither {} nor newer up to {}",
                r.info.node, r.cluster_state.revision, self.due_revision, l.revision
            )),
            None => Ok(()),
        }
    }

    fn one(&mut self, what: What) -> Result<(), String> {
        match what {
            What::Wakeup(n) => {
                self.push(WAKEUP, What::Wakeup(n));
                self.voter_step(n, Event::Timer)?;
                self.expire(n)
            }
            What::Consensus { to, from, msg } => self.deliver(to, from, *msg),
            What::Synced { voter, starts } => self.synced(voter, starts),
            What::RouterWakeup(n) => self.router_wakeup(n),
            What::Renew { voter, router, info, sent } => self.renew(voter, router, info, sent),
            What::Renewed { router, incarnation, epoch, sent } => {
                self.extend(router, incarnation, epoch, sent)
            }
            What::AskNews { voter, router, have } => self.tell_news(voter, router, have),
            What::StateUpdate { router, state_update } => self.take_news(router, *state_update),
            What::Act { fencing_token, node } => self.act(fencing_token, node),
            What::Operator => self.operate(),
            What::Reader => self.reader_acts(),
            What::Forward { to, change } => self.forwarded(to, *change),
            What::Fault => self.fault(),
            What::Refuse { voter, for_ms } => {
                self.refuse(voter, for_ms);
                Ok(())
            }
            What::Recover { voter, starts } => self.recover(voter, starts),
            What::Heal(u) => self.undo(*u),
        }
    }
}
