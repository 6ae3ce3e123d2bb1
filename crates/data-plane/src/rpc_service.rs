//! What a router answers to other processes (design 5.7).

use crate::{
    load::LoadReport,
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
};
use common::{FencingToken, Service, Zone, log_event, settings::Settings};
use control_plane::{state_machine::state_update, types::SizeLimits};
use std::{
    collections::VecDeque,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

impl Router {
    pub async fn answer(self: Arc<Self>, node: String, ask: RouterRequest) -> RouterResponse {
        match ask {
            // No sign of life by itself: it may have waited here while this node was frozen.
            RouterRequest::Heartbeat { .. } => RouterResponse::HeartbeatAck {
                index: self.cluster_state().index,
                incarnation: self.member.info.incarnation,
                fit: self.refuses_work().is_none() && !self.draining.load(Ordering::Acquire),
            },
            RouterRequest::FetchState { have } => {
                let l = self.cluster_state();
                let base = l.index;
                RouterResponse::StateUpdate(state_update::update_since(
                    have,
                    &l,
                    &VecDeque::new(),
                    base,
                    SizeLimits::default(),
                ))
            }
            RouterRequest::ResolvePlacement { fencing_token, key, service, stale, pick, ttl_ms } => {
                match self.resolve_locally(fencing_token, key, &service, stale, pick, ttl_ms) {
                    Ok(s) => RouterResponse::Placement(s),
                    Err(why) => self.no("resolve placement", &node, why),
                }
            }
            RouterRequest::ReplicatePlacements { fencing_token, shard, rows } => {
                let known = lock(&self.placements).check_fencing_token(shard, fencing_token);
                match known {
                    Ok(()) => {
                        self.install_rows(rows);
                        RouterResponse::Done
                    }
                    Err(f) => self.no("replicate placement", &node, format!("stale fence: {f} is known")),
                }
            }
            RouterRequest::FetchShard { shard } => {
                RouterResponse::Placements(lock(&self.placements).rows_of_shard(shard, self.now()))
            }
            RouterRequest::WatchLoad { service, zone, seq, fencing_token, wait_ms } => {
                match self.wait_for_load_report(service, zone, seq, fencing_token, wait_ms).await {
                    Some(f) => RouterResponse::LoadReport(f),
                    None => RouterResponse::Rejected("not the home".into()),
                }
            }
            RouterRequest::LastLoad { service, zone } => match self.last_load_report(&service, &zone) {
                Some(f) => RouterResponse::LoadReport(f),
                None => RouterResponse::Rejected("nothing heard".into()),
            },
            RouterRequest::RequestGrant { region, service, node } => {
                match self.grant(&region, &service, &node) {
                    Ok(p) => RouterResponse::Grant(p),
                    Err(why) => RouterResponse::Rejected(why.into()),
                }
            }
            RouterRequest::AnnouncePrompt { note } => {
                self.note_prompt(&note);
                RouterResponse::Done
            }
            RouterRequest::WatchReplicas { zone, seq, wait_ms } => {
                RouterResponse::ReplicaReport(self.wait_for_report(zone, seq, wait_ms).await.map(Box::new))
            }
            RouterRequest::RelayReplicas { zone, last, wait_ms } => {
                let report = self.wait_for_relayed_report(zone, last, wait_ms).await;
                RouterResponse::ReplicaReport(report.map(Box::new))
            }
            RouterRequest::Usage(question) => RouterResponse::Usage(self.usage.answer(question, self.now())),
            RouterRequest::RedeemGrant { spent } => match self.redeem_locally(&spent) {
                Ok(()) => RouterResponse::Done,
                Err(why) => self.no("redeem grant", &node, why.into()),
            },
        }
    }

    fn no(&self, step: &'static str, peer: &str, why: String) -> RouterResponse {
        self.counters.reject(why.split(':').next().unwrap_or("bounced"));
        log_event!(Info, step, "peer" => peer, "cause" => why);
        RouterResponse::Rejected(why)
    }

    /// Figures with their age, as long as they still count.
    pub fn last_load_report(&self, svc: &Service, zone: &Zone) -> Option<LoadReport> {
        let known = self.load_view.known();
        let last = known.reports.get(&(svc.clone(), zone.clone()))?;
        let age_ms = self.now().since(last.fresh_at);
        (age_ms <= self.settings.timing.report_max_age_ms()).then(|| LoadReport {
            age_ms,
            waited_ms: 0,
            ..last.report.clone()
        })
    }

    async fn wait_for_load_report(
        &self,
        svc: Service,
        zone: Zone,
        seq: u64,
        fencing_token: FencingToken,
        wait_ms: u64,
    ) -> Option<LoadReport> {
        let mut rx = lock(&self.published_load).get(&(svc.clone(), zone.clone()))?.subscribe();
        let newer = |f: &Option<LoadReport>| {
            f.as_ref().is_some_and(|f| f.fencing_token != fencing_token || f.seq > seq)
        };
        let wait = Duration::from_millis(wait_ms.min(10_000));
        let came = self.now();
        let _ = tokio::time::timeout(wait, rx.wait_for(newer)).await;
        let mut fig = rx.borrow().clone()?;
        let at = self.load_view.known().reports.get(&(svc, zone)).map(|s| s.fresh_at);
        let now = self.now();
        fig.age_ms = at.map(|t| now.since(t)).unwrap_or(0);
        fig.waited_ms = now.since(came);
        Some(fig)
    }

    /// Starts all standing work of a router.
    pub fn start(self: &Arc<Self>, set: &Settings, rpc_addr: common::runtime::Listener) {
        self.member.start();
        common::runtime::spawn(self.clone().keep_configuration());
        common::runtime::spawn(self.clone().send_heartbeats());
        common::runtime::spawn(self.clone().watch_load_reports());
        common::runtime::spawn(self.clone().run_grant_issuer());
        common::runtime::spawn(self.clone().renew_held_grants());
        self.start_listening(set, rpc_addr);
    }

    /// Starts the standing work of a router that serves by routes.
    pub fn start_serving(self: &Arc<Self>, set: &Settings, rpc_addr: common::runtime::Listener) {
        self.member.start();
        common::runtime::spawn(self.clone().send_heartbeats());
        self.start_listening(set, rpc_addr);
    }

    fn start_listening(self: &Arc<Self>, set: &Settings, rpc_addr: common::runtime::Listener) {
        common::runtime::spawn(self.clone().fetch_shards());
        let me = self.clone();
        common::runtime::spawn(common::rpc::listen(
            rpc_addr,
            set.me(),
            crate::rpc::SERVICE,
            move |node, ask| me.clone().answer(node, ask),
        ));
    }
}
