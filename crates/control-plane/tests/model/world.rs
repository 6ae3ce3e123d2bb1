//! One state of the model: voters, a spare and, where asked for, a learner; their disks, the messages in flight, and
//! what may happen.

use super::{
    digest::{Digest, combine, digest},
    history::{Broken, History},
    schedule::Schedule,
    variant::Variant,
};
use common::{Incarnation, Index, OpId, Revision, Term, Tick, settings::Timing};
use control_plane::{
    ApplyOutcome, Change, ClusterState,
    consensus::{DurableState, Effect, Event, LogTail, Message, Record, Voter, VoterId, VoterRole},
    types::{LogEntry, VoterInfo},
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    net::SocketAddr,
    sync::Arc,
};

/// Voters of the usual model.
pub const VOTERS: usize = 3;
/// The first machines are the seeds, however many voters there are.
const SEEDS: usize = 3;
const CLUSTER: &str = "model";
/// Added to an incarnation each time that a machine's disk is wiped.
const NEXT_INCARNATION: u64 = 100;
/// More messages than this are not in flight at once: those beyond are lost.
const MOST_IN_FLIGHT: usize = 14;
/// The same with more voters than the usual ones: each broadcast is as many messages.
const MOST_IN_FLIGHT_OF_MANY: usize = 32;

pub fn address(machine: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + machine as u16))
}

pub fn holder(machine: usize, number: u8, incarnation: u64) -> VoterInfo {
    VoterInfo {
        number,
        incarnation: Incarnation(incarnation),
        node: format!("n{machine}").as_str().into(),
        zone: "a".into(),
        rpc_addr: address(machine),
        http: address(machine),
    }
}

/// What a machine's disk holds: what is synced, and the writes that are not, oldest first.
#[derive(Clone, Debug)]
pub struct RecordWriter {
    pub synced: DurableState,
    pub unsynced: VecDeque<(u64, Record)>,
}

impl RecordWriter {
    fn sync_oldest(&mut self) -> Option<u64> {
        let (token, record) = self.unsynced.pop_front()?;
        self.synced.replay(record);
        Some(token)
    }

    fn lose_unsynced(&mut self, kept: usize) {
        for _ in 0..kept {
            self.sync_oldest();
        }
        self.unsynced.clear();
    }
}

/// Whether an accepted change outlives a loss of power with this on disk.
fn holds(image: &DurableState, index: Index, change: &Change) -> bool {
    let logged = |entry: &LogEntry| entry.index == index && entry.change == *change;
    image.initialized && (image.cluster_state.index >= index || image.entries.iter().any(logged))
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub process: Option<Voter>,
    pub disk: RecordWriter,
    /// Since when this process runs.
    started: Tick,
    /// Changes that this process logged as a leader, whose operators wait.
    waiting: BTreeMap<Index, Change>,
}

/// A value with its digest, which is computed once for each change.
#[derive(Clone, Debug)]
pub struct Digested<T> {
    pub value: T,
    pub digest: Digest,
    changed: bool,
}

impl<T: fmt::Debug + Clone> Digested<T> {
    fn new(value: T) -> Arc<Self> {
        let digest = digest(&value);
        Arc::new(Self { value, digest, changed: false })
    }

    fn edit(this: &mut Arc<Self>) -> &mut T {
        let own = Arc::make_mut(this);
        own.changed = true;
        &mut own.value
    }

    fn initialize(this: &mut Arc<Self>) {
        if this.changed {
            let own = Arc::make_mut(this);
            own.digest = digest(&own.value);
            own.changed = false;
        }
    }
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// How often each kind of action may still happen: the bound of the search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Advances of the clock to the next deadline.
    pub deadlines: u8,
    /// Advances of the clock by one heartbeat.
    pub beats: u8,
    /// Losses of power of one machine.
    pub crashes: u8,
    /// Disks wiped.
    pub wipes: u8,
    /// Steps whose write is not synced at once.
    pub slow_writes: u8,
    /// Messages delivered twice.
    pub duplicates: u8,
    /// Leaders that hand over before a planned stop.
    pub yields: u8,
    /// Sendings of an operator's change.
    pub proposals: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Deliver {
        packet: usize,
        again: bool,
        slow: bool,
    },
    Wakeup {
        machine: usize,
        slow: bool,
    },
    Sync {
        machine: usize,
    },
    Crash {
        machine: usize,
        kept: usize,
    },
    /// A sync fails: this many of the unsynced writes are on disk all the same.
    FailSync {
        machine: usize,
        kept: usize,
    },
    Wipe {
        machine: usize,
    },
    Restart {
        machine: usize,
    },
    Propose {
        machine: usize,
        change: usize,
        slow: bool,
    },
    Yield {
        machine: usize,
    },
    ToDeadline,
    Beat,
    /// The learner is told of the state that a voter has committed.
    Follow {
        voter: usize,
    },
    /// The rest happens under a schedule only (`schedule.rs`).
    GoOn,
    Delay {
        packet: usize,
    },
    DeliverLate {
        packet: usize,
    },
    CutOff {
        machine: usize,
    },
    Heal,
    Freeze {
        machine: usize,
    },
    Thaw,
}

