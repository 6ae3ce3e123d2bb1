//! The simulated cluster: three voters, their links and the changes, with the invariants checked after each event.

use super::{
    Absence, BrokenCatchUp, Case, Measured,
    event::ClusterEvent,
    link::{Link, LinkSpeed},
    member::{Member, VOTERS, address},
    timing,
    traffic::generate_documents,
};
use common::{Index, Tick};
use control_plane::{
    Change, Document,
    consensus::{Effect, Event, Voter},
    types::SizeLimits,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

/// The clocks of all voters at the start of a run.
const CLOCK_START_MS: u64 = 1_000_000;

/// State of one run.
pub struct Cluster {
    /// Virtual time in milliseconds.
    pub time_ms: u64,
    /// What was measured so far.
    pub measured: Measured,
    pub(super) members: Vec<Member>,
    /// Links by sender and receiver.
    pub(super) links: BTreeMap<(usize, usize), Link>,
    /// Delay and bandwidth of all links.
    pub(super) link_speed: LinkSpeed,
    pub(super) rng: SmallRng,
    /// Due time and id of each queued event.
    pub(super) queue: BTreeSet<(u64, u64)>,
    pub(super) events: BTreeMap<u64, ClusterEvent>,
    pub(super) last_id: u64,
    pub(super) broken: Option<BrokenCatchUp>,
    /// Documents that the changes go through.
    pub(super) documents: Vec<Document>,
    /// Changes accepted while the member is away.
    pub(super) changes: u64,
    /// Number of changes proposed so far.
    pub(super) proposed: u64,
    /// Number of accepted changes at which proposals end.
    pub(super) proposal_target: u64,
    /// Log index of the change that is proposed and not yet accepted.
    pub(super) pending_change: Option<Index>,
    /// Log indexes of accepted changes.
    pub(super) accepted_indexes: BTreeSet<Index>,
    /// The highest committed log index.
    pub(super) highest_committed: Index,
    /// The member whose return is measured.
    pub(super) measured_member: Option<usize>,
}

impl Cluster {
    /// Starts a cluster in which all members hold the same empty state.
    pub fn new(case: &Case, broken: Option<BrokenCatchUp>) -> Self {
        let mut rng = SmallRng::seed_from_u64(case.seed);
        let unlimited = broken == Some(BrokenCatchUp::TrimmedByCountAlone);
        let size_limits = if unlimited { SizeLimits { log: usize::MAX / 64 } } else { SizeLimits::default() };
        let documents = generate_documents(case.documents, &mut rng);
        let mut cluster = Self {
            time_ms: 0,
            measured: Measured::default(),
            members: (0..VOTERS).map(|n| Member::bootstrapped(n, size_limits)).collect(),
            links: BTreeMap::new(),
            link_speed: LinkSpeed { delay_ms: case.delay_ms, mbit_s: case.mbit_s },
            rng,
            queue: BTreeSet::new(),
            events: BTreeMap::new(),
            last_id: 0,
            broken,
            documents,
            changes: case.changes,
            proposed: 0,
            proposal_target: 0,
            pending_change: None,
            accepted_indexes: BTreeSet::new(),
            highest_committed: Index(0),
            measured_member: None,
        };
        for n in 0..VOTERS {
            cluster.members[n].start(Tick(CLOCK_START_MS));
            let first = cluster.rng.random_range(0..timing().heartbeat_ms());
            cluster.push_at(first, ClusterEvent::Timer(n));
        }
        cluster
    }

    /// The current reading of all voters' clocks.
    pub fn now(&self) -> Tick {
        Tick(CLOCK_START_MS + self.time_ms)
    }

    /// The highest committed log index.
    pub fn highest_committed(&self) -> Index {
        self.highest_committed
    }

    /// Number of accepted changes.
    pub fn accepted_changes(&self) -> u64 {
        self.accepted_indexes.len() as u64
    }

    /// The leader that can serve reads, if any.
    pub fn leader(&self) -> Option<&Voter> {
        let now = self.now();
        self.members
            .iter()
            .filter(|m| !m.cut)
            .filter_map(|m| m.voter.as_ref())
            .find(|s| s.can_serve_reads(now))
    }

    /// Describes a member's state, for error messages.
    pub fn describe(&self, member: usize) -> String {
        let shown = |voter: &Voter| {
            let last = voter.last_index();
            format!(
                "initialized {} term {} committed {} last {last} {:?}",
                voter.initialized,
                voter.current_term,
                voter.commit_index(),
                voter.role
            )
        };
        self.members[member].voter.as_ref().map_or("stopped".into(), shown)
    }

    /// Proposes changes, one after the other, until that many are accepted.
    pub fn propose_until(&mut self, changes: u64) {
        self.proposal_target = changes;
    }

    /// Makes the member go away.
    pub fn take_away(&mut self, member: usize, absence: Absence) {
        match absence {
            Absence::Lag => self.members[member].cut = true,
            Absence::Restart | Absence::Wipe => self.members[member].stop(),
        }
    }

    /// Makes the member return. From then on, the bytes sent to it are counted.
    pub fn bring_back(&mut self, member: usize, absence: Absence) {
        let now = self.now();
        let returning = &mut self.members[member];
        returning.cut = false;
        if absence == Absence::Wipe {
            returning.wipe(member);
        }
        if absence != Absence::Lag {
            returning.start(now);
        }
        self.measured_member = Some(member);
        self.measured.needed_bytes = self.leader().map_or(0, |leader| leader.cluster_state.max_encoded_len());
    }

    /// Runs until the given time, or until `done` holds.
    pub fn run_until(&mut self, until_ms: u64, done: impl Fn(&Self) -> bool) -> Result<(), String> {
        while !done(self) {
            let Some((due_ms, id)) = self.queue.first().copied().filter(|e| e.0 <= until_ms) else { break };
            self.queue.remove(&(due_ms, id));
            self.time_ms = due_ms;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event)?;
                self.propose()?;
                self.check().map_err(|e| format!("at {due_ms} ms: {e}"))?;
            }
        }
        Ok(())
    }

    /// Schedules an event at the given time.
    pub(super) fn push_at(&mut self, time_ms: u64, event: ClusterEvent) {
        self.last_id += 1;
        self.queue.insert((time_ms, self.last_id));
        self.events.insert(self.last_id, event);
    }

    fn handle(&mut self, event: ClusterEvent) -> Result<(), String> {
        match event {
            ClusterEvent::Timer(voter) => {
                self.push_at(self.time_ms + timing().heartbeat_ms() / 2, ClusterEvent::Timer(voter));
                if self.broken == Some(BrokenCatchUp::ResentOnHeartbeat) {
                    self.forget_in_flight(voter);
                }
                self.step(voter, Event::Timer)
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

    /// Passes an event to a member's voter and carries out the effects.
    pub(super) fn step(&mut self, member: usize, event: Event) -> Result<(), String> {
        let now = self.now();
        let Some(voter) = self.members[member].voter.as_mut() else { return Ok(()) };
        let effects = voter.step(event, now);
        effects.into_iter().try_for_each(|effect| self.effect(member, effect))
    }

    fn effect(&mut self, voter: usize, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Send { to, msg } => self.send(voter, usize::from(to.port() - 7000), msg),
            Effect::Persist { token, record } => {
                let synced_at_ms = self.members[voter].write(token, record, self.time_ms)?;
                let starts = self.members[voter].starts;
                self.push_at(synced_at_ms, ClusterEvent::Synced { voter, starts });
                Ok(())
            }
            Effect::Committed { entry, .. } => {
                if self.measured_member.is_some() && entry.index > self.highest_committed {
                    self.measured.needed_bytes += entry.max_encoded_len();
                }
                self.highest_committed = self.highest_committed.max(entry.index);
                if let Change::Apply { .. } = entry.change {
                    self.accepted_indexes.insert(entry.index);
                }
                if self.pending_change.is_some_and(|w| w <= entry.index) {
                    self.pending_change = None;
                }
                Ok(())
            }
            Effect::MessageRejected { from, why } => {
                Err(format!("s{voter} refuses a message from {from}: {why}"))
            }
            _ => Ok(()),
        }
    }
}
