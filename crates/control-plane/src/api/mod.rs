//! The operators' and the platform's HTTP (design 4.6), the same at each control node.

mod document;
mod moves;

pub use document::flaws;

use crate::{MAX_DOC, change::ReplicaMove, cluster_state::ClusterState, core::Core};
use common::{
    OpId,
    http::{Body, BoxErr, json, read_body, text},
    is_valid_name,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json as j};
use std::{net::SocketAddr, sync::Arc};

type Res = Response<Body>;
/// An answer that ends the work early.
type Early<T> = Result<T, Box<Res>>;

fn early<T>(r: Res) -> Early<T> {
    Err(Box::new(r))
}

fn no(code: StatusCode, why: impl Into<String>) -> Res {
    json(code, &j!({"error": why.into()}))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplicaBody {
    id: String,
    service: String,
    #[serde(rename = "area")]
    zone: String,
    addr: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneBody {
    #[serde(rename = "area")]
    zone: String,
}

/// Two operators in the same moment must never share a outcome: each call without a name of its own
/// gets one that is drawn.
pub fn drawn_op() -> String {
    format!("drawn-{:032x}", common::runtime::draw::<u128>())
}

/// One operator's call, with what its headers and query say.
struct Call<'a> {
    core: &'a Arc<Core>,
    op: OpId,
    base: Option<String>,
    wait_ms: u64,
}

pub async fn handle(core: Arc<Core>, _peer: SocketAddr, req: Request<Incoming>) -> Result<Res, BoxErr> {
    let (head, body) = req.into_parts();
    let header = |k: &str| head.headers.get(k).and_then(|v| v.to_str().ok()).map(str::to_string);
    let op = header("foldshunt-op").unwrap_or_else(drawn_op);
    let query = head.uri.query().unwrap_or("");
    let wait_ms = query
        .split('&')
        .find_map(|kv| kv.strip_prefix("wait_ms="))
        .and_then(|v| v.parse().ok())
        .unwrap_or(0u64)
        .min(60_000);
    let call = Call { core: &core, op: OpId::new(op), base: header("if-match"), wait_ms };
    let path: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    if !is_valid_name(call.op.as_str()) {
        return Ok(no(
            StatusCode::BAD_REQUEST,
            "foldshunt-op: allowed: 1 to 64 letters, digits, '-', '_' or '.'",
        ));
    }
    let bytes = match read_body(body, MAX_DOC).await {
        Ok(b) => b,
        Err(true) => return Ok(no(StatusCode::PAYLOAD_TOO_LARGE, format!("body: over {MAX_DOC} bytes"))),
        Err(false) => return Ok(no(StatusCode::BAD_REQUEST, "body: broke off")),
    };
    let res = match (&head.method, path.as_slice()) {
        (&Method::GET, ["healthz"]) => Ok(text(StatusCode::OK, "ok\n")),
        (&Method::GET, ["readyz"]) => Ok(call.ready()),
        (&Method::GET, ["metrics"]) => Ok(text(StatusCode::OK, call.metrics())),
        (&Method::GET, ["v1", "status"]) => Ok(json(StatusCode::OK, &call.status())),
        (&Method::GET, ["v1", "timetable"]) => call.show().await,
        (&Method::PUT, ["v1", "timetable"]) => call.put(&bytes).await,
        (&Method::PATCH, ["v1", "timetable"]) => call.patch(&bytes).await,
        (&Method::GET, ["v1", "evacuations"]) => {
            call.state().await.map(|l| json(StatusCode::OK, &l.evacuated))
        }
        (&Method::POST, ["v1", "evacuations"]) => match serde_json::from_slice::<ZoneBody>(&bytes) {
            Ok(b) => call.evacuate(&b.zone, true).await,
            Err(e) => early(no(StatusCode::BAD_REQUEST, format!("body: {e}"))),
        },
        (&Method::DELETE, ["v1", "evacuations", a]) => call.evacuate(a, false).await,
        (&Method::GET, ["v1", "replicas"]) => call.state().await.map(|l| json(StatusCode::OK, &l.replicas)),
        (&Method::POST, ["v1", "replicas"]) => call.list(&bytes).await,
        (&Method::POST, ["v1", "replicas", id, "drain"]) => call.replica(id, ReplicaMove::Drain).await,
        (&Method::DELETE, ["v1", "replicas", id]) => call.replica(id, ReplicaMove::Remove).await,
        (&Method::POST, ["v1", "members", node, "down"]) => call.down(node).await,
        (&Method::GET, ["v1", "ops", op]) => call.asked(&OpId::new(op)).await,
        _ => Ok(no(StatusCode::NOT_FOUND, "no such call; see the operators' page")),
    };
    Ok(res.unwrap_or_else(|r| *r))
}

impl Call<'_> {
    fn ready(&self) -> Res {
        let v = self.core.status();
        let ok = v.voting && v.leader.is_some();
        let code = if ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json(code, &j!({"formed": v.initialized, "voting": v.voting, "leader": v.leader.map(|l| l.node)}))
    }

    fn metrics(&self) -> String {
        let v = self.core.status();
        let m = common::metrics::Metrics::default();
        let row = [
            ("view", "Number of the view that this seat has promised", v.term as i64),
            ("accepted_index", "Place of the newest accepted change", v.cluster_state.index.0 as i64),
            ("revision", "Newest accepted document", v.cluster_state.revision.0 as i64),
            ("voting", "1 while this seat votes", i64::from(v.voting)),
            ("members", "Nodes that hold a tenure", v.cluster_state.members.len() as i64),
        ];
        for (name, help, val) in row {
            m.gauge(name, help, &[]).with_label_values::<&str>(&[]).set(val);
        }
        m.text()
    }

    fn status(&self) -> Value {
        let v = self.core.status();
        let (index, rev) = (v.cluster_state.index, v.cluster_state.revision);
        // Renewals go to the leader: only it knows what governs where.
        let has_leadership = v.leader.as_ref().is_some_and(|l| l.node == v.me.node);
        let members: Vec<Value> = v
            .cluster_state
            .members
            .values()
            .map(|m| {
                let told = v.reports.get(&m.info.node);
                j!({"node": m.info.node, "area": m.info.zone, "role": m.info.role, "lang": m.info.lang, "rail": m.info.rpc_addr,
                    "http": m.info.http, "epoch": m.epoch, "idx": told.map(|r| r.0), "revision": told.map(|r| r.1),
                    "lags": has_leadership.then(|| told.is_none_or(|r| r.0 < index || r.1 < rev))})
            })
            .collect();
        j!({"cluster": self.core.set.cluster, "seat": v.me, "view": v.term, "leader": v.leader.map(|l| l.node),
            "formed": v.initialized, "voting": v.voting, "idx": index, "revision": rev, "evacuated": v.cluster_state.evacuated,
            "roster": v.cluster_state.voters, "lost": v.cluster_state.lost, "members": members, "replicas": v.cluster_state.replicas})
    }

    async fn state(&self) -> Early<ClusterState> {
        self.core.state().await.or_else(|why| early(no(StatusCode::SERVICE_UNAVAILABLE, why)))
    }
}