#[derive(Clone, Debug)]
pub struct World {
    pub now: Tick,
    pub machines: Vec<Arc<Digested<Machine>>>,
    /// In the order of their digests: the order of sending does not matter.
    pub packets: Vec<Arc<Digested<Packet>>>,
    pub budget: Budget,
    pub history: Arc<Digested<History>>,
    /// Voters of the cluster; the machine with this number is the spare.
    pub size: usize,
    /// The last machine is a learner.
    pub learner: Option<usize>,
    /// Operators' changes that may be sent, each any number of times.
    pub changes: Arc<Vec<Change>>,
    pub variant: Option<Variant>,
    /// Runs that deviate from an ordinary schedule only so often; else all interleavings.
    pub schedule: Option<Schedule>,
}

/// Of a machine that never lost its disk.
fn incarnation(machine: usize) -> u64 {
    10 + machine as u64
}

pub fn apply(operation: &str, base: u64, text: &str) -> Change {
    Change::Apply { op: operation.into(), base: Revision(base), text: text.into() }
}

impl World {
    /// Voters that were just founded, and a blank spare.
    pub fn bootstrapped(size: usize, variant: Option<Variant>) -> Self {
        let voters: Vec<VoterInfo> = (0..size).map(|n| holder(n, n as u8, incarnation(n))).collect();
        let cluster_state = ClusterState::bootstrapped(CLUSTER, voters.clone());
        let voter = |n: usize| DurableState {
            me: voters[n].clone(),
            initialized: true,
            current_term: Term(0),
            log_term: Term(0),
            cluster_state: cluster_state.clone(),
            entries: Vec::new(),
        };
        let mut history = History::default();
        assert_eq!(history.holds(&cluster_state), Ok(()));
        Self::started(size, (0..size).map(voter), history, variant)
    }

    /// Three blank machines that start together, and a blank spare that is down.
    pub fn blank(variant: Option<Variant>) -> Self {
        let image = |n: usize| DurableState::blank(&holder(n, u8::MAX, incarnation(n)));
        Self::started(VOTERS, (0..VOTERS).map(image), History::default(), variant)
    }

    fn started(
        size: usize,
        voters: impl Iterator<Item = DurableState>,
        history: History,
        variant: Option<Variant>,
    ) -> Self {
        let now = Tick(100_000);
        let spare = DurableState::blank(&holder(size, u8::MAX, incarnation(size)));
        let machine = |image: DurableState| Machine {
            process: None,
            disk: RecordWriter { synced: image, unsynced: VecDeque::new() },
            started: now,
            waiting: BTreeMap::new(),
        };
        let machines = voters.chain([spare]).map(|image| Digested::new(machine(image))).collect();
        let mut world = World {
            now,
            machines,
            packets: Vec::new(),
            budget: Budget::default(),
            history: Digested::new(history),
            changes: Arc::new(vec![apply("a", 0, "a"), apply("b", 0, "bb")]),
            variant,
            schedule: None,
            size,
            learner: None,
        };
        for n in 0..size {
            world.restart(n);
        }
        world.initialize();
        world
    }

    pub fn digest(&self) -> Digest {
        let budget = self.budget;
        let counts = [
            budget.deadlines,
            budget.beats,
            budget.crashes,
            budget.wipes,
            budget.slow_writes,
            budget.duplicates,
            budget.yields,
            budget.proposals,
        ];
        let counted = counts.iter().fold(0u128, |all, count| all << 8 | u128::from(*count));
        let machines = self.machines.iter().map(|machine| machine.digest);
        let packets = self.packets.iter().map(|packet| packet.digest);
        let rest = [u128::from(self.now.0), counted, self.history.digest];
        let schedule = self.schedule.iter().flat_map(Schedule::parts);
        combine(machines.chain(rest).chain(schedule).chain(packets))
    }

