//! A running control node (design 2.7): carries out the effects that its voter returns, keeps the leases while it
//! leads, and answers requests from other processes.

mod connectivity;
mod leader_client;
mod learner;
mod log_writer;
mod proposals;
mod rpc_service;
mod start;

pub use leader_client::ReadError;
pub use learner::diskless_start;
pub use log_writer::{LogWriter, LogWriterFactory, open_data_folder};
pub use rpc_service::listen;
pub use start::{Bootstrap, Start, voters_to_tolerate};

use crate::{
    consensus::{Effect, Event, Voter},
    membership::Leases,
    rpc::{ControlClient, ControlRequest, ProposalOutcome, SERVICE},
    state_machine::ClusterState,
    storage::blank_voter,
    types::{ApplyOutcome, Change, LogEntry, VoterInfo},
};
use common::{Clock, Index, NodeId, Revision, Tick, lock, log_event, runtime::spawn, settings::Settings};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::{oneshot, watch};

/// Longer messages use a separate connection and have a longer timeout.
const BULK_BYTES: usize = 64 << 10;
/// Slowest link on which such a message still arrives in time, in bytes per millisecond.
const BULK_BYTES_PER_MS: u64 = 512;
/// Shortest interval between two timer events, in milliseconds.
const MIN_TICK_MS: u64 = 5;

/// Why a request is refused without being sent on.
const OUT_OF_CONTACT: &str = "out of contact with a majority of the control nodes; nothing was sent";

/// A proposal that was logged and is not yet committed.
struct PendingProposal {
    change: Change,
    outcome: oneshot::Sender<ProposalOutcome>,
}

/// What a member reported with its last renewal.
struct MemberReport {
    /// Index of the member's copy of the cluster state.
    index: Index,
    /// Revision of the document that is active on the member.
    revision: Revision,
    at: Tick,
}

/// The node that last answered as the leader, and when.
#[derive(Clone, Copy)]
struct LeaderSighting {
    addr: SocketAddr,
    at: Tick,
}

struct Inner {
    voter: Voter,
    leases: Leases,
    pending: BTreeMap<Index, PendingProposal>,
    reports: BTreeMap<NodeId, MemberReport>,
    /// When this voter was last in contact with its leader, or with a majority as the leader.
    last_contact: Tick,
    leader_seen: Option<LeaderSighting>,
    /// When this leader last sent the list of voters to silent learners.
    voters_announced_at: Tick,
}

/// A running control node.
pub struct ControlNode {
    /// The node's settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    client: ControlClient,
    /// Client for long messages, with connections of its own: heartbeats must not queue behind them (design 2.3).
    bulk_client: ControlClient,
    inner: Mutex<Inner>,
    log_writer: Box<dyn LogWriter>,
    /// Sends the commit index each time it changes.
    committed: watch::Sender<Index>,
    /// Addresses of the voters that a leader announced to this learner.
    discovered: watch::Sender<Vec<SocketAddr>>,
}

/// Status of a control node, as operators see it.
pub struct Status {
    /// The node's copy of the cluster state.
    pub cluster_state: ClusterState,
    /// The node's identity as a voter.
    pub identity: VoterInfo,
    /// The leader, as far as it is known.
    pub leader: Option<VoterInfo>,
    /// Whether the node holds the state of a cluster.
    pub initialized: bool,
    /// Whether the node takes part in elections and commits.
    pub voting: bool,
    /// The node's current term.
    pub term: u64,
    /// Recent reports of members: the index of their copy of the state, and the revision of the document that is active
    /// there.
    pub reports: BTreeMap<NodeId, (Index, Revision)>,
}

impl ControlNode {
    /// Starts a control node; `log_writer` makes its log writer.
    pub fn start(
        settings: Settings,
        bootstrap: Bootstrap,
        start: impl Into<Start>,
        log_writer: LogWriterFactory,
    ) -> Arc<ControlNode> {
        let clock = Clock::default();
        let voter = start::new_voter(&settings, bootstrap, start.into(), clock.now());
        let (committed, _) = watch::channel(voter.commit_index());
        let inner = Inner {
            voter,
            leases: Leases::default(),
            pending: BTreeMap::new(),
            reports: BTreeMap::new(),
            last_contact: clock.now(),
            leader_seen: None,
            voters_announced_at: Tick(0),
        };
        let client = || ControlClient::new(settings.local_node(), SERVICE);
        let (client, bulk_client) = (client(), client());
        let node = Arc::new_cyclic(|node| ControlNode {
            settings,
            clock,
            client,
            bulk_client,
            inner: Mutex::new(inner),
            log_writer: log_writer(node.clone()),
            committed,
            discovered: watch::channel(Vec::new()).0,
        });
        spawn(node.clone().run_timer());
        node
    }

