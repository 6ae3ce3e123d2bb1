//! The simulated world: virtual time, the event queue, and the dispatch of events (design 7.1).

use super::{
    Broken, Stats, Violation,
    event::SimEvent,
    invariants::History,
    nodes::{ROUTERS, SimClock, SimRouter, SimVoter},
    operators::Proposal,
};
use common::{Index, Revision};
use control_plane::{consensus::Event, state_machine::singleton::FencingTokens};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque},
};

/// Voters of the default cluster. One spare machine may replace any of them.
pub const DEFAULT_VOTERS: usize = 3;
/// Virtual time at which all faults end; the service must then recover.
pub const FAULTS_END_MS: u64 = 60_000;
/// Virtual time of the last operation; its change has until the end of the run to reach all routers.
pub const LAST_CALL_MS: u64 = 80_000;
/// Virtual time at which the run ends.
pub const END_MS: u64 = 85_000;
/// Longest time, without faults, from the commit of a change until all routers have it.
pub const PROPAGATION_LIMIT_MS: u64 = 1_000;
/// Longest time from the end of the faults until an operation is committed.
pub const RECOVERY_LIMIT_MS: u64 = 12_000;
/// Interval of the voters' timers.
const TIMER_INTERVAL_MS: u64 = 50;

/// State of one run.
pub struct World {
    /// Seed of the run.
    pub seed: u64,
    /// Virtual time in milliseconds.
    pub time_ms: u64,
    /// Random numbers of the run.
    pub rng: SmallRng,
    /// The broken variant that is run, if any.
    pub broken: Option<Broken>,
    /// All voters; the last one is the spare machine.
    pub voters: Vec<SimVoter>,
    /// All routers.
    pub routers: Vec<SimRouter>,
    /// Directed links that are cut, as sender and receiver. Routers are numbered after the voters.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// What was committed and reported so far.
    pub history: History,
    /// Counters of the run.
    pub stats: Stats,
    /// Proposals that wait for their outcome, by leader and log index.
    pub proposals: BTreeMap<(usize, Index), Proposal>,
    /// Tokens that the receiver of singleton actions has seen.
    pub fencing_tokens: FencingTokens,
    /// The last number that was handed out.
    pub last_id: u64,
    /// Due time and id of each queued event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimEvent>,
    trace: VecDeque<String>,
    /// When all faults ended.
    pub faults_ended_at_ms: Option<u64>,
    /// Clients that read and resend operations, if the run has any.
    pub clients: Option<super::clients::Clients>,
    /// The newest revision that all routers must have at the end. A later one may still be on its way, since delayed
    /// operations are committed up to the end of the run.
    pub required_revision: Revision,
}

impl World {
    /// Creates a world with `voter_count` voters and one spare machine. The first three voters are seed nodes.
    pub fn new(seed: u64, broken: Option<Broken>, voter_count: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut clock = |n: usize| SimClock {
            offset: 1_000_000 + rng.random_range(0..1_000_000),
            rate: if broken == Some(Broken::FastClock) && n == 1 {
                4.0
            } else {
                rng.random_range(0.99..1.01)
            },
        };
        let voters = (0..=voter_count).map(|n| SimVoter::new(n, voter_count, clock(n))).collect();
        let routers = (0..ROUTERS).map(|n| SimRouter::new(n, 100 + n as u64, clock(9))).collect();
        let mut world = World {
            seed,
            time_ms: 0,
            rng,
            broken,
            voters,
            routers,
            cut_links: BTreeSet::new(),
            history: History::default(),
            stats: Stats::default(),
            proposals: BTreeMap::new(),
            fencing_tokens: FencingTokens::default(),
            last_id: 1000,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            trace: VecDeque::new(),
            faults_ended_at_ms: None,
            clients: None,
            required_revision: Revision(0),
        };
        world.voters.iter_mut().for_each(|s| s.unlimited_size = broken == Some(Broken::NoSizeLimits));
        for n in 0..voter_count {
            let incarnation = world.next_id();
            world.voters[n].start(0, incarnation);
        }
        (0..=voter_count).for_each(|n| world.push(n as u64, SimEvent::VoterTimer(n)));
        (0..ROUTERS).for_each(|n| world.push(10 + n as u64, SimEvent::RouterTimer(n)));
        world.push(2_500, SimEvent::OperatorCall);
        world.push(4_000, SimEvent::InjectFault);
        world
    }

    /// Returns a new number, unique within the run.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Schedules an event in `after` milliseconds.
    pub fn push(&mut self, after: u64, event: SimEvent) {
        let id = self.next_id();
        self.queue.push(Reverse((self.time_ms + after, id)));
        self.events.insert(id, event);
    }

    /// Adds a line to the trace, which keeps the latest 60.
    pub fn trace_line(&mut self, line: String) {
        self.trace.push_back(format!("{:>6} {line}", self.time_ms));
        if self.trace.len() > 60 {
            self.trace.pop_front();
        }
    }