    pub fn machine(&self, n: usize) -> &Machine {
        &self.machines[n].value
    }

    pub fn voter(&self, n: usize) -> Option<&Voter> {
        self.machine(n).process.as_ref()
    }

    pub fn voters(&self) -> impl Iterator<Item = &Voter> {
        self.machines.iter().filter_map(|machine| machine.value.process.as_ref())
    }

    /// A leader that takes itself for one that may answer reads.
    pub fn serves(&self, voter: &Voter) -> bool {
        if self.variant != Some(Variant::ReadsWithoutLease) {
            return voter.can_serve_reads(self.now);
        }
        matches!(&voter.role, VoterRole::Leader { term_start, .. } if voter.commit_index() >= *term_start)
    }

    pub fn timing(&self) -> Timing {
        Timing::default()
    }

    /// All that may happen next, within the budget.
    pub fn actions(&self) -> Vec<Action> {
        match &self.schedule {
            Some(schedule) => self.scheduled_actions(schedule),
            None => self.all_actions(),
        }
    }

    fn all_actions(&self) -> Vec<Action> {
        let mut all = Vec::new();
        let slow_too = |n: usize| self.budget.slow_writes > 0 && self.machine(n).disk.unsynced.is_empty();
        let both = |n: usize| [false, true].into_iter().take(1 + usize::from(slow_too(n)));
        for (packet, envelope) in self.packets.iter().enumerate() {
            let to = envelope.value.to;
            if self.voter(to).is_none() {
                continue;
            }
            for slow in both(to) {
                all.push(Action::Deliver { packet, again: false, slow });
            }
            if self.budget.duplicates > 0 {
                all.push(Action::Deliver { packet, again: true, slow: false });
            }
        }
        for machine in 0..self.machines.len() {
            self.machine_actions(machine, &mut all);
            let Some(voter) = self.voter(machine) else { continue };
            all.extend(both(machine).map(|slow| Action::Wakeup { machine, slow }));
            if !voter.is_leader() {
                continue;
            }
            if self.budget.proposals > 0 {
                let changes =
                    (0..self.changes.len()).flat_map(|change| both(machine).map(move |s| (change, s)));
                all.extend(changes.map(|(change, slow)| Action::Propose { machine, change, slow }));
            }
            if self.budget.yields > 0 {
                all.push(Action::Yield { machine });
            }
        }
        all.extend(self.followed().into_iter().map(|voter| Action::Follow { voter }));
        if self.budget.deadlines > 0 && self.next_deadline().is_some() {
            all.push(Action::ToDeadline);
        }
        if self.budget.beats > 0 {
            all.push(Action::Beat);
        }
        all
    }

    fn machine_actions(&self, machine: usize, all: &mut Vec<Action>) {
        if self.may_restart(machine) {
            all.push(Action::Restart { machine });
        }
        if self.voter(machine).is_none() {
            return;
        }
        if !self.machine(machine).disk.unsynced.is_empty() {
            all.push(Action::Sync { machine });
        }
        self.losses(machine, all);
    }

    /// It is down; a blank spare is put up by the scenario, not by the search.
    pub fn may_restart(&self, machine: usize) -> bool {
        self.voter(machine).is_none()
            && (machine != self.size || self.machine(machine).disk.synced.initialized)
    }

    /// Losses of power, with each number of unsynced writes kept, and of the disk.
    pub fn losses(&self, machine: usize, all: &mut Vec<Action>) {
        let disk = &self.machine(machine).disk;
        if self.budget.crashes > 0 {
            let kept = 0..=disk.unsynced.len();
            all.extend(kept.clone().map(|kept| Action::Crash { machine, kept }));
            if !disk.unsynced.is_empty() {
                all.extend(kept.map(|kept| Action::FailSync { machine, kept }));
            }
        }
        let votes =
            self.history.value.voters.iter().any(|holder| holder.incarnation == disk.synced.me.incarnation);
        if self.budget.wipes > 0 && votes && self.is_whole() && self.all_in_touch() {
            all.push(Action::Wipe { machine });
        }
    }

