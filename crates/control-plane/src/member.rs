//! A node's own side of membership (design 3.1, 3.3): it renews its lease at the core, follows
//! the state updates, and knows when it is cut off.

use crate::{
    change::{NodeInfo, VoterInfo},
    cluster_state::ClusterState,
    core::ControlClient,
    lease::HeldLease,
    rpc::{ControlRequest, ControlResponse},
    state_update::{self, InstallResult, StateUpdate},
};
use arc_swap::ArcSwap;
use common::{Clock, Epoch, Index, Revision, Tick, log_event, settings::Settings};
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

pub struct Member {
    pub set: Settings,
    pub clock: Clock,
    pub info: NodeInfo,
    pub lines: Arc<ControlClient>,
    /// Newest state that this node has seen.
    pub cluster_state: ArcSwap<ClusterState>,
    pub moved: watch::Sender<Index>,
    held: Mutex<HeldLease>,
    /// Revision whose compiled form is in use here.
    pub governs: AtomicU64,
    leader: Mutex<Option<SocketAddr>>,
    /// Places that the leader spoke of and that are not held yet, each with when it was told.
    told: Mutex<VecDeque<(Index, Tick)>>,
    /// A gap was found in the state updates: the next question asks for a snapshot.
    gap: AtomicBool,
    /// On its way out: renews no more.
    leaving: AtomicBool,
}

impl Member {
    pub fn new(set: Settings, info: NodeInfo, clock: Clock) -> Arc<Self> {
        let lines = Arc::new(ControlClient::new(set.me(), crate::rpc::SERVICE));
        Arc::new(Self {
            set,
            clock,
            info,
            lines,
            cluster_state: ArcSwap::from_pointee(ClusterState::default()),
            moved: watch::channel(Index(0)).0,
            held: Mutex::default(),
            governs: AtomicU64::new(0),
            leader: Mutex::default(),
            told: Mutex::default(),
            gap: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        })
    }

    pub fn start(self: &Arc<Self>) {
        let me = self.clone();
        common::runtime::spawn(async move {
            // Without a lease it asks with each heartbeat: a joining is accepted within one or two.
            let mut moved = me.moved.subscribe();
            while !me.leaving.load(Ordering::Acquire) {
                moved.borrow_and_update();
                me.renew().await;
                let t = &me.set.timing;
                let ms = if me.has_lease() { t.renew_interval_ms() } else { t.heartbeat_ms() };
                // What is new here is said at once: an operator may wait for it.
                let _ = tokio::time::timeout(Duration::from_millis(ms), moved.changed()).await;
            }
        });
        let me = self.clone();
        common::runtime::spawn(async move {
            loop {
                if !me.follow().await {
                    tokio::time::sleep(Duration::from_millis(me.set.timing.heartbeat_ms())).await;
                }
            }
        });
    }