    fn violation(&self, what: String) -> Violation {
        Violation { seed: self.seed, at_ms: self.time_ms, what, trace: self.trace.iter().cloned().collect() }
    }

    /// Processes all events up to the end of the run, and checks the invariants after each.
    pub fn run(&mut self) -> Result<(), Violation> {
        while let Some(Reverse((due_ms, id))) = self.queue.pop() {
            if due_ms > END_MS {
                break;
            }
            self.time_ms = due_ms;
            let Some(event) = self.events.remove(&id) else { continue };
            self.stats.steps += 1;
            self.handle(event).and_then(|_| self.check_single_leader()).map_err(|e| self.violation(e))?;
        }
        self.check_end_state().map_err(|e| self.violation(e))
    }

    /// At most one voter is the leader at any time.
    fn check_single_leader(&self) -> Result<(), String> {
        let leaders: Vec<&str> = self
            .voters
            .iter()
            .filter(|s| s.frozen_until_ms <= self.time_ms)
            .filter(|s| s.voter.as_ref().is_some_and(|x| x.has_leadership(s.clock.at(self.time_ms))))
            .map(|s| s.identity.node.as_str())
            .collect();
        if leaders.len() > 1 { Err(format!("two voters lead at once: {leaders:?}")) } else { Ok(()) }
    }

    /// At the end: the service recovered in time, the leader serves the newest accepted document, no accepted operation
    /// is lost, and all routers have the required revision.
    fn check_end_state(&mut self) -> Result<(), String> {
        if self.stats.recovery_ms == 0 || self.stats.recovery_ms > RECOVERY_LIMIT_MS {
            let voters: Vec<String> = self.voters.iter().map(SimVoter::describe).collect();
            let recovery_ms = self.stats.recovery_ms;
            return Err(format!(
                "no operation was committed within {RECOVERY_LIMIT_MS} ms after the faults ended: {recovery_ms}; {voters:#?}"
            ));
        }
        let lead = self
            .voters
            .iter()
            .find(|s| s.voter.as_ref().is_some_and(|x| x.can_serve_reads(s.clock.at(self.time_ms))));
        let Some(state) = lead.and_then(|s| s.voter.as_ref()).map(|s| &s.cluster_state) else {
            return Err("no voter leads at the end".into());
        };
        let read = (state.revision, state.text.clone());
        if read != self.history.newest_document {
            return Err(format!(
                "the leader has {:?} where {:?} is the newest accepted",
                read.0, self.history.newest_document.0
            ));
        }
        for (op, index) in &self.history.reported_accepted {
            if !matches!(self.history.committed.get(index), Some((c, _)) if c.op() == Some(op)) {
                return Err(format!("{op}, reported as accepted at {index}, is gone"));
            }
        }
        let known = self.required_revision..=state.revision;
        let behind = self.routers.iter().find(|router| !known.contains(&router.cluster_state.revision));
        match behind {
            Some(router) => Err(format!(
                "{} still has revision {}, neither {} nor newer up to {}",
                router.info.node, router.cluster_state.revision, self.required_revision, state.revision
            )),
            None => Ok(()),
        }
    }

    fn handle(&mut self, event: SimEvent) -> Result<(), String> {
        match event {
            SimEvent::VoterTimer(n) => {
                self.push(TIMER_INTERVAL_MS, SimEvent::VoterTimer(n));
                self.voter_step(n, Event::Timer)?;
                self.expire(n)
            }
            SimEvent::Consensus { to, from, msg } => self.deliver(to, from, *msg),
            SimEvent::Synced { voter, starts } => self.write_synced(voter, starts),
            SimEvent::RouterTimer(n) => self.router_timer(n),
            SimEvent::Renew { voter, router, info, sent } => self.renew_lease(voter, router, info, sent),
            SimEvent::Renewed { router, incarnation, epoch, sent } => {
                self.extend_lease(router, incarnation, epoch, sent)
            }
            SimEvent::RequestUpdate { voter, router, have } => self.send_update(voter, router, have),
            SimEvent::StateUpdate { router, state_update } => self.install_update(router, *state_update),
            SimEvent::SingletonAction { fencing_token, node } => self.singleton_action(fencing_token, node),
            SimEvent::OperatorCall => self.operator_call(),
            SimEvent::ClientCall => self.client_call(),
            SimEvent::Forward { to, change } => self.forwarded(to, *change),
            SimEvent::InjectFault => self.inject_fault(),
            SimEvent::RefuseWrites { voter, for_ms } => {
                self.refuse_writes(voter, for_ms);
                Ok(())
            }
            SimEvent::RecoverDisk { voter, starts } => self.recover_disk(voter, starts),
            SimEvent::EndFault(end) => self.end_fault(*end),
        }
    }
}