    /// No loss of a disk waits to be repaired: each voter has its own state.
    pub fn is_whole(&self) -> bool {
        // A founder's word may still be on its way to a machine that never lost anything.
        let first = |holder: &VoterInfo| holder.incarnation.0 < incarnation(self.size);
        let has_state = |holder: &VoterInfo| {
            let mut disks = self.machines.iter().map(|machine| &machine.value.disk.synced);
            disks.any(|image| {
                image.me.incarnation == holder.incarnation && (image.initialized || first(holder))
            })
        };
        self.history.value.voters.iter().all(has_state)
    }

    /// No machine of a voter is down, cut off or frozen: each counts as lost while it is.
    fn all_in_touch(&self) -> bool {
        let out = self.schedule.iter().flat_map(|schedule| [schedule.cut_off, schedule.frozen]).flatten();
        let voters = &self.history.value.voters;
        let runs = |holder: &VoterInfo| self.voters().any(|voter| voter.me.incarnation == holder.incarnation);
        out.count() == 0 && voters.iter().all(runs)
    }

    /// The next moment at which some voter may decide otherwise than now.
    pub fn next_deadline(&self) -> Option<Tick> {
        let timing = self.timing();
        let election_timeout = timing.election_timeout_ms();
        let mut times = Vec::new();
        for machine in self.machines.iter().map(|machine| &machine.value) {
            let Some(voter) = machine.process.as_ref().filter(|voter| voter.initialized && !voter.removed)
            else {
                continue;
            };
            let stands = election_timeout
                + election_timeout * u64::from(voter.me.number) / 4
                + election_timeout * (voter.current_term.0 % 5) / 10;
            times.push(machine.started + election_timeout);
            match &voter.role {
                VoterRole::Follower { last_contact, .. } => {
                    times.extend([*last_contact + election_timeout, *last_contact + stands]);
                }
                VoterRole::PreCandidate { since, .. } | VoterRole::Candidate { since, .. } => {
                    times.push(*since + stands / 2);
                }
                VoterRole::Leader { since, .. } => {
                    times.extend([voter.leadership_until(), *since + 2 * election_timeout + 1]);
                }
            }
        }
        times.into_iter().filter(|time| *time > self.now).min()
    }

    /// The state after an action, or the invariant that it breaks.
    pub fn after(&self, action: Action) -> Result<World, Broken> {
        let mut next = self.clone();
        next.act(action)?;
        next.act_scheduled(action)?;
        next.initialize();
        next.lose_cut_off();
        next.forget_dead_packets();
        next.check()?;
        Ok(next)
    }

    fn act(&mut self, action: Action) -> Result<(), Broken> {
        match action {
            Action::Deliver { packet, again, slow } => {
                let envelope = self.packets[packet].clone();
                if again {
                    self.budget.duplicates -= 1;
                } else {
                    self.packets.remove(packet);
                }
                self.deliver(&envelope.value, slow)
            }
            Action::Wakeup { machine, slow } => self.step(machine, Event::Timer, slow),
            Action::Sync { machine } => self.sync_oldest(machine),
            Action::Crash { machine, kept } => {
                self.budget.crashes -= 1;
                self.crash(machine, kept);
                Ok(())
            }
            Action::FailSync { machine, kept } => {
                self.budget.crashes -= 1;
                self.edit(machine, |here| here.disk.lose_unsynced(kept));
                self.step(machine, Event::SyncFailed, false)
            }
            Action::Wipe { machine } => {
                self.budget.wipes -= 1;
                self.wipe(machine);
                Ok(())
            }
            Action::Restart { machine } => {
                self.restart(machine);
                Ok(())
            }
            Action::Propose { machine, change, slow } => {
                self.budget.proposals -= 1;
                self.propose(machine, self.changes[change].clone(), slow)
            }
            Action::Yield { machine } => {
                self.budget.yields -= 1;
                self.step(machine, Event::StepDown, false)
            }
            Action::ToDeadline => {
                self.budget.deadlines -= 1;
                self.now = self.next_deadline().unwrap_or(self.now);
                Ok(())
            }
            Action::Beat => {
                self.budget.beats -= 1;
                self.now = self.now + self.timing().heartbeat_ms();
                Ok(())
            }
            Action::Follow { voter } => self.follow(voter),
            _ => Ok(()),
        }
    }

    /// The newest committed index.
    pub fn newest(&self) -> Index {
        self.history.value.newest()
    }

