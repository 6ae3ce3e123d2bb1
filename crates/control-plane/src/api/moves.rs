//! Changes on their way through the log, and what the operator is told of them (design 4.6).

use super::{Call, Early, ReplicaBody, Res, early, no};
use crate::{
    change::{ApplyOutcome, Change, ReplicaMove},
    rpc::ProposalOutcome,
};
use common::{Index, OpId, ReplicaId, Zone, http::json, is_valid_name};
use hyper::StatusCode;
use serde_json::json as j;
use std::time::Duration;

impl Call<'_> {
    pub(super) async fn propose(&self, ch: Change) -> Early<Res> {
        let ms = self.core.set.timing.rpc_timeout_ms * 4;
        Ok(match self.core.propose(ch, ms).await {
            ProposalOutcome::Committed { index, outcome: v @ ApplyOutcome::Accepted { .. } }
                if self.wait_ms > 0 =>
            {
                let lagging = self.governs(index).await;
                let mut r = self.told_with(&v, Some(lagging));
                *r.status_mut() = StatusCode::OK;
                r
            }
            ProposalOutcome::Committed { outcome, .. } => self.told(&outcome),
            ProposalOutcome::Undetermined => json(
                StatusCode::GATEWAY_TIMEOUT,
                &j!({"outcome": "undetermined", "op": self.op, "ask": format!("/v1/ops/{}", self.op)}),
            ),
            ProposalOutcome::NotLogged { why, .. } => {
                let mut r = json(
                    StatusCode::SERVICE_UNAVAILABLE,
                    &j!({"outcome": "refused", "op": self.op, "error": format!("{why}; nothing was logged")}),
                );
                r.headers_mut().insert("retry-after", "2".parse().expect("a fixed header"));
                r
            }
        })
    }

    pub(super) fn told(&self, v: &ApplyOutcome) -> Res {
        self.told_with(v, None)
    }

    fn told_with(&self, v: &ApplyOutcome, lagging: Option<Vec<String>>) -> Res {
        let op = &self.op;
        match v {
            ApplyOutcome::Accepted { revision } => {
                let mut body = j!({"outcome": "accepted", "revision": revision, "op": op});
                if let Some(l) = lagging {
                    body["governs"] = l.is_empty().into();
                    body["lagging"] = l.into();
                }
                json(StatusCode::OK, &body)
            }
            ApplyOutcome::Conflict { current } => json(
                StatusCode::PRECONDITION_FAILED,
                &j!({"outcome": "refused", "op": op, "current": current, "error": "another change was accepted first"}),
            ),
            ApplyOutcome::Rejected { reason } => {
                json(StatusCode::NOT_FOUND, &j!({"outcome": "refused", "op": op, "error": reason}))
            }
        }
    }

    /// Waits until all live nodes say that this place governs; names those that still lag.
    async fn governs(&self, index: Index) -> Vec<String> {
        let until = self.core.clock.now() + self.wait_ms;
        loop {
            let v = match self.core.state_here() {
                Ok(_) => self.core.status(),
                Err(_) => return vec!["unknown: asked at a seat that does not lead; see status".into()],
            };
            let lags = |n: &common::NodeId| {
                v.reports.get(n).is_none_or(|r| r.0 < index || r.1 < v.cluster_state.revision)
            };
            let behind: Vec<String> =
                v.cluster_state.members.keys().filter(|n| lags(n)).map(|n| n.to_string()).collect();
            if behind.is_empty() || self.core.clock.now() >= until {
                return behind;
            }
            tokio::time::sleep(Duration::from_millis(self.core.set.timing.heartbeat_ms() / 2)).await;
        }
    }

    pub(super) async fn evacuate(&self, zone: &str, on: bool) -> Early<Res> {
        self.named("area", zone)?;
        let l = self.state().await?;
        let named = l.text.as_deref().and_then(|t| configuration::compile(t).ok());
        if let Some(t) = named.filter(|t| on && !t.zones.contains_key(&Zone::new(zone))) {
            let all: Vec<String> = t.zones.keys().map(|a| a.to_string()).collect();
            return early(no(
                StatusCode::NOT_FOUND,
                format!("no area {zone:?}; allowed: {}", all.join(", ")),
            ));
        }
        self.propose(Change::Evacuate { op: self.op.clone(), zone: Zone::new(zone), on, seen: l.index }).await
    }

    pub(super) async fn list(&self, bytes: &[u8]) -> Early<Res> {
        let b: ReplicaBody = match serde_json::from_slice(bytes) {
            Ok(b) => b,
            Err(e) => return early(no(StatusCode::BAD_REQUEST, format!("body: {e}"))),
        };
        for (f, v) in [("service", &b.service), ("area", &b.zone)] {
            self.named(f, v)?;
        }
        let what =
            ReplicaMove::List { service: b.service.as_str().into(), zone: Zone::new(&b.zone), addr: b.addr };
        self.replica(&b.id, what).await
    }

    /// An operator's word that a lost node is down.
    pub(super) async fn down(&self, node: &str) -> Early<Res> {
        self.named("node", node)?;
        self.propose(Change::Down { op: self.op.clone(), node: common::NodeId::new(node) }).await
    }

    fn named(&self, field: &str, v: &str) -> Early<()> {
        if is_valid_name(v) {
            return Ok(());
        }
        let shown: String = v.chars().take(80).collect();
        early(no(
            StatusCode::BAD_REQUEST,
            format!("{field}: {shown:?}; allowed: 1 to 64 letters, digits, '-', '_' or '.'"),
        ))
    }

    pub(super) async fn replica(&self, id: &str, what: ReplicaMove) -> Early<Res> {
        self.named("id", id)?;
        self.propose(Change::Replica { op: self.op.clone(), id: ReplicaId::new(id), what }).await
    }

    /// What became of an operation; where nothing is known yet, that is said and no more.
    pub(super) async fn asked(&self, op: &OpId) -> Early<Res> {
        let l = self.state().await?;
        Ok(match l.outcome(op) {
            Some(v) => {
                let mut r = Call { op: op.clone(), base: None, ..*self }.told(&v);
                *r.status_mut() = StatusCode::OK;
                r
            }
            None => json(
                StatusCode::NOT_FOUND,
                &j!({"op": op, "outcome": "undetermined", "error": "not accepted so far"}),
            ),
        })
    }
}
