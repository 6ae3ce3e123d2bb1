//! The three voters, their lines, the changes, and the invariants looked at on the way.

use super::{
    Absence, BrokenCatchUp, Case, Measured,
    line::{Line, LineSpeed},
    member::{Member, VOTERS, address},
    timing,
    traffic::documents,
};
use common::{Index, Tick};
use control_plane::{
    Change, Document,
    consensus::{Effect, Event, Message, Voter},
    types::SizeLimits,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

/// The clock of all voters at the start of a run.
const CLOCK: u64 = 1_000_000;

pub(super) enum ClusterEvent {
    Wakeup(usize),
    Message { from: usize, to: usize, msg: Box<Message> },
    Synced { voter: usize, starts: u64 },
}

/// The run of one case.
pub struct Cluster {
    pub t: u64,
    pub measured: Measured,
    pub(super) members: Vec<Member>,
    pub(super) lines: BTreeMap<(usize, usize), Line>,
    pub(super) speed: LineSpeed,
    pub(super) rng: SmallRng,
    pub(super) queue: BTreeSet<(u64, u64)>,
    pub(super) events: BTreeMap<u64, ClusterEvent>,
    pub(super) serial: u64,
    pub(super) broken: Option<BrokenCatchUp>,
    pub(super) documents: Vec<Document>,
    pub(super) changes: u64,
    pub(super) proposed: u64,
    pub(super) propose_until: u64,
    /// The change that waits for its acceptance.
    pub(super) waiting: Option<Index>,
    /// Places of accepted changes, by any voter.
    pub(super) accepted: BTreeSet<Index>,
    pub(super) highest: Index,
    /// The member whose return is measured.
    pub(super) watched: Option<usize>,
}

impl Cluster {
    pub fn new(case: &Case, broken: Option<BrokenCatchUp>) -> Self {
        let mut rng = SmallRng::seed_from_u64(case.seed);
        let unbounded = broken == Some(BrokenCatchUp::NeverTrimmed);
        let room = if unbounded { SizeLimits { log: usize::MAX / 64 } } else { SizeLimits::default() };
        let documents = documents(case.documents, &mut rng);
        let mut cluster = Self {
            t: 0,
            measured: Measured::default(),
            members: (0..VOTERS).map(|n| Member::bootstrapped(n, room)).collect(),
            lines: BTreeMap::new(),
            speed: LineSpeed { delay_ms: case.delay_ms, mbit_s: case.mbit_s },
            rng,
            queue: BTreeSet::new(),
            events: BTreeMap::new(),
            serial: 0,
            broken,
            documents,
            changes: case.changes,
            proposed: 0,
            propose_until: 0,
            waiting: None,
            accepted: BTreeSet::new(),
            highest: Index(0),
            watched: None,
        };
        for n in 0..VOTERS {
            cluster.members[n].start(Tick(CLOCK));
            let first = cluster.rng.random_range(0..timing().heartbeat_ms());
            cluster.push(first, ClusterEvent::Wakeup(n));
        }
        cluster
    }

    pub fn now(&self) -> Tick {
        Tick(CLOCK + self.t)
    }

    pub fn accepted(&self) -> Index {
        self.highest
    }

    pub fn accepted_changes(&self) -> u64 {
        self.accepted.len() as u64
    }

    pub fn leader(&self) -> Option<&Voter> {
        let now = self.now();
        self.members
            .iter()
            .filter(|m| !m.cut)
            .filter_map(|m| m.voter.as_ref())
            .find(|s| s.can_serve_reads(now))
    }

    pub fn shown(&self, n: usize) -> String {
        let shown = |s: &Voter| {
            let last = s.last_index();
            format!(
                "formed {} promised {} accepted {} last {last} {:?}",
                s.initialized,
                s.current_term,
                s.commit_index(),
                s.role
            )
        };
        self.members[n].voter.as_ref().map_or("stopped".into(), shown)
    }

    /// Changes are proposed one after the other until so many are.
    pub fn propose_until(&mut self, changes: u64) {
        self.propose_until = changes;
    }

    pub fn take_away(&mut self, n: usize, absence: Absence) {
        match absence {
            Absence::Lag => self.members[n].cut = true,
            Absence::Restart | Absence::Wipe => self.members[n].stop(),
        }
    }

    /// The member is back; from here on its bytes are counted.
    pub fn bring_back(&mut self, n: usize, absence: Absence) {
        let now = self.now();
        let member = &mut self.members[n];
        member.cut = false;
        if absence == Absence::Wipe {
            member.wipe(n);
        }
        if absence != Absence::Lag {
            member.start(now);
        }
        self.watched = Some(n);
        self.measured.needed = self.leader().map_or(0, |l| l.cluster_state.max_encoded_len());
    }

    /// Runs to a moment, or until what is waited for has come.
    pub fn run_until(&mut self, until: u64, done: impl Fn(&Self) -> bool) -> Result<(), String> {
        while !done(self) {
            let Some((t, id)) = self.queue.first().copied().filter(|e| e.0 <= until) else { break };
            self.queue.remove(&(t, id));
            self.t = t;
            if let Some(event) = self.events.remove(&id) {
                self.one(event)?;
                self.propose()?;
                self.check().map_err(|e| format!("at {t} ms: {e}"))?;
            }
        }
        Ok(())
    }

    pub(super) fn push(&mut self, at: u64, event: ClusterEvent) {
        self.serial += 1;
        self.queue.insert((at, self.serial));
        self.events.insert(self.serial, event);
    }

    fn one(&mut self, event: ClusterEvent) -> Result<(), String> {
        match event {
            ClusterEvent::Wakeup(n) => {
                self.push(self.t + timing().heartbeat_ms() / 2, ClusterEvent::Wakeup(n));
                if self.broken == Some(BrokenCatchUp::FedAnew) {
                    self.forget_feeds(n);
                }
                self.step(n, Event::Timer)
            }
            ClusterEvent::Message { from, to, msg } if !self.members[from].cut && !self.members[to].cut => {
                self.step(to, Event::Msg(address(from), *msg))
            }
            ClusterEvent::Message { .. } => Ok(()),
            ClusterEvent::Synced { voter, starts } if self.members[voter].starts == starts => {
                match self.members[voter].sync() {
                    Some(token) => self.step(voter, Event::Synced(token)),
                    None => Ok(()),
                }
            }
            ClusterEvent::Synced { .. } => Ok(()),
        }
    }

    pub(super) fn step(&mut self, n: usize, event: Event) -> Result<(), String> {
        let now = self.now();
        let Some(voter) = self.members[n].voter.as_mut() else { return Ok(()) };
        let effects = voter.step(event, now);
        effects.into_iter().try_for_each(|f| self.effect(n, f))
    }

    fn effect(&mut self, n: usize, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Send { to, msg } => self.send(n, usize::from(to.port() - 7000), msg),
            Effect::Persist { token, record } => {
                let at = self.members[n].write(token, record, self.t)?;
                let starts = self.members[n].starts;
                self.push(at, ClusterEvent::Synced { voter: n, starts });
                Ok(())
            }
            Effect::Committed { entry, .. } => {
                if self.watched.is_some() && entry.index > self.highest {
                    self.measured.needed += entry.max_encoded_len();
                }
                self.highest = self.highest.max(entry.index);
                if let Change::Apply { .. } = entry.change {
                    self.accepted.insert(entry.index);
                }
                if self.waiting.is_some_and(|w| w <= entry.index) {
                    self.waiting = None;
                }
                Ok(())
            }
            Effect::Refused { from, why } => Err(format!("s{n} refuses a message of {from}: {why}")),
            _ => Ok(()),
        }
    }
}