    /// Adds a control node without a disk.
    pub fn add_learner(&mut self) {
        let machine = self.machines.len();
        let image = DurableState::blank(&holder(machine, u8::MAX, incarnation(machine)));
        let disk = RecordWriter { synced: image, unsynced: VecDeque::new() };
        let here = Machine { process: None, disk, started: self.now, waiting: BTreeMap::new() };
        self.machines.push(Digested::new(here));
        self.learner = Some(machine);
        self.restart(machine);
        self.initialize();
    }

    /// Voters whose committed state the learner does not hold yet: newer ones, or older ones, late on their way.
    fn followed(&self) -> Vec<usize> {
        let Some(learner) = self.learner.and_then(|machine| self.voter(machine)) else { return Vec::new() };
        let other = |voter: &Voter| voter.initialized && voter.commit_index() != learner.commit_index();
        (0..=self.size).filter(|machine| self.voter(*machine).is_some_and(other)).collect()
    }

    fn follow(&mut self, voter: usize) -> Result<(), Broken> {
        let (Some(learner), Some(told)) = (self.learner, self.voter(voter)) else { return Ok(()) };
        let cluster_state = Box::new(told.cluster_state.clone());
        let leader = told.leader().map(|leader| leader.rpc_addr);
        self.raw_step(learner, Event::CommittedState { cluster_state, leader })
    }

    fn edit<T>(&mut self, machine: usize, change: impl FnOnce(&mut Machine) -> T) -> T {
        change(Digested::edit(&mut self.machines[machine]))
    }

    fn record<T>(&mut self, change: impl FnOnce(&mut History) -> T) -> T {
        change(Digested::edit(&mut self.history))
    }

    fn initialize(&mut self) {
        self.machines.iter_mut().for_each(Digested::initialize);
        Digested::initialize(&mut self.history);
    }

    pub fn crash(&mut self, machine: usize, kept: usize) {
        self.edit(machine, |here| {
            here.disk.lose_unsynced(kept);
            here.process = None;
            here.waiting.clear();
        });
    }

    pub fn wipe(&mut self, machine: usize) {
        self.crash(machine, 0);
        let image = &self.machine(machine).disk.synced;
        let lost = image.clone();
        let fresh = VoterInfo {
            number: u8::MAX,
            incarnation: Incarnation(lost.me.incarnation.0 + NEXT_INCARNATION),
            ..image.me.clone()
        };
        let mut blank = DurableState::blank(&fresh);
        if self.variant == Some(Variant::BlankVotesAsFormerSelf) {
            let voters = (0..self.size).map(|n| holder(n, n as u8, 10 + n as u64)).collect();
            blank = DurableState {
                me: image.me.clone(),
                initialized: true,
                cluster_state: ClusterState::bootstrapped(CLUSTER, voters),
                ..blank
            };
        }
        self.edit(machine, |here| here.disk.synced = blank);
        self.record(|history| history.lost.insert(lost.me.incarnation, lost));
    }

    pub fn restart(&mut self, machine: usize) {
        let mut started = self.now;
        if self.variant == Some(Variant::VotesRightAfterRestart) {
            started = started - self.timing().election_timeout_ms();
        }
        let mut image = self.machine(machine).disk.synced.clone();
        if self.variant == Some(Variant::ForgetsPromise) {
            image.current_term = image.log_term;
        }
        let seeds = (0..SEEDS).map(address).collect();
        let mut voter = Voter::new(image.me.clone(), CLUSTER, seeds, self.timing(), Some(image), started);
        voter.learner = self.learner == Some(machine);
        self.edit(machine, |here| {
            here.process = Some(voter);
            here.started = started;
        });
    }

    fn propose(&mut self, machine: usize, change: Change, slow: bool) -> Result<(), Broken> {
        let mut change = change;
        if let Change::Apply { op, base, .. } = &mut change {
            let sent_on = *base;
            self.record(|history| history.sent_on.insert(op.clone(), sent_on));
            if self.variant == Some(Variant::RebasesChanges) {
                *base = self.voter(machine).map_or(sent_on, |voter| voter.cluster_state.revision);
            }
        }
        self.step(machine, Event::Propose(change), slow)
    }

