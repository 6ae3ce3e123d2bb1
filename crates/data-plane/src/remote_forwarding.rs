//! Attempts in another region (design 5.6), through a router there, which decides whether it accepts the request.

use crate::{
    attempt::{Outcome, OutgoingRequest, attempt},
    attempt_history::{AttemptHistory, AttemptStep},
    forwarding::{self, ForwardedRequest},
    plan::Plan,
    router::{Router, lock},
    usable_replicas::forward_load_id,
};
use common::{
    PeerError, Region, Step,
    http::{Body, OpenGuard},
};
use control_plane::Member;
use hyper::Response;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Counts a forwarded request as open at its region until its response has ended.
struct OpenForward(Arc<crate::load::LocalLoad>);

impl Drop for OpenForward {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Router {
    /// Attempts a request through a router of another region. Without a stored placement it uses up a capacity grant.
    pub(crate) async fn attempt_remotely(
        self: &Arc<Self>,
        plan: &Plan,
        request: &OutgoingRequest,
        history: &mut AttemptHistory,
        open: &Arc<OpenGuard>,
        region: Region,
        stored: bool,
    ) -> AttemptStep {
        let step: Step = "hop";
        let Some(peer) = self.router_in(plan, &region, &history.routers) else {
            history.avoid.insert(region);
            return AttemptStep::Again;
        };
        let spent = if stored {
            None
        } else {
            match lock(&self.held_grants).spend(&region, &plan.entry.service, self.node(), self.now()) {
                Some(spent) => Some(spent),
                None => {
                    history.avoid.insert(region);
                    return AttemptStep::Again;
                }
            }
        };
        let left_ms = plan.deadline.since(self.now());
        let forwarded = ForwardedRequest {
            request_id: plan.request_id.clone(),
            from: self.node().clone(),
            epoch: self.member.lease().epoch,
            number: self.forwards_sent.fetch_add(1, Ordering::Relaxed) + 1,
            to: peer.info.node.clone(),
            to_epoch: peer.epoch,
            revision: plan.configuration.revision,
            entry: plan.entry.name.clone(),
            tenant: plan.tenant.clone(),
            service: plan.entry.service.clone(),
            region: region.clone(),
            key: plan.key,
            spent,
            left_ms,
        };
        let signed = match forwarding::sign(self.cluster_state().secret, &forwarded) {
            Ok(signed) => signed,
            Err(e) => return AttemptStep::NotRun(PeerError::new(step, &region, e)),
        };
        self.count_attempt(history, "hop");
        history.routers.push(peer.info.node.to_string());
        let local = self.load_view.local(&forward_load_id(&region, &plan.entry.service));
        local.open.fetch_add(1, Ordering::AcqRel);
        let kept = (OpenForward(local), open.clone());
        let extra = [(forwarding::HEADER, signed)];
        let address = peer.info.http;
        let blocked_reason = || self.blocked_reason(plan);
        match attempt(self.attempt_target(plan, address, &blocked_reason), request, &extra, kept).await {
            Outcome::Done(response) => self.remote_outcome(plan, response, history, region, &peer).await,
            Outcome::NotRun(e) => AttemptStep::NotRun(e),
            Outcome::Unknown(e) => AttemptStep::MayHaveRun(e),
        }
    }

    /// What follows from the response of the other region's router.
    async fn remote_outcome(
        self: &Arc<Self>,
        plan: &Plan,
        response: Response<Body>,
        history: &mut AttemptHistory,
        region: Region,
        peer: &Member,
    ) -> AttemptStep {
        let header =
            |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        match header("foldshunt-outcome").as_str() {
            "done" => AttemptStep::Answer(self.done(plan, response)),
            "bounced" => {
                let reason = header("foldshunt-reason");
                if forwarding::is_transient(&reason) {
                    tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms())).await;
                } else {
                    history.avoid.insert(region);
                }
                AttemptStep::NotRun(PeerError::new("hop", &peer.info.node, format!("bounced: {reason}")))
            }
            _ => AttemptStep::MayHaveRun(PeerError::new("hop", &peer.info.node, "outcome unknown there")),
        }
    }
}
