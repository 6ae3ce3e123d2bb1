//! Goes to another region (design 5.6): through a router there, which has the last word.

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

/// Counts a forwarded request as open at its region until its last byte.
struct OpenForward(Arc<crate::load::LocalLoad>);

impl Drop for OpenForward {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Router {
    pub(crate) async fn remote(
        self: &Arc<Self>,
        p: &Plan,
        sent: &OutgoingRequest,
        history: &mut AttemptHistory,
        open: &Arc<OpenGuard>,
        region: Region,
        stored: bool,
    ) -> AttemptStep {
        let step: Step = "hop";
        let Some(peer) = self.router_in(p, &region, &history.routers) else {
            history.avoid.insert(region);
            return AttemptStep::Again;
        };
        let spent = if stored {
            None
        } else {
            match lock(&self.held_grants).spend(&region, &p.entry.to, self.node(), self.now()) {
                Some(s) => Some(s),
                None => {
                    history.avoid.insert(region);
                    return AttemptStep::Again;
                }
            }
        };
        let left = p.deadline.since(self.now());
        let h = ForwardedRequest {
            request_id: p.request_id.clone(),
            from: self.node().clone(),
            epoch: self.member.lease().epoch,
            number: self.forwards_sent.fetch_add(1, Ordering::Relaxed) + 1,
            to: peer.info.node.clone(),
            to_epoch: peer.epoch,
            revision: p.configuration.revision,
            entry: p.entry.name.clone(),
            tenant: p.tenant.clone(),
            service: p.entry.to.clone(),
            region: region.clone(),
            key: p.key,
            spent,
            left_ms: left,
        };
        let signed = match forwarding::sign(self.cluster_state().secret, &h) {
            Ok(s) => s,
            Err(e) => return AttemptStep::NotRun(PeerError::new(step, &region, e)),
        };
        self.count_attempt(history, "hop");
        history.routers.push(peer.info.node.to_string());
        let own = self.load_view.local(&forward_load_id(&region, &p.entry.to));
        own.open.fetch_add(1, Ordering::AcqRel);
        let kept = (OpenForward(own), open.clone());
        let extra = [(forwarding::HEADER, signed)];
        let to = peer.info.http;
        let forbidden = || self.blocked_reason(p);
        match attempt(self.attempt_target(p, to, &forbidden), sent, &extra, kept).await {
            Outcome::Done(r) => self.forward_response(p, r, history, region, &peer).await,
            Outcome::NotRun(e) => AttemptStep::NotRun(e),
            Outcome::Unknown(e) => AttemptStep::MayHaveRun(e),
        }
    }

    /// The other region's last word.
    async fn forward_response(
        self: &Arc<Self>,
        p: &Plan,
        r: Response<Body>,
        history: &mut AttemptHistory,
        region: Region,
        peer: &Member,
    ) -> AttemptStep {
        let said = |k: &str| r.headers().get(k).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        match said("foldshunt-outcome").as_str() {
            "done" => AttemptStep::Answer(self.done(p, r)),
            "bounced" => {
                let why = said("foldshunt-reason");
                if forwarding::is_transient(&why) {
                    tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms())).await;
                } else {
                    history.avoid.insert(region);
                }
                AttemptStep::NotRun(PeerError::new("hop", &peer.info.node, format!("bounced: {why}")))
            }
            _ => AttemptStep::MayHaveRun(PeerError::new("hop", &peer.info.node, "outcome unknown there")),
        }
    }
}
