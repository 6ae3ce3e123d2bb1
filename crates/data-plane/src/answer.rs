//! What a router answers to other processes (design 5.7).

use crate::{
    pressure::Figures,
    router::{Router, lock},
    rpc::{Ask, Reply},
};
use common::{Fence, Service, Zone, log_event, settings::Settings};
use control_plane::{consensus::Room, news};
use std::{
    collections::VecDeque,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

impl Router {
    pub async fn answer(self: Arc<Self>, node: String, ask: Ask) -> Reply {
        match ask {
            // No sign of life by itself: it may have waited here while this node was frozen.
            Ask::Hail { .. } => Reply::Hailed {
                index: self.ledger().index,
                incarnation: self.member.info.incarnation,
                fit: self.standing().is_none() && !self.draining.load(Ordering::Acquire),
            },
            Ask::News { have } => {
                let l = self.ledger();
                let base = l.index;
                Reply::News(news::since(have, &l, &VecDeque::new(), base, Room::default()))
            }
            Ask::Settle { fence, key, service, stale, pick, ttl_ms } => {
                match self.settle_here(fence, key, &service, stale, pick, ttl_ms) {
                    Ok(s) => Reply::Settled(s),
                    Err(why) => self.no("settle", &node, why),
                }
            }
            Ask::Copy { fence, shard, rows } => {
                let known = lock(&self.tab).fence(shard, fence);
                match known {
                    Ok(()) => {
                        self.take_copies(rows);
                        Reply::Done
                    }
                    Err(f) => self.no("copy", &node, format!("stale fence: {f} is known")),
                }
            }
            Ask::Fetch { shard } => Reply::Rows(lock(&self.tab).rows_of(shard, self.now())),
            Ask::Watch { service, zone, seq, fence, wait_ms } => {
                match self.tell_figures(service, zone, seq, fence, wait_ms).await {
                    Some(f) => Reply::Figures(f),
                    None => Reply::Rejected("not the home".into()),
                }
            }
            Ask::Last { service, zone } => match self.last_figures(&service, &zone) {
                Some(f) => Reply::Figures(f),
                None => Reply::Rejected("nothing heard".into()),
            },
            Ask::Passes { region, service, node } => match self.grant(&region, &service, &node) {
                Ok(p) => Reply::Pass(p),
                Err(why) => Reply::Rejected(why.into()),
            },
            Ask::Note { note } => {
                self.heard_of(&note);
                Reply::Done
            }
            Ask::Board { zone, seq, wait_ms } => {
                Reply::Board(self.tell_board(zone, seq, wait_ms).await.map(Box::new))
            }
            Ask::Redeem { spent } => match self.redeem_here(&spent) {
                Ok(()) => Reply::Done,
                Err(why) => self.no("redeem", &node, why.into()),
            },
        }
    }

    fn no(&self, step: &'static str, peer: &str, why: String) -> Reply {
        self.numbers.reject(why.split(':').next().unwrap_or("bounced"));
        log_event!(Info, step, "peer" => peer, "cause" => why);
        Reply::Rejected(why)
    }

    /// Figures with their age, as long as they still count.
    pub fn last_figures(&self, svc: &Service, zone: &Zone) -> Option<Figures> {
        let b = self.pressure.board();
        let s = b.seen.get(&(svc.clone(), zone.clone()))?;
        let age_ms = self.now().since(s.at);
        (age_ms <= self.set.timing.report_max_age_ms()).then(|| Figures {
            age_ms,
            waited_ms: 0,
            ..s.fig.clone()
        })
    }

    async fn tell_figures(
        &self,
        svc: Service,
        zone: Zone,
        seq: u64,
        fence: Fence,
        wait_ms: u64,
    ) -> Option<Figures> {
        let mut rx = lock(&self.published).get(&(svc.clone(), zone.clone()))?.subscribe();
        let newer = |f: &Option<Figures>| f.as_ref().is_some_and(|f| f.fence != fence || f.seq > seq);
        let wait = Duration::from_millis(wait_ms.min(10_000));
        let came = self.now();
        let _ = tokio::time::timeout(wait, rx.wait_for(newer)).await;
        let mut fig = rx.borrow().clone()?;
        let at = self.pressure.board().seen.get(&(svc, zone)).map(|s| s.at);
        let now = self.now();
        fig.age_ms = at.map(|t| now.since(t)).unwrap_or(0);
        fig.waited_ms = now.since(came);
        Some(fig)
    }

    /// Starts all standing work of a router.
    pub fn start(self: &Arc<Self>, set: &Settings, rpc_addr: common::runtime::Listener) {
        self.member.start();
        common::runtime::spawn(self.clone().govern());
        common::runtime::spawn(self.clone().hail());
        common::runtime::spawn(self.clone().watch_all());
        common::runtime::spawn(self.clone().lend());
        common::runtime::spawn(self.clone().fill_purse());
        self.start_listening(set, rpc_addr);
    }

    /// Starts the standing work of a router that serves by routes.
    pub fn start_serving(self: &Arc<Self>, set: &Settings, rpc_addr: common::runtime::Listener) {
        self.member.start();
        common::runtime::spawn(self.clone().hail());
        self.start_listening(set, rpc_addr);
    }

    fn start_listening(self: &Arc<Self>, set: &Settings, rpc_addr: common::runtime::Listener) {
        common::runtime::spawn(self.clone().gather());
        let me = self.clone();
        common::runtime::spawn(common::link::listen(
            rpc_addr,
            set.me(),
            crate::rpc::SERVICE,
            move |node, ask| me.clone().answer(node, ask),
        ));
    }
}