    pub fn deliver(&mut self, packet: &Packet, slow: bool) -> Result<(), Broken> {
        let mut message = packet.message.clone();
        match (self.variant, &mut message) {
            (
                Some(Variant::IgnoresVotersLogs | Variant::IgnoresVotersLogsAndReplies),
                Message::Vote { tail, .. },
            ) => {
                *tail = LogTail {
                    log_term: Term(0),
                    last: Index(0),
                    commit_index: Index(0),
                    snapshot: None,
                    entries: Vec::new(),
                };
            }
            // A reply that tells of more than the leader logged would be refused as malformed.
            (
                Some(Variant::IgnoresVotersLogsAndReplies),
                Message::AppendReply { installed: true, last, commit_index, .. },
            ) => {
                let known = self.voter(packet.to).map_or(Index(0), Voter::last_index);
                *last = (*last).min(known);
                *commit_index = (*commit_index).min(known);
            }
            (Some(Variant::IgnoresJoinRequests), Message::JoinRequest { .. }) => return Ok(()),
            (Some(Variant::KnowsVotersBySeatOnly), message) => {
                if let Some(voter) = self.voter(packet.to) {
                    take_for_voter(voter, message);
                }
            }
            _ => {}
        }
        let event = Event::Msg(address(packet.from), message);
        self.step(packet.to, event, slow)
    }

    /// Hands one event to a voter, and carries out what it answers.
    pub fn step(&mut self, machine: usize, event: Event, slow: bool) -> Result<(), Broken> {
        let had_unsynced = !self.machine(machine).disk.unsynced.is_empty();
        self.raw_step(machine, event)?;
        if had_unsynced || self.machine(machine).disk.unsynced.is_empty() {
            return Ok(());
        }
        if slow {
            self.budget.slow_writes -= 1;
            return Ok(());
        }
        self.sync_all(machine)
    }

    pub fn sync_all(&mut self, machine: usize) -> Result<(), Broken> {
        while !self.machine(machine).disk.unsynced.is_empty() {
            self.sync_oldest(machine)?;
        }
        Ok(())
    }

    fn sync_oldest(&mut self, machine: usize) -> Result<(), Broken> {
        match self.edit(machine, |here| here.disk.sync_oldest()) {
            Some(token) => self.raw_step(machine, Event::Synced(token)),
            None => Ok(()),
        }
    }

    fn raw_step(&mut self, machine: usize, event: Event) -> Result<(), Broken> {
        let Some(before) = self.voter(machine) else { return Ok(()) };
        let (accepted_before, led_before) = (before.commit_index(), before.is_leader());
        let formed_before = before.initialized;
        let voters = voters_of(before, &event);
        let now = self.now;
        let variant = self.variant;
        let effects = self.edit(machine, |here| {
            let Some(voter) = &mut here.process else { return Vec::new() };
            let mut effects = voter.step(event.clone(), now);
            if variant == Some(Variant::CountsReplacedVoter) {
                accept_on_replaced_answer(voter, &event, &mut effects);
            }
            effects
        });
        for effect in effects {
            self.carry_out(machine, effect, &voters)?;
        }
        let Some(voter) = self.voter(machine) else { return Ok(()) };
        if !formed_before && voter.initialized && self.history.value.newest() == Index(0) {
            let bootstrapped = voter.cluster_state.voters.clone();
            self.record(|history| history.voters = bootstrapped);
        }
        let Some(voter) = self.voter(machine) else { return Ok(()) };
        // One that has become a spare holds no state.
        if voter.initialized && voter.commit_index() != accepted_before {
            let cluster_state = voter.cluster_state.clone();
            self.record(|history| history.holds(&cluster_state))?;
        }
        if variant == Some(Variant::RefusesWhatWasLogged) && led_before && !self.has_leadership(machine) {
            let waiting = self.machine(machine).waiting.clone();
            self.edit(machine, |here| here.waiting.clear());
            for op in waiting.values().filter_map(Change::op) {
                self.record(|history| history.unlogged(op))?;
            }
        }
        Ok(())
    }

    fn has_leadership(&self, machine: usize) -> bool {
        self.voter(machine).is_some_and(Voter::is_leader)
    }

