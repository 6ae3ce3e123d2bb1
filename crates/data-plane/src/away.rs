//! Goes to another region (design 5.6): through a router there, which has the last word.

use crate::{
    carry::{Next, Past},
    go::{Outcome, Sent, go},
    hop::{self, Hop},
    plan::Plan,
    router::{Router, hop_id, lock},
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

/// Counts a hop as open at its region until its last byte.
struct OpenHop(Arc<crate::pressure::Own>);

impl Drop for OpenHop {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Router {
    pub(crate) async fn remote(
        self: &Arc<Self>,
        p: &Plan,
        sent: &Sent,
        past: &mut Past,
        open: &Arc<OpenGuard>,
        region: Region,
        stored: bool,
    ) -> Next {
        let step: Step = "hop";
        let Some(peer) = self.router_in(p, &region, &past.routers) else {
            past.avoid.insert(region);
            return Next::Again;
        };
        let spent = if stored {
            None
        } else {
            match lock(&self.purse).spend(&region, &p.entry.to, self.node(), self.now()) {
                Some(s) => Some(s),
                None => {
                    past.avoid.insert(region);
                    return Next::Again;
                }
            }
        };
        let left = p.deadline.since(self.now());
        let h = Hop {
            job: p.job.clone(),
            from: self.node().clone(),
            epoch: self.member.lease().epoch,
            number: self.hops.fetch_add(1, Ordering::Relaxed) + 1,
            to: peer.info.node.clone(),
            to_epoch: peer.epoch,
            revision: p.governing.revision,
            entry: p.entry.name.clone(),
            tenant: p.tenant.clone(),
            service: p.entry.to.clone(),
            region: region.clone(),
            key: p.key,
            spent,
            left_ms: left,
        };
        let signed = match hop::sign(self.cluster_state().secret, &h) {
            Ok(s) => s,
            Err(e) => return Next::NotRun(PeerError::new(step, &region, e)),
        };
        self.count_go(past, "hop");
        past.routers.push(peer.info.node.to_string());
        let own = self.pressure.own(&hop_id(&region, &p.entry.to));
        own.open.fetch_add(1, Ordering::AcqRel);
        let kept = (OpenHop(own), open.clone());
        let extra = [(hop::HEADER, signed)];
        let to = peer.info.http;
        let barred = || self.barred(p);
        match go(self.way(p, to, &barred), sent, &extra, kept).await {
            Outcome::Done(r) => self.hop_answer(p, r, past, region, &peer).await,
            Outcome::NotRun(e) => Next::NotRun(e),
            Outcome::Unknown(e) => Next::MayHaveRun(e),
        }
    }

    /// The other region's last word.
    async fn hop_answer(
        self: &Arc<Self>,
        p: &Plan,
        r: Response<Body>,
        past: &mut Past,
        region: Region,
        peer: &Member,
    ) -> Next {
        let said = |k: &str| r.headers().get(k).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        match said("foldshunt-outcome").as_str() {
            "done" => Next::Answer(self.done(p, r)),
            "bounced" => {
                let why = said("foldshunt-reason");
                if hop::passes_soon(&why) {
                    tokio::time::sleep(Duration::from_millis(self.set.timing.heartbeat_ms())).await;
                } else {
                    past.avoid.insert(region);
                }
                Next::NotRun(PeerError::new("hop", &peer.info.node, format!("bounced: {why}")))
            }
            _ => Next::MayHaveRun(PeerError::new("hop", &peer.info.node, "outcome unknown there")),
        }
    }
}