    async fn run_timer(self: Arc<Self>) {
        let tick_ms = (self.settings.timing.heartbeat_ms() / 2).max(MIN_TICK_MS);
        let mut ticks = tokio::time::interval(Duration::from_millis(tick_ms));
        loop {
            ticks.tick().await;
            self.step(Event::Timer);
            self.connectivity();
            self.expire_leases();
            self.announce_voters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Passes an event to the voter and carries out the effects.
    pub fn step(self: &Arc<Self>, event: Event) {
        let mut inner = self.lock();
        let effects = inner.voter.step(event, self.clock.now());
        self.carry_out(&mut inner, effects);
    }

    /// The client for a message of this length, and the timeout of the call in milliseconds.
    fn client_for(&self, message_len: usize) -> (&ControlClient, u64) {
        let timeout_ms = self.settings.timing.rpc_timeout_ms;
        if message_len <= BULK_BYTES {
            return (&self.client, timeout_ms);
        }
        (&self.bulk_client, 4 * timeout_ms + message_len as u64 / BULK_BYTES_PER_MS)
    }

    /// Hands the leadership over before a planned stop, and waits for another voter to be elected.
    pub async fn hand_over_leadership(self: &Arc<Self>) {
        self.step(Event::StepDown);
        let heartbeat_ms = self.settings.timing.heartbeat_ms();
        tokio::time::sleep(Duration::from_millis(heartbeat_ms * 3)).await;
    }

    fn carry_out(self: &Arc<Self>, inner: &mut Inner, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, msg } => self.send(to, msg),
                Effect::Persist { token, record } => self.log_writer.write(token, record),
                Effect::Committed { entry, outcome } => self.report_committed(inner, entry, outcome),
                Effect::SnapshotInstalled | Effect::Interrupted => self.abandon_pending(inner),
                Effect::BecameLeader { term } => {
                    inner.leases = Leases::new_leader(self.clock.now());
                    log_event!(Info, "became leader", "term" => term.0);
                }
                Effect::Removed => {
                    let cause = "another node was committed as the holder of this voter's number";
                    log_event!(Error, "removed", "cause" => cause);
                    let identity = Box::new(blank_voter(&self.settings));
                    let effects = inner.voter.step(Event::BecomeSpare(identity), self.clock.now());
                    self.carry_out(inner, effects);
                }
                Effect::VotersDiscovered(voters) => {
                    log_event!(Info, "voters discovered", "voters" => voters.len());
                    self.discovered.send_replace(voters.iter().map(|voter| voter.rpc_addr).collect());
                }
                Effect::MessageRejected { from, why } => {
                    log_event!(Warn, "consensus message", "peer" => from, "cause" => why.to_string());
                }
                Effect::Logged { .. } | Effect::NotLogged { .. } => {}
            }
        }
    }

    fn send(self: &Arc<Self>, to: SocketAddr, msg: crate::consensus::Message) {
        let (node, from, message_len) = (self.clone(), self.settings.advertised_rpc(), msg.max_payload_len());
        spawn(async move {
            let (client, timeout_ms) = node.client_for(message_len);
            let request = ControlRequest::Consensus { from, msg: Box::new(msg) };
            let _ = client.call_within(timeout_ms, "consensus", to, request).await;
        });
    }

    fn report_committed(&self, inner: &mut Inner, entry: LogEntry, outcome: ApplyOutcome) {
        if let Some(proposal) = inner.pending.remove(&entry.index) {
            let same_change = proposal.change == entry.change;
            let committed = ProposalOutcome::Committed { index: entry.index, outcome };
            let _ =
                proposal.outcome.send(if same_change { committed } else { ProposalOutcome::Undetermined });
        }
        self.committed.send_replace(inner.voter.commit_index());
    }

    /// Entries that a snapshot or an interruption skipped are not reported one by one, so the outcome of each pending
    /// proposal is undetermined.
    fn abandon_pending(&self, inner: &mut Inner) {
        for proposal in std::mem::take(&mut inner.pending).into_values() {
            let _ = proposal.outcome.send(ProposalOutcome::Undetermined);
        }
        self.committed.send_replace(inner.voter.commit_index());
    }
}
