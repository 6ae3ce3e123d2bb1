//! Calls that propose changes, and the responses for their outcomes (design 4.6).

use super::{ApiResponse, Call, Early, ReplicaBody, early, error};
use crate::{
    rpc::ProposalOutcome,
    types::{ApplyOutcome, Change, ReplicaChange},
};
use common::{Index, NAME_RULE, NodeId, OpId, ReplicaId, Zone, http::json, is_valid_name};
use hyper::StatusCode;
use serde_json::json as j;
use std::time::Duration;

/// Longest time of a proposal, in RPC timeouts.
const PROPOSAL_TIMEOUTS: u64 = 4;
/// `Retry-After` when nothing was logged, in seconds.
const RETRY_AFTER_S: &str = "2";
/// Most characters of an invalid name that an error shows.
const SHOWN_NAME_CHARS: usize = 80;

impl Call<'_> {
    pub(super) async fn propose(&self, change: Change) -> Early<ApiResponse> {
        let timeout_ms = self.node.settings.timing.rpc_timeout_ms * PROPOSAL_TIMEOUTS;
        Ok(match self.node.propose(change, timeout_ms).await {
            ProposalOutcome::Committed { index, outcome: ApplyOutcome::Accepted { revision } }
                if self.wait_ms > 0 =>
            {
                let lagging = self.wait_until_in_force(index).await;
                let mut body = j!({"outcome": "accepted", "revision": revision, "op": self.op});
                body["governs"] = lagging.is_empty().into();
                body["lagging"] = lagging.into();
                json(StatusCode::OK, &body)
            }
            ProposalOutcome::Committed { outcome, .. } => self.answer(&outcome),
            ProposalOutcome::Undetermined => json(
                StatusCode::GATEWAY_TIMEOUT,
                &j!({"outcome": "undetermined", "op": self.op, "ask": format!("/v1/ops/{}", self.op)}),
            ),
            ProposalOutcome::NotLogged { why, .. } => self.not_logged(&why),
        })
    }

    fn not_logged(&self, why: &str) -> ApiResponse {
        let error = format!("{why}; nothing was logged");
        let body = j!({"outcome": "refused", "op": self.op, "error": error});
        let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &body);
        let retry_after = hyper::header::HeaderValue::from_static(RETRY_AFTER_S);
        response.headers_mut().insert("retry-after", retry_after);
        response
    }

    /// The response for a change whose outcome is known.
    pub(super) fn answer(&self, outcome: &ApplyOutcome) -> ApiResponse {
        let op = &self.op;
        match outcome {
            ApplyOutcome::Accepted { revision } => {
                json(StatusCode::OK, &j!({"outcome": "accepted", "revision": revision, "op": op}))
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

    /// Waits until all members report that they have applied this index; returns the names of those that have not.
    async fn wait_until_in_force(&self, index: Index) -> Vec<String> {
        let until = self.node.clock.now() + self.wait_ms;
        loop {
            let Some(lagging) = self.lagging_members(index) else {
                return vec!["unknown: this node is not the leader; see its status".into()];
            };
            if lagging.is_empty() || self.node.clock.now() >= until {
                return lagging;
            }
            let poll_ms = self.node.settings.timing.heartbeat_ms() / 2;
            tokio::time::sleep(Duration::from_millis(poll_ms)).await;
        }
    }

    /// Members that have not reported this index; `None` if this node is not the leader.
    fn lagging_members(&self, index: Index) -> Option<Vec<String>> {
        self.node.local_state().ok()?;
        let status = self.node.status();
        let revision = status.cluster_state.revision;
        let lags = |node: &&NodeId| {
            let report = status.reports.get(*node);
            report.is_none_or(|(reported, active)| *reported < index || *active < revision)
        };
        Some(status.cluster_state.members.keys().filter(lags).map(NodeId::to_string).collect())
    }

    pub(super) async fn evacuate(&self, zone: &str, on: bool) -> Early<ApiResponse> {
        check_name("area", zone)?;
        let state = self.newest_state().await?;
        let table = state.text.as_deref().and_then(|text| configuration::compile(text).ok());
        if let Some(table) = table.filter(|table| on && !table.zones.contains_key(&Zone::new(zone))) {
            let known: Vec<String> = table.zones.keys().map(Zone::to_string).collect();
            let why = format!("no area {zone:?}; allowed: {}", known.join(", "));
            return early(error(StatusCode::NOT_FOUND, why));
        }
        let (op, zone) = (self.op.clone(), Zone::new(zone));
        self.propose(Change::Evacuate { op, zone, on, seen: state.index }).await
    }

    pub(super) async fn list_replica(&self, body: ReplicaBody) -> Early<ApiResponse> {
        check_name("service", &body.service)?;
        check_name("area", &body.zone)?;
        let what = ReplicaChange::List {
            service: body.service.as_str().into(),
            zone: Zone::new(&body.zone),
            addr: body.addr,
        };
        self.change_replica(&body.id, what).await
    }

    /// Records an operator's confirmation that a lost node is down.
    pub(super) async fn confirm_down(&self, node: &str) -> Early<ApiResponse> {
        check_name("node", node)?;
        self.propose(Change::ConfirmDown { op: self.op.clone(), node: NodeId::new(node) }).await
    }

    pub(super) async fn change_replica(&self, id: &str, what: ReplicaChange) -> Early<ApiResponse> {
        check_name("id", id)?;
        self.propose(Change::Replica { op: self.op.clone(), id: ReplicaId::new(id), what }).await
    }

    /// Shows the outcome of an operation. An unknown one is reported as undetermined, since it may still be committed.
    pub(super) async fn operation(&self, op: &OpId) -> Early<ApiResponse> {
        let state = self.newest_state().await?;
        let Some(outcome) = state.outcome(op) else {
            let body = j!({"op": op, "outcome": "undetermined", "error": "no outcome is known yet"});
            return Ok(json(StatusCode::NOT_FOUND, &body));
        };
        let mut response = Call { op: op.clone(), base: None, ..*self }.answer(&outcome);
        *response.status_mut() = StatusCode::OK;
        Ok(response)
    }
}

fn check_name(field: &str, name: &str) -> Early<()> {
    if is_valid_name(name) {
        return Ok(());
    }
    let shown: String = name.chars().take(SHOWN_NAME_CHARS).collect();
    early(error(StatusCode::BAD_REQUEST, format!("{field}: {shown:?}; {NAME_RULE}")))
}
