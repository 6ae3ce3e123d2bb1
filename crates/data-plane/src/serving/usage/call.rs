//! One call that reports usage to the platform.

use super::{
    holder::UsageHolder,
    pacing::{Call, CallOutcome},
};
use crate::router::lock;
use common::{
    PeerError,
    error::{AtPeer, with_timeout},
    http::{full, open_client},
};
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, StatusCode};

const STEP: &str = "report usage";
/// The most bytes of an answer that are read.
const MAX_ANSWER_BYTES: usize = 1 << 16;

/// What an answer's status says about the report.
pub fn call_outcome(status: StatusCode) -> CallOutcome {
    match status {
        StatusCode::CONFLICT => CallOutcome::Superseded,
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => CallOutcome::Unknown,
        status if status.is_success() => CallOutcome::Accepted,
        status if status.is_client_error() => CallOutcome::Refused,
        _ => CallOutcome::Unknown,
    }
}

impl UsageHolder {
    /// Makes the call; `None` if nothing was sent because the duty passed to another node.
    pub(super) async fn report(&self, call: &Call) -> Option<Result<StatusCode, PeerError>> {
        let timeout_ms = lock(&self.plan).spans.call_timeout_ms;
        let sending = self.send(call);
        with_timeout(timeout_ms, STEP, self.duty.address, async { Ok(sending.await) })
            .await
            .unwrap_or_else(|error| Some(Err(error)))
    }

    async fn send(&self, call: &Call) -> Option<Result<StatusCode, PeerError>> {
        let (address, router) = (self.duty.address, &self.serving.router);
        let duty_call =
            self.serving.protocol.usage_report(&self.duty.holder, call.fencing_token, &call.report);
        let request =
            Request::builder().method(Method::POST).uri(duty_call.path).header("host", address.to_string());
        let request =
            duty_call.headers.iter().fold(request, |request, (name, value)| request.header(*name, value));
        let request = match request.body(full(duty_call.body)).at_peer(STEP, address) {
            Ok(request) => request,
            Err(error) => return Some(Err(error)),
        };
        let timeout_ms = lock(&self.plan).spans.call_timeout_ms;
        let mut connection = match open_client(router.settings.rpc_addr.ip(), address, timeout_ms).await {
            Ok(connection) => connection,
            Err(error) => return Some(Err(error)),
        };
        // The duty may have passed to another node while the connection was opened.
        if !lock(&self.plan).may_send(call, self.held_token(), router.now()) {
            return None;
        }
        let answer = match connection.send_request(request).await.at_peer(STEP, address) {
            Ok(answer) => answer,
            Err(error) => return Some(Err(error)),
        };
        let status = answer.status();
        // The body holds nothing of interest; it is read so that the connection is closed cleanly.
        let _ = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        Some(Ok(status))
    }
}
