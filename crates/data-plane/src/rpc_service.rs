//! Handles requests from other processes (design 5.7), and starts the background tasks of a router.

use crate::{
    load::LoadReport,
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
};
use common::{FencingToken, Service, Zone, log_event, settings::Settings};
use control_plane::{state_machine::state_update, types::SizeLimits};
use std::{collections::VecDeque, sync::Arc, time::Duration};

impl Router {
    /// Answers a request of another node.
    pub async fn answer(self: Arc<Self>, node: String, request: RouterRequest) -> RouterResponse {
        match request {
            // Receiving a heartbeat is no contact: it may have waited here while this process was suspended.
            RouterRequest::Heartbeat { .. } => RouterResponse::HeartbeatAck {
                index: self.cluster_state().index,
                incarnation: self.member.info.incarnation,
                fit: self.takes_new_work(),
            },
            RouterRequest::Contacts { .. } => self.answer_contacts(),
            RouterRequest::FetchState { have } => {
                let state = self.cluster_state();
                let base = state.index;
                RouterResponse::StateUpdate(state_update::update_since(
                    have,
                    &state,
                    &VecDeque::new(),
                    base,
                    SizeLimits::default(),
                ))
            }
            RouterRequest::ResolvePlacement { fencing_token, key, service, stale, pick, ttl_ms } => {
                match self.resolve_locally(fencing_token, key, &service, stale, pick, ttl_ms) {
                    Ok(outcome) => RouterResponse::Placement(outcome),
                    Err(reason) => self.reject("resolve placement", &node, reason),
                }
            }
            RouterRequest::ReplicatePlacements { fencing_token, shard, rows } => {
                let checked = lock(&self.placements).check_fencing_token(shard, fencing_token);
                match checked {
                    Ok(()) => {
                        self.install_rows(rows);
                        RouterResponse::Done
                    }
                    Err(known) => {
                        self.reject("replicate placement", &node, format!("stale fence: {known} is known"))
                    }
                }
            }
            RouterRequest::FetchShard { shard } => {
                RouterResponse::Placements(lock(&self.placements).rows_of_shard(shard, self.now()))
            }
            RouterRequest::WatchLoad { service, zone, seq, fencing_token, wait_ms } => {
                match self.wait_for_load_report(service, zone, seq, fencing_token, wait_ms).await {
                    Some(report) => RouterResponse::LoadReport(report),
                    None => RouterResponse::Rejected("not the home".into()),
                }
            }
            RouterRequest::LastLoad { service, zone } => match self.last_load_report(&service, &zone) {
                Some(report) => RouterResponse::LoadReport(report),
                None => RouterResponse::Rejected("nothing heard".into()),
            },
            RouterRequest::RequestGrant { region, service, node } => {
                match self.grant(&region, &service, &node) {
                    Ok(grant) => RouterResponse::Grant(grant),
                    Err(reason) => RouterResponse::Rejected(reason.into()),
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
                Err(reason) => self.reject("redeem grant", &node, reason.into()),
            },
        }
    }

    /// Rejects a request; the reason counts up to its first colon.
    fn reject(&self, step: &'static str, peer: &str, reason: String) -> RouterResponse {
        self.counters.reject(reason.split(':').next().unwrap_or("bounced"));
        log_event!(Info, step, "peer" => peer, "cause" => reason);
        RouterResponse::Rejected(reason)
    }

    /// The newest load report with its age, as long as it is valid.
    pub fn last_load_report(&self, service: &Service, zone: &Zone) -> Option<LoadReport> {
        let known = self.load_view.known();
        let last = known.reports.get(&(service.clone(), zone.clone()))?;
        let age_ms = self.now().since(last.fresh_at);
        (age_ms <= self.settings.timing.report_max_age_ms()).then(|| LoadReport {
            age_ms,
            waited_ms: 0,
            ..last.report.clone()
        })
    }

    /// Waits until the load report that this node publishes is newer than the one that is named; then, or after
    /// `wait_ms`, returns the newest.
    async fn wait_for_load_report(
        &self,
        service: Service,
        zone: Zone,
        seq: u64,
        fencing_token: FencingToken,
        wait_ms: u64,
    ) -> Option<LoadReport> {
        let mut published = lock(&self.published_load).get(&(service.clone(), zone.clone()))?.subscribe();
        let newer = |report: &Option<LoadReport>| {
            report.as_ref().is_some_and(|r| r.fencing_token != fencing_token || r.seq > seq)
        };
        let wait = Duration::from_millis(wait_ms.min(10_000));
        let requested_at = self.now();
        let _ = tokio::time::timeout(wait, published.wait_for(newer)).await;
        let mut report = published.borrow().clone()?;
        let fresh_at = self.load_view.known().reports.get(&(service, zone)).map(|s| s.fresh_at);
        let now = self.now();
        report.age_ms = fresh_at.map(|t| now.since(t)).unwrap_or(0);
        report.waited_ms = now.since(requested_at);
        Some(report)
    }

    /// Starts all background tasks of a router.
    pub fn start(self: &Arc<Self>, settings: &Settings, rpc_addr: common::runtime::Listener) {
        self.member.start();
        common::runtime::spawn(self.clone().keep_configuration());
        common::runtime::spawn(self.clone().send_heartbeats());
        common::runtime::spawn(self.clone().watch_load_reports());
        common::runtime::spawn(self.clone().run_grant_issuer());
        common::runtime::spawn(self.clone().renew_held_grants());
        self.start_listening(settings, rpc_addr);
    }

    /// Starts the background tasks of a router whose requests [`crate::serving`] handles.
    pub fn start_serving(self: &Arc<Self>, settings: &Settings, rpc_addr: common::runtime::Listener) {
        self.member.start();
        common::runtime::spawn(self.clone().send_heartbeats());
        self.start_listening(settings, rpc_addr);
    }

    fn start_listening(self: &Arc<Self>, settings: &Settings, rpc_addr: common::runtime::Listener) {
        common::runtime::spawn(self.clone().fetch_shards());
        let me = self.clone();
        common::runtime::spawn(common::rpc::listen(
            rpc_addr,
            settings.local_node(),
            crate::rpc::SERVICE,
            move |node, request| me.clone().answer(node, request),
        ));
    }
}
