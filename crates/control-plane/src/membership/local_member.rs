//! A node's own side of its membership (design 3.1, 3.3): it renews its lease at the leader, follows the cluster
//! state, and knows when it lags behind.

use super::HeldLease;
use crate::{
    rpc::{ControlClient, ControlRequest, ControlResponse, SERVICE},
    state_machine::ClusterState,
    types::{MAX_VOTERS, NodeInfo},
};
use arc_swap::ArcSwap;
use common::{
    Clock, Epoch, Index, Revision, Tick, error::PeerError, lock, log_event, runtime::spawn,
    settings::Settings,
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
use tokio::sync::watch;

/// A node's membership and its copy of the cluster state.
pub struct LocalMember {
    /// The node's settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    /// The node as it presents itself.
    pub info: NodeInfo,
    /// Client of the control nodes.
    pub control: Arc<ControlClient>,
    /// Newest state that this node has seen.
    pub cluster_state: ArcSwap<ClusterState>,
    /// Index of that state; changes when it does.
    pub applied: watch::Sender<Index>,
    lease: Mutex<HeldLease>,
    /// Revision whose compiled form is in use here.
    pub active_revision: AtomicU64,
    /// Who answered the last renewal.
    leader: Mutex<Option<SocketAddr>>,
    /// Voters that others told of, for as long as the state that names them is not here.
    announced_voters: Mutex<Vec<SocketAddr>>,
    /// Indexes that the leader announced and that are not held yet, each with a time before it did.
    pub(super) announced: Mutex<VecDeque<(Index, Tick)>>,
    /// A gap was found in the updates: the next request asks for a snapshot.
    pub(super) gap: AtomicBool,
    /// On its way out: renews no more.
    leaving: AtomicBool,
}

/// A voter that may be asked.
#[derive(Clone, Copy)]
pub(super) struct VoterAddr {
    pub(super) addr: SocketAddr,
    pub(super) same_zone: bool,
}

impl LocalMember {
    /// A node that holds no membership yet.
    pub fn new(settings: Settings, info: NodeInfo, clock: Clock) -> Arc<Self> {
        let control = Arc::new(ControlClient::new(settings.local_node(), SERVICE));
        Arc::new(Self {
            settings,
            clock,
            info,
            control,
            cluster_state: ArcSwap::from_pointee(ClusterState::default()),
            applied: watch::channel(Index(0)).0,
            lease: Mutex::default(),
            active_revision: AtomicU64::new(0),
            leader: Mutex::default(),
            announced_voters: Mutex::default(),
            announced: Mutex::default(),
            gap: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        })
    }

    /// Starts to renew the lease and to follow the cluster state.
    pub fn start(self: &Arc<Self>) {
        spawn(self.clone().keep_lease());
        spawn(self.clone().keep_following());
    }

    /// Without a lease it asks with each heartbeat: a join is committed within one or two.
    async fn keep_lease(self: Arc<Self>) {
        let mut applied = self.applied.subscribe();
        while !self.leaving.load(Ordering::Acquire) {
            applied.borrow_and_update();
            self.renew().await;
            let timing = &self.settings.timing;
            let wait_ms = if self.has_lease() { timing.renew_interval_ms() } else { timing.heartbeat_ms() };
            // What is new here is reported at once: an operator may wait for it.
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms), applied.changed()).await;
        }
    }

    /// The lease as it is held now.
    pub fn lease(&self) -> HeldLease {
        *lock(&self.lease)
    }

    /// Takes a lease, counted from before its renewal was sent.
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

    /// Whether the copy of the state is at least as new as the own join: nothing that was in force before a
    /// restart of this node is newer (design 3.3).
    pub fn caught_up(&self) -> bool {
        let epoch = self.lease().epoch;
        epoch.0 > 0 && self.cluster_state.load().index.0 >= epoch.0
    }

    /// The leader announced an index; `before` is a time before it did.
    pub fn note_announced_index(&self, index: Index, before: Tick) {
        let mut announced = lock(&self.announced);
        let newest = announced.back().map(|(index, _)| *index).unwrap_or_default();
        if index > newest.max(self.cluster_state.load().index) {
            announced.push_back((index, before));
        }
    }

    /// Whether it renews its lease and has lacked for an election time-out what the leader announced: it must not
    /// serve by what it holds (design 3.6).
    pub fn lags(&self) -> bool {
        let announced = lock(&self.announced);
        let late = |(_, before): &(Index, Tick)| {
            self.clock.now().since(*before) > self.settings.timing.election_timeout_ms()
        };
        self.has_lease() && announced.front().is_some_and(late)
    }

    /// The control nodes' addresses: those of the voters where they are known, and the seeds.
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

    /// Others told who the voters are.
    pub(crate) fn note_voters(&self, voters: Vec<SocketAddr>) {
        *lock(&self.announced_voters) = voters;
    }

    pub(crate) fn known_leader(&self) -> Option<SocketAddr> {
        *lock(&self.leader)
    }

    fn set_leader(&self, leader: Option<SocketAddr>) {
        *lock(&self.leader) = leader;
    }

    /// The known leader first, then all voters.
    fn voters_from_leader(&self) -> Vec<SocketAddr> {
        let leader = self.known_leader();
        let others = self.voters().into_iter().map(|voter| voter.addr).filter(|addr| Some(*addr) != leader);
        leader.into_iter().chain(others).collect()
    }

    /// Asks one voter after the other to extend the lease. A voter that knows the leader is followed by it.
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

    /// Opening a connection takes three round trips: the call may take as long as any.
    async fn request_renewal(&self, to: SocketAddr) -> Result<ControlResponse, PeerError> {
        let request = ControlRequest::Renew {
            info: self.info.clone(),
            index: self.cluster_state.load().index,
            revision: Revision(self.active_revision.load(Ordering::Acquire)),
        };
        self.control.call("renew", to, request).await
    }

    /// Gives the lease back on a planned stop.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        // A renewal that is on its way must not arrive after the leave and join anew.
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
