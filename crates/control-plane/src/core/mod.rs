//! The daemon around a voter (design 2.7): carries out effects, syncs off the async threads.

mod connectivity;
mod drive;
mod folder;
mod leader;
mod propose;
mod recorder;
mod serve;

pub use drive::{LogWriter, LogWriterFactory, files};
pub use folder::{DataFolder, blank};
pub use recorder::{Recorder, RecoveryBackoff};

use crate::{
    change::{ApplyOutcome, Change, VoterInfo},
    cluster_state::ClusterState,
    consensus::{DurableState, Effect, Event, LogEntry, Voter},
    lease::Leases,
    rpc::{ControlRequest, ControlResponse, ProposalOutcome},
};
use common::{Clock, Index, NodeId, Revision, Tick, link::RpcClient, log_event, settings::Settings};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::{oneshot, watch};

pub type ControlClient = RpcClient<ControlRequest, ControlResponse>;

/// Messages of more than this go by a line of their own, and have a millisecond more for each part.
const BULK: usize = 64 << 10;
const BYTES_A_MS: u64 = 512;

/// Why a voter refuses at once.
const OUT_OF_TOUCH: &str = "out of touch with a majority of the core; nothing was sent";

struct Inner {
    voter: Voter,
    leases: Leases,
    waiting: BTreeMap<Index, (Change, oneshot::Sender<ProposalOutcome>)>,
    /// What governs at each node, by its own last renewal.
    reports: BTreeMap<NodeId, (Index, Revision, Tick)>,
    /// When this voter was last in touch with its leader, or with a majority as the leader.
    in_touch: Tick,
    /// Who last answered as the leader, and when.
    answered: Option<(SocketAddr, Tick)>,
}

pub struct Core {
    pub set: Settings,
    pub clock: Clock,
    pub lines: ControlClient,
    /// For what is long: heartbeats must not wait behind it on their connection (design 2.3).
    bulk: ControlClient,
    inner: Mutex<Inner>,
    disk: Box<dyn LogWriter>,
    moved: watch::Sender<Index>,
}

/// What a core starts from.
pub enum Start {
    /// What its disk holds.
    Whole(Box<DurableState>),
    /// Its disk can't be read or written yet: it takes part in nothing until its drive recovers.
    Waiting(Box<VoterInfo>),
}

impl From<DurableState> for Start {
    fn from(image: DurableState) -> Self {
        Start::Whole(Box::new(image))
    }
}

impl Start {
    fn into_image(self) -> DurableState {
        match self {
            Start::Whole(image) => *image,
            Start::Waiting(holder) => Voter::blank_state(&holder),
        }
    }
}

/// What operators are shown of a voter.
pub struct Status {
    pub cluster_state: ClusterState,
    pub me: VoterInfo,
    pub leader: Option<VoterInfo>,
    pub initialized: bool,
    pub voting: bool,
    pub term: u64,
    pub reports: BTreeMap<NodeId, (Index, Revision)>,
}

impl Core {
    /// Takes up a voter from what its disk held, where it can be read, and writes to the drive that is made for it.
    /// A founder waits for so many voters, where they are more than the seeds.
    pub fn start(
        set: Settings,
        voters: usize,
        start: impl Into<Start>,
        drive: LogWriterFactory,
    ) -> Arc<Core> {
        let clock = Clock::default();
        let start = start.into();
        let waiting = matches!(start, Start::Waiting(_));
        let image = start.into_image();
        let mut voter = Voter::new(
            image.me.clone(),
            &set.cluster,
            set.seeds.clone(),
            set.timing.clone(),
            Some(image),
            clock.now(),
        );
        voter.secret = common::runtime::draw();
        voter.may_bootstrap = set.may_bootstrap;
        voter.expected_voters = voters;
        voter.disk_failed = waiting;
        let (moved, _) = watch::channel(voter.accepted());
        let inner = Inner {
            voter,
            leases: Leases::default(),
            waiting: BTreeMap::new(),
            reports: BTreeMap::new(),
            in_touch: clock.now(),
            answered: None,
        };
        let line = || RpcClient::new(set.me(), crate::rpc::SERVICE);
        let (lines, bulk) = (line(), line());
        let core = Arc::new_cyclic(|me| Core {
            set,
            clock,
            lines,
            bulk,
            inner: Mutex::new(inner),
            disk: drive(me.clone()),
            moved,
        });
        let c = core.clone();
        common::runtime::spawn(async move {
            let mut expired_members =
                tokio::time::interval(Duration::from_millis((c.set.timing.heartbeat_ms() / 2).max(5)));
            loop {
                expired_members.tick().await;
                c.step(Event::Timer);
                c.connectivity();
                c.lease_timer();
            }
        });
        core
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn step(self: &Arc<Self>, event: Event) {
        let mut g = self.lock();
        let effects = g.voter.step(event, self.clock.now());
        self.carry_out(&mut g, effects);
    }

    /// The line for a message of that weight, and how long it may take.
    fn line(&self, weight: usize) -> (&ControlClient, u64) {
        let ms = self.set.timing.rpc_timeout_ms;
        if weight <= BULK { (&self.lines, ms) } else { (&self.bulk, 4 * ms + weight as u64 / BYTES_A_MS) }
    }

    /// Hands the lead over before a planned stop, and waits for another to take it.
    pub async fn hand_over_leadership(self: &Arc<Self>) {
        self.step(Event::StepDown);
        let t = &self.set.timing;
        tokio::time::sleep(Duration::from_millis(t.heartbeat_ms() * 3)).await;
    }

    fn carry_out(self: &Arc<Self>, g: &mut Inner, effects: Vec<Effect>) {
        for f in effects {
            match f {
                Effect::Send { to, msg } => {
                    let (c, from, weight) = (self.clone(), self.set.rpc_addr(), msg.weight());
                    common::runtime::spawn(async move {
                        let (line, ms) = c.line(weight);
                        let ask = ControlRequest::Consensus { from, msg: Box::new(msg) };
                        let _ = line.call_within(ms, "seat", to, ask).await;
                    });
                }
                Effect::Persist { token, record } => {
                    self.disk.write(token, record);
                }
                Effect::Committed { entry, outcome } => self.accepted(g, entry, outcome),
                Effect::SnapshotInstalled | Effect::Interrupted => {
                    // Places passed over are not told one by one.
                    std::mem::take(&mut g.waiting)
                        .into_iter()
                        .for_each(|(_, w)| drop(w.1.send(ProposalOutcome::Undetermined)));
                    self.moved.send_replace(g.voter.accepted());
                }
                Effect::BecameLeader { term } => {
                    g.leases = Leases::new_leader(self.clock.now());
                    log_event!(Info, "lead", "view" => term.0);
                }
                Effect::Removed => {
                    log_event!(Error, "seat lost", "cause" => "another holder was accepted for this seat")
                }
                Effect::Refused { from, why } => {
                    log_event!(Warn, "seat message", "peer" => from, "cause" => why.to_string())
                }
                Effect::Logged { .. } | Effect::NotLogged { .. } => {}
            }
        }
    }

    fn accepted(&self, g: &mut Inner, e: LogEntry, outcome: ApplyOutcome) {
        if let Some((ch, tx)) = g.waiting.remove(&e.index) {
            let same = ch == e.change;
            let _ = tx.send(if same {
                ProposalOutcome::Committed { index: e.index, outcome }
            } else {
                ProposalOutcome::Undetermined
            });
        }
        self.moved.send_replace(g.voter.accepted());
    }
}