    pub fn held(&self) -> HeldLease {
        *self.held.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes a lease, counted from before its renewal was sent.
    pub fn hold(&self, epoch: Epoch, sent: Tick) {
        let mut g = self.held.lock().unwrap_or_else(|e| e.into_inner());
        if g.epoch != epoch {
            log_event!(Info, "tenure", "epoch" => epoch.0);
        }
        g.extend(epoch, sent, &self.set.timing);
    }

    pub fn has_lease(&self) -> bool {
        self.held().valid(self.clock.now())
    }

    /// What is held here is at least as new as the own joining: nothing that governed before a
    /// restart of this node is newer (design 3.3).
    pub fn caught_up(&self) -> bool {
        let h = self.held();
        h.epoch.0 > 0 && self.cluster_state.load().index.0 >= h.epoch.0
    }

    /// The leader spoke of a place; `at` is before it did.
    pub fn told_of(&self, index: Index, at: Tick) {
        let mut g = self.told.lock().unwrap_or_else(|e| e.into_inner());
        let newest = g.back().map(|t| t.0).unwrap_or_default().max(self.cluster_state.load().index);
        if index > newest {
            g.push_back((index, at));
        }
    }

    /// Renews its lease, and has not had for half a lease what the leader spoke of: it must not
    /// go on by what it holds (design 3.6).
    pub fn lags(&self) -> bool {
        let g = self.told.lock().unwrap_or_else(|e| e.into_inner());
        let late = |t: &(Index, Tick)| self.clock.now().since(t.1) > self.set.timing.election_timeout_ms();
        self.has_lease() && g.front().is_some_and(late)
    }

    /// The core's addresses: those of the voters where it is known, and the seeds.
    pub fn voters(&self) -> Vec<(SocketAddr, bool)> {
        let l = self.cluster_state.load();
        let mut v: Vec<(SocketAddr, bool)> =
            l.voters.iter().map(|h: &VoterInfo| (h.rpc_addr, h.zone == self.info.zone)).collect();
        for s in &self.set.seeds {
            if !v.iter().any(|(a, _)| a == s) {
                v.push((*s, false));
            }
        }
        v
    }

    fn hint(&self) -> Option<SocketAddr> {
        *self.leader.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn set_hint(&self, a: Option<SocketAddr>) {
        *self.leader.lock().unwrap_or_else(|e| e.into_inner()) = a;
    }

    async fn renew(&self) {
        let revision = Revision(self.governs.load(Ordering::Acquire));
        let mut tries: Vec<SocketAddr> = self.hint().into_iter().collect();
        tries.extend(self.voters().into_iter().map(|s| s.0).filter(|a| Some(*a) != self.hint()));
        let mut n = 0;
        while n < tries.len() && n <= crate::consensus::MOST_VOTERS {
            let (to, sent) = (tries[n], self.clock.now());
            n += 1;
            let ask = ControlRequest::Renew {
                info: self.info.clone(),
                index: self.cluster_state.load().index,
                revision,
            };
            // Opening a line takes three ways there and back: as long as any call may take.
            match self.lines.call("renew", to, ask).await {
                Ok(ControlResponse::Renewed { epoch, index }) => {
                    self.told_of(index, sent);
                    self.hold(epoch, sent);
                    return self.set_hint(Some(to));
                }
                Ok(ControlResponse::Pending) => return self.set_hint(Some(to)),
                Ok(ControlResponse::NotLeader { leader: Some(h) }) if !tries[..n].contains(&h.rpc_addr) => {
                    tries.insert(n, h.rpc_addr);
                }
                Ok(_) => {}
                Err(e) => log_event!(Debug, e.step, "peer" => e.peer, "cause" => e.cause),
            }
        }
        self.set_hint(None);
    }

    /// Gives the lease back on a planned stop.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        // A renewal that is on its way must not arrive after the leave and join anew.
        tokio::time::sleep(Duration::from_millis(self.set.timing.heartbeat_ms())).await;
        let tries = self.hint().into_iter().chain(self.voters().into_iter().map(|s| s.0));
        for to in tries {
            let ask = ControlRequest::Leave { info: self.info.clone() };
            if let Ok(ControlResponse::Done) = self.lines.call("leave", to, ask).await {
                return;
            }
        }
    }

    /// Takes state updates from the voter in the own zone first, then from the others.
    async fn follow(&self) -> bool {
        let mut voters = self.voters();
        voters.sort_by_key(|(_, near)| !near);
        // A voter that is cut off from the others may have nothing newer to tell.
        let behind = !self.told.lock().unwrap_or_else(|e| e.into_inner()).is_empty();
        if let Some(h) = self.hint().filter(|_| behind) {
            voters.sort_by_key(|(a, _)| *a != h);
        }
        let wait_ms = self.set.timing.renew_interval_ms();
        for (to, _) in voters {
            let gap = self.gap.swap(false, Ordering::AcqRel);
            let have = if gap { Index(0) } else { self.cluster_state.load().index };
            let ask = ControlRequest::WatchState { have, wait_ms };
            match self.lines.call_within(wait_ms + self.set.timing.rpc_timeout_ms, "news", to, ask).await {
                Ok(ControlResponse::StateUpdate(n)) => {
                    // A voter that lags says nothing new; another may know more.
                    if matches!(n, StateUpdate::Same) && self.behind(to).await {
                        continue;
                    }
                    self.install(n, &to.to_string());
                    return true;
                }
                Ok(_) => {}
                Err(e) => log_event!(Debug, e.step, "peer" => e.peer, "cause" => e.cause),
            }
        }
        false
    }

    /// Whether a voter that told nothing new stands behind what this node has.
    async fn behind(&self, voter: SocketAddr) -> bool {
        let have = self.cluster_state.load().index;
        match self.lines.call("hail", voter, ControlRequest::Heartbeat { index: have }).await {
            Ok(ControlResponse::HeartbeatAck { index }) => index < have || index == Index(0),
            _ => true,
        }
    }

    /// Brings the own copy forward with state updates from a voter or a peer.
    pub fn install(&self, n: StateUpdate, from: &str) -> InstallResult {
        let mut own = ClusterState::clone(&self.cluster_state.load());
        let taken = state_update::take(&mut own, &self.set.cluster, n);
        match taken {
            InstallResult::Advanced => {
                let index = own.index;
                self.cluster_state.store(Arc::new(own));
                self.told.lock().unwrap_or_else(|e| e.into_inner()).retain(|t| t.0 > index);
                self.moved.send_replace(index);
            }
            InstallResult::Gap => {
                self.gap.store(true, Ordering::Release);
                log_event!(Warn, "news", "peer" => from, "cause" => "gap; taking a frame");
            }
            InstallResult::Rejected(why) => log_event!(Warn, "news", "peer" => from, "cause" => why),
            InstallResult::Nothing => {}
        }
        taken
    }
}
