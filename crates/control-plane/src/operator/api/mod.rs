//! HTTP API for operators and the platform (design 4.6), the same at each control node.
//!
//! Paths, fields and metrics that were renamed remain available under their names of earlier releases.

mod changes;
mod document;
mod status;

pub use document::check_document;

use crate::{
    control_node::ControlNode,
    state_machine::ClusterState,
    types::{MAX_DOCUMENT_BYTES, ReplicaChange},
};
use bytes::Bytes;
use common::{
    NAME_RULE, OpId,
    http::{Body, BodyError, BoxError, RequestBody, json, text},
    is_valid_name, log_event,
};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
};
use serde::Deserialize;
use serde_json::json as j;
use std::{net::SocketAddr, sync::Arc, time::Duration};

type ApiResponse = Response<Body>;
/// A result, or the response that ends the call early.
type Early<T> = Result<T, Box<ApiResponse>>;

/// Time in which the body of an operator's call must arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait that a call may request, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

fn early<T>(response: ApiResponse) -> Early<T> {
    Err(Box::new(response))
}

fn error(code: StatusCode, why: impl Into<String>) -> ApiResponse {
    json(code, &j!({"error": why.into()}))
}

/// The response to a call whose body was not read.
fn unread_body(why: BodyError) -> ApiResponse {
    let message = match why {
        BodyError::TooLarge => format!("body: longer than {MAX_DOCUMENT_BYTES} bytes"),
        BodyError::Broken => "body: ended before its announced length".into(),
        BodyError::TimedOut | BodyError::OutOfMemory => format!("body: {why}"),
    };
    let mut response = error(why.status(), message);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    if why.retry_after_s() > 0 {
        response.headers_mut().insert(RETRY_AFTER, why.retry_after_s().into());
    }
    response
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplicaBody {
    id: String,
    service: String,
    #[serde(alias = "area")]
    zone: String,
    addr: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneBody {
    #[serde(alias = "area")]
    zone: String,
}

/// Id for an operation whose caller sent none. It is random, so that two calls at the same moment never share an
/// outcome.
pub fn random_operation_id() -> OpId {
    OpId::new(format!("drawn-{:032x}", common::runtime::random::<u128>()))
}

/// A call, with the parameters from its headers and query.
struct Call<'a> {
    node: &'a Arc<ControlNode>,
    op: OpId,
    /// Value of the `If-Match` header.
    base: Option<String>,
    wait_ms: u64,
}

/// Handles one call.
///
/// # Errors
/// Never; the server requires a handler to return a `Result`.
pub async fn handle(
    node: Arc<ControlNode>,
    _peer: SocketAddr,
    request: Request<RequestBody>,
) -> Result<ApiResponse, BoxError> {
    let (head, body) = request.into_parts();
    let call = Call::new(&node, &head.headers, &head.uri);
    if !is_valid_name(call.op.as_str()) {
        return Ok(error(StatusCode::BAD_REQUEST, format!("foldshunt-op: {NAME_RULE}")));
    }
    let body = match body.read(MAX_DOCUMENT_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(why) => return Ok(unread_body(why)),
    };
    let path: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    let response = call.route(&head.method, &path, &body).await;
    Ok(response.unwrap_or_else(|early| *early))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a Bytes) -> Early<T> {
    serde_json::from_slice(body).or_else(|e| early(error(StatusCode::BAD_REQUEST, format!("body: {e}"))))
}

/// Whether this path segment names the document: `configuration`, or `timetable` as in earlier releases.
fn is_document(name: &str) -> bool {
    if name == "timetable" {
        log_event!(Warn, "deprecated path", "path" => "/v1/timetable", "use" => "/v1/configuration");
    }
    matches!(name, "configuration" | "timetable")
}

impl<'a> Call<'a> {
    fn new(node: &'a Arc<ControlNode>, headers: &HeaderMap, uri: &Uri) -> Self {
        let header = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
        let query = uri.query().unwrap_or("").split('&');
        let wait_ms = query.filter_map(|field| field.strip_prefix("wait_ms=")).find_map(|v| v.parse().ok());
        Self {
            node,
            op: header("foldshunt-op").map_or_else(random_operation_id, OpId::new),
            base: header("if-match"),
            wait_ms: wait_ms.unwrap_or(0u64).min(MAX_WAIT_MS),
        }
    }

    async fn route(&self, method: &Method, path: &[&str], body: &Bytes) -> Early<ApiResponse> {
        match (method, path) {
            (&Method::GET, ["healthz"]) => Ok(text(StatusCode::OK, "ok\n")),
            (&Method::GET, ["readyz"]) => Ok(self.ready()),
            (&Method::GET, ["metrics"]) => Ok(text(StatusCode::OK, self.metrics())),
            (&Method::GET, ["v1", "status"]) => Ok(json(StatusCode::OK, &self.status())),
            (&Method::GET, ["v1", name]) if is_document(name) => self.show_document().await,
            (&Method::PUT, ["v1", name]) if is_document(name) => self.replace_document(body).await,
            (&Method::PATCH, ["v1", name]) if is_document(name) => self.patch_document(body).await,
            (&Method::GET, ["v1", "ops", op]) => self.operation(&OpId::new(op)).await,
            _ => self.route_fleet(method, path, body).await,
        }
    }

    async fn route_fleet(&self, method: &Method, path: &[&str], body: &Bytes) -> Early<ApiResponse> {
        match (method, path) {
            (&Method::GET, ["v1", "evacuations"]) => {
                Ok(json(StatusCode::OK, &self.newest_state().await?.evacuated))
            }
            (&Method::POST, ["v1", "evacuations"]) => {
                self.evacuate(&parse::<ZoneBody>(body)?.zone, true).await
            }
            (&Method::DELETE, ["v1", "evacuations", zone]) => self.evacuate(zone, false).await,
            (&Method::GET, ["v1", "replicas"]) => {
                Ok(json(StatusCode::OK, &self.newest_state().await?.replicas))
            }
            (&Method::POST, ["v1", "replicas"]) => self.list_replica(parse(body)?).await,
            (&Method::POST, ["v1", "replicas", id, "drain"]) => {
                self.change_replica(id, ReplicaChange::Drain).await
            }
            (&Method::DELETE, ["v1", "replicas", id]) => self.change_replica(id, ReplicaChange::Remove).await,
            (&Method::POST, ["v1", "members", node, "down"]) => self.confirm_down(node).await,
            _ => Ok(error(StatusCode::NOT_FOUND, "no such method and path; see the operators' page")),
        }
    }

    async fn newest_state(&self) -> Early<ClusterState> {
        let state = self.node.newest_state().await;
        state.or_else(|why| early(error(StatusCode::SERVICE_UNAVAILABLE, why.to_string())))
    }
}