    fn carry_out(&mut self, machine: usize, effect: Effect, voters: &[Incarnation]) -> Result<(), Broken> {
        match effect {
            Effect::Send { to, msg } => self.send(machine, to, msg),
            Effect::Persist { token, record } => {
                self.edit(machine, |here| here.disk.unsynced.push_back((token, record)));
                if self.variant == Some(Variant::AcknowledgesBeforeSync) {
                    return self.raw_step(machine, Event::Synced(token));
                }
                Ok(())
            }
            Effect::Logged { index, change } => {
                self.record(|history| history.logged(&change));
                self.edit(machine, |here| {
                    here.waiting.insert(index, change.clone());
                });
                match change.op() {
                    Some(op) if self.variant == Some(Variant::AcknowledgesOnceLogged) => {
                        self.tell(op, index, &ApplyOutcome::Accepted { revision: Revision(0) })
                    }
                    _ => Ok(()),
                }
            }
            Effect::Committed { entry, outcome } => self.committed(machine, &entry, &outcome),
            Effect::BecameLeader { term } => {
                let leader = self.machine(machine).disk.synced.me.incarnation;
                self.record(|history| history.has_leadership(term, leader))?;
                self.history.value.elected_by(voters)
            }
            Effect::Interrupted => {
                self.edit(machine, |here| here.waiting.clear());
                Ok(())
            }
            Effect::Removed => self.become_spare(machine),
            Effect::NotLogged { .. }
            | Effect::SnapshotInstalled
            | Effect::VotersDiscovered(_)
            | Effect::Refused { .. } => Ok(()),
        }
    }

