//! A node's own side of its membership (design 3.1, 3.3): it renews its lease at the leader, follows the cluster
//! state, and detects when its copy of the state lags behind.

use super::HeldLease;
use crate::{
    rpc::{ControlClient, ControlRequest, ControlResponse, SERVICE},
    state_machine::ClusterState,
    types::{MAX_VOTERS, NodeInfo},
};
use arc_swap::ArcSwap;
use common::{
    Clock, Epoch, Index, Revision, Tick, error::PeerError, lock, log_event, runtime::spawn,
    settings::Settings, source_backoff::SourceBackoff,
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// This node as a member: its lease and its copy of the cluster state.
pub struct LocalMember {
    /// The node's settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    /// How the node describes itself when it joins or renews.
    pub info: NodeInfo,
    /// Client for requests to control nodes.
    pub control: Arc<ControlClient>,
    /// This node's copy of the cluster state.
    pub cluster_state: ArcSwap<ClusterState>,
    /// Index of that copy; sent each time the copy changes.
    pub applied: watch::Sender<Index>,
    /// Notified when an update may hold a change by an operator.
    pub(super) operator_change: Notify,
    lease: Mutex<HeldLease>,
    /// Revision of the document whose compiled form is in use on this node.
    pub active_revision: AtomicU64,
    /// The node that answered the last renewal as the leader.
    leader: Mutex<Option<SocketAddr>>,
    /// Addresses of voters that another control node reported; needed until the cluster state names the voters.
    announced_voters: Mutex<Vec<SocketAddr>>,
    /// Indexes that the leader announced and that this node's copy has not reached, each with a time before the
    /// announcement.
    pub(super) announced: Mutex<VecDeque<(Index, Tick)>>,
    /// Changes are missing between the copy and an update: the next request asks for a snapshot.
    pub(super) gap: AtomicBool,
    /// Voters that did not answer when they were asked for an update.
    pub(super) silent_voters: Mutex<SourceBackoff<SocketAddr>>,
    /// The node is stopping and no longer renews its lease.
    leaving: AtomicBool,
}

/// Address of a voter, and whether it is in this node's zone.
#[derive(Clone, Copy)]
pub(super) struct VoterAddr {
    pub(super) addr: SocketAddr,
    pub(super) same_zone: bool,
}

impl LocalMember {
    /// A node that is not a member yet.
    pub fn new(settings: Settings, info: NodeInfo, clock: Clock) -> Arc<Self> {
        let control = Arc::new(ControlClient::new(settings.local_node(), SERVICE));
        Arc::new(Self {
            settings,
            clock,
            info,
            control,
            cluster_state: ArcSwap::from_pointee(ClusterState::default()),
            applied: watch::channel(Index(0)).0,
            operator_change: Notify::new(),
            lease: Mutex::default(),
            active_revision: AtomicU64::new(0),
            leader: Mutex::default(),
            announced_voters: Mutex::default(),
            announced: Mutex::default(),
            gap: AtomicBool::new(false),
            silent_voters: Mutex::default(),
            leaving: AtomicBool::new(false),
        })
    }

    /// Starts the tasks that renew the lease and follow the cluster state.
    pub fn start(self: &Arc<Self>) {
        spawn(self.clone().keep_lease());
        spawn(self.clone().keep_following());
    }

    /// Renews the lease at each renewal interval. Without a lease it asks at each heartbeat, since a join is committed
    /// within one or two of them.
    async fn keep_lease(self: Arc<Self>) {
        while !self.leaving.load(Ordering::Acquire) {
            self.renew().await;
            let timing = &self.settings.timing;
            let wait_ms = if self.has_lease() { timing.renew_interval_ms() } else { timing.heartbeat_ms() };
            // A renewal reports the index of this node's copy. An operator waits for that of its own change, so such an
            // index is sent at once.
            let _ =
                tokio::time::timeout(Duration::from_millis(wait_ms), self.operator_change.notified()).await;
        }
    }

    /// The lease as this node counts it now.
    pub fn lease(&self) -> HeldLease {
        *lock(&self.lease)
    }

    /// Extends the lease, counted from `sent`: a time before the request to renew was sent.
    pub fn extend_lease(&self, epoch: Epoch, sent: Tick) {
        let mut lease = lock(&self.lease);
        if lease.epoch != epoch {
            log_event!(Info, "lease", "epoch" => epoch.0);
        }
        lease.extend(epoch, sent, &self.settings.timing);
    }

    /// Whether this node's lease is valid now.
    pub fn has_lease(&self) -> bool {
        self.lease().valid(self.clock.now())
    }

    /// Whether the copy of the state has reached this node's own join, so that it is not older than any state that
    /// this node served by before a restart (design 3.3).
    pub fn caught_up(&self) -> bool {
        let epoch = self.lease().epoch;
        epoch.0 > 0 && self.cluster_state.load().index.0 >= epoch.0
    }

    /// Records that the leader announced an index as committed; `before` is a time before it did.
    pub fn note_announced_index(&self, index: Index, before: Tick) {
        let mut announced = lock(&self.announced);
        let newest = announced.back().map(|(index, _)| *index).unwrap_or_default();
        if index > newest.max(self.cluster_state.load().index) {
            announced.push_back((index, before));
        }
    }

    /// Whether this node has a lease, but has been missing an announced index for longer than an election timeout:
    /// it must not serve by its copy of the state (design 3.6).
    pub fn lags(&self) -> bool {
        let announced = lock(&self.announced);
        let overdue = |(_, before): &(Index, Tick)| {
            self.clock.now().since(*before) > self.settings.timing.election_timeout_ms()
        };
        self.has_lease() && announced.front().is_some_and(overdue)
    }

    /// Addresses of control nodes: the voters that the state names, those that were reported, and the seeds.
    pub(super) fn voters(&self) -> Vec<VoterAddr> {
        let state = self.cluster_state.load();
        let known = state.voters.iter();
        let mut voters: Vec<VoterAddr> = known
            .map(|voter| VoterAddr { addr: voter.rpc_addr, same_zone: voter.zone == self.info.zone })
            .collect();
        let announced = lock(&self.announced_voters).clone();
        for seed in announced.iter().chain(&self.settings.seeds) {
            if !voters.iter().any(|voter| voter.addr == *seed) {
                voters.push(VoterAddr { addr: *seed, same_zone: false });
            }
        }
        voters
    }

    /// Records addresses of voters that another control node reported.
    pub(crate) fn note_voters(&self, voters: Vec<SocketAddr>) {
        *lock(&self.announced_voters) = voters;
    }

    pub(crate) fn known_leader(&self) -> Option<SocketAddr> {
        *lock(&self.leader)
    }

    fn set_leader(&self, leader: Option<SocketAddr>) {
        *lock(&self.leader) = leader;
    }

    /// Addresses of all voters, the known leader first.
    fn voters_from_leader(&self) -> Vec<SocketAddr> {
        let leader = self.known_leader();
        let others = self.voters().into_iter().map(|voter| voter.addr).filter(|addr| Some(*addr) != leader);
        leader.into_iter().chain(others).collect()
    }

    /// Asks one voter after the other to extend the lease. Where one names the leader, the leader is asked next.
    async fn renew(&self) {
        let mut candidates = self.voters_from_leader();
        let mut asked = 0;
        while asked < candidates.len() && asked <= MAX_VOTERS {
            let to = candidates[asked];
            asked += 1;
            let sent = self.clock.now();
            match self.request_renewal(to).await {
                Ok(ControlResponse::Renewed { epoch, index }) => {
                    self.note_announced_index(index, sent);
                    self.extend_lease(epoch, sent);
                    return self.set_leader(Some(to));
                }
                Ok(ControlResponse::Pending) => return self.set_leader(Some(to)),
                Ok(ControlResponse::NotLeader { leader: Some(leader) })
                    if !candidates[..asked].contains(&leader.rpc_addr) =>
                {
                    candidates.insert(asked, leader.rpc_addr);
                }
                Ok(_) => {}
                Err(e) => log_event!(Debug, e.step, "peer" => e.peer, "cause" => e.cause()),
            }
        }
        self.set_leader(None);
    }

    /// Sends one request to renew. It has the full RPC timeout, since opening a connection takes three round trips.
    async fn request_renewal(&self, to: SocketAddr) -> Result<ControlResponse, PeerError> {
        let request = ControlRequest::Renew {
            info: self.info.clone(),
            index: self.cluster_state.load().index,
            revision: Revision(self.active_revision.load(Ordering::Acquire)),
        };
        self.control.call("renew", to, request).await
    }

    /// Gives up the lease on a planned stop.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        // A renewal that is still in flight must not arrive after the leave: it would make the node join again.
        tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms())).await;
        let known = self.known_leader();
        for to in known.into_iter().chain(self.voters().into_iter().map(|voter| voter.addr)) {
            let request = ControlRequest::Leave { info: self.info.clone() };
            if let Ok(ControlResponse::Done) = self.control.call("leave", to, request).await {
                return;
            }
        }
    }
}