    /// A voter that is out is offered a new identity; with it, what its disk held counts as lost.
    fn become_spare(&mut self, machine: usize) -> Result<(), Broken> {
        let held = self.machine(machine).disk.synced.clone();
        let incarnation = Incarnation(held.me.incarnation.0 + NEXT_INCARNATION);
        let identity = VoterInfo { number: u8::MAX, incarnation, ..held.me.clone() };
        self.raw_step(machine, Event::BecomeSpare(Box::new(identity)))?;
        if self.voter(machine).is_some_and(|voter| voter.me.incarnation == incarnation) {
            self.record(|history| history.lost.insert(held.me.incarnation, held));
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) -> Result<(), Broken> {
        let initialized = self.machine(from).disk.synced.initialized;
        if self.history.value.sends(&message, initialized)?
            && let Message::Vote { by, term, .. } = &message
        {
            self.record(|history| history.voted.insert(by.incarnation, *term));
        }
        let Some(to) = (0..self.machines.len()).find(|n| address(*n) == to) else { return Ok(()) };
        self.put(Digested::new(Packet { from, to, message }));
        Ok(())
    }

    /// Puts a message in flight; the same message twice is one.
    pub fn put(&mut self, packet: Arc<Digested<Packet>>) {
        if let Err(at) = self.packets.binary_search_by_key(&packet.digest, |other| other.digest) {
            self.packets.insert(at, packet);
        }
    }

    /// Invariant `acknowledged-is-durable`, at the moment of the first acceptance.
    fn committed(&mut self, machine: usize, entry: &LogEntry, outcome: &ApplyOutcome) -> Result<(), Broken> {
        let first = self.record(|history| history.accepts(entry, outcome))?;
        if first {
            let mut voters = self.history.value.voters.clone();
            if let Change::ReplaceVoter(new) = &entry.change {
                voters.iter_mut().filter(|old| old.number == new.number).for_each(|old| *old = new.clone());
            }
            let copies = self.copies(&voters, entry.index, &entry.change);
            if copies <= voters.len() / 2 {
                return Err(format!(
                    "acknowledged-is-durable: {} accepted with {copies} copies",
                    entry.index
                ));
            }
        }
        let waited = self.edit(machine, |here| here.waiting.remove(&entry.index));
        // Where another change took the place, the operator is told that the outcome is not known.
        match waited.filter(|change| *change == entry.change).as_ref().and_then(Change::op) {
            Some(op) => self.tell(op, entry.index, outcome),
            None => Ok(()),
        }
    }

    fn tell(&mut self, op: &OpId, at: Index, outcome: &ApplyOutcome) -> Result<(), Broken> {
        self.record(|history| history.told(op, at, outcome))
    }

    /// Voters of a voters that hold an accepted change on disk, or held it when their disk was lost:
    /// an answer in flight outlives the disk that it speaks of.
    fn copies(&self, voters: &[VoterInfo], index: Index, change: &Change) -> usize {
        let disks = self.machines.iter().map(|machine| &machine.value.disk.synced);
        let images: Vec<&DurableState> = disks.chain(self.history.value.lost.values()).collect();
        let holds = |holder: &VoterInfo| {
            images
                .iter()
                .any(|image| image.me.incarnation == holder.incarnation && holds(image, index, change))
        };
        voters.iter().filter(|holder| holds(holder)).count()
    }

    /// The invariants over one state.
    fn check(&self) -> Result<(), Broken> {
        let history = &self.history.value;
        let serving: Vec<&Voter> = self.voters().filter(|voter| self.serves(voter)).collect();
        let leading = self.voters().filter(|voter| voter.has_leadership(self.now)).count();
        if serving.len() > 1 || leading > 1 {
            return Err(format!("one-lease: {leading} lead and {} serve at one time", serving.len()));
        }
        if let Some(stale) = serving.iter().find(|voter| voter.commit_index() < history.newest()) {
            let (reads, newest) = (stale.commit_index(), history.newest());
            return Err(format!("reads-are-newest: {} serves {reads}, {newest} is accepted", stale.me.node));
        }
        let Some((newest, (change, _))) = history.order.last_key_value() else { return Ok(()) };
        let copies = self.copies(&history.voters, *newest, change);
        if copies <= history.voters.len() / 2 {
            return Err(format!("accepted-stays: {newest} has {copies} copies, lost disks counted"));
        }
        Ok(())
    }

    /// Leaves out messages that can't have an effect any more, so that states merge. The promised
    /// term on disk never goes down, and a term has one candidate, which asks for votes once.
    fn forget_dead_packets(&mut self) {
        let machines = &self.machines;
        self.packets.retain(|packet| {
            let to = &machines[packet.value.to].value;
            let current_term = to.disk.synced.current_term;
            let has_leadership = to.process.as_ref().is_some_and(Voter::is_leader);
            let candidate =
                matches!(to.process.as_ref().map(|voter| &voter.role), Some(VoterRole::Candidate { .. }));
            match &packet.value.message {
                Message::PreVote { term, .. }
                | Message::PreVoteGranted { term, .. }
                | Message::VoteRequest { term, .. } => *term > current_term,
                Message::Vote { term, .. } => candidate && *term >= current_term,
                Message::AppendReply { term, .. } => has_leadership || *term > current_term,
                _ => true,
            }
        });
        let most = if self.size > VOTERS { MOST_IN_FLIGHT_OF_MANY } else { MOST_IN_FLIGHT };
        self.packets.truncate(most);
    }
}

/// Those whose votes a candidate counts when it takes in this event.
fn voters_of(voter: &Voter, event: &Event) -> Vec<Incarnation> {
    let mut voters = vec![voter.me.incarnation];
    if let VoterRole::Candidate { votes, .. } = &voter.role {
        voters.extend(votes.keys());
    }
    if let Event::Msg(_, Message::Vote { by, .. }) = event {
        voters.push(by.incarnation);
    }
    voters
}

/// For `Variant::KnowsVotersBySeatOnly`: whoever asks for or gives a vote passes as the voter that
/// the receiver knows in that voter, and brings no other voter set.
fn take_for_voter(voter: &Voter, message: &mut Message) {
    let known = |by: &mut VoterId| {
        if let Some(holder) = voter.voters().into_iter().find(|holder| holder.number == by.number) {
            by.incarnation = holder.incarnation;
        }
    };
    match message {
        Message::PreVote { by, .. }
        | Message::PreVoteGranted { by, .. }
        | Message::VoteRequest { by, .. } => known(by),
        Message::Vote { by, tail, .. } => {
            known(by);
            // Nothing of it is taken, and it is well formed: what is not would be refused.
            tail.snapshot = None;
            tail.entries.clear();
            tail.log_term = Term(0);
            tail.last = voter.commit_index();
            tail.commit_index = tail.commit_index.min(tail.last);
        }
        _ => {}
    }
}

/// For `Variant::CountsReplacedVoter`: the answer of a voter that a logged entry replaces accepts it.
fn accept_on_replaced_answer(voter: &mut Voter, event: &Event, effects: &mut Vec<Effect>) {
    let Event::Msg(_, Message::AppendReply { by, .. }) = event else { return };
    let replaced = voter.cluster_state.voters.iter().any(|holder| holder.incarnation == by.incarnation)
        && !voter.is_voter(by);
    let due = voter.log.iter().find(|entry| entry.index == voter.commit_index().next()).cloned();
    if let Some(entry) =
        due.filter(|entry| voter.is_leader() && replaced && voter.durable_index >= entry.index)
    {
        let outcome = voter.cluster_state.apply(entry.index, &entry.change);
        effects.push(Effect::Committed { entry, outcome });
    }
}
