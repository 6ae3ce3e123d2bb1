//! Runs a control node from its start to its planned stop (design 1.1). Programs and tests under virtual time use the
//! same code.

use crate::{
    control_node::{self, Bootstrap, ControlNode, LogWriterFactory, Start},
    membership::LocalMember,
    types::{NodeInfo, Role},
};
use common::{
    Clock, http, log_event,
    runtime::spawn,
    settings::{Listeners, Settings},
};
use hyper::{Request, Response};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::watch;

/// Longest time that a stop waits for open requests, in RPC timeouts.
const STOP_TIMEOUTS: u64 = 4;
/// Interval at which a stop checks for open requests.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Runs a control node until `stop` completes, then stops it gracefully: gives up its lease and leadership, and waits
/// for open requests.
///
/// `handler` handles HTTP requests; the standard API is [`crate::operator::api::handle`].
pub async fn run<F, Fut>(
    settings: Settings,
    bootstrap: Bootstrap,
    listeners: Listeners,
    (start, log_writer): (impl Into<Start>, LogWriterFactory),
    handler: F,
    stop: impl Future<Output = ()>,
) where
    F: Fn(Arc<ControlNode>, SocketAddr, Request<http::RequestBody>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<http::Body>, http::BoxError>> + Send + 'static,
{
    let node = ControlNode::start(settings.clone(), bootstrap, start, log_writer);
    let info = NodeInfo::of(&settings, Role::Control, node.status().identity.incarnation);
    let member = LocalMember::new(settings.clone(), info, Clock::default());
    spawn(report_revision(member.clone()));
    if node.is_learner() {
        node.follow_as_learner(member.clone());
    }
    member.start();
    spawn(control_node::listen(listeners.rpc, settings.local_node(), node.clone()));
    let (stop_serving, stopped) = watch::channel(false);
    let open_requests = Arc::new(http::OpenCount::default());
    let handler_node = node.clone();
    let handle = move |peer, request| handler(handler_node.clone(), peer, request);
    let admission = Arc::new(http::Admission::of(&settings.resources));
    let serving = spawn(http::serve(listeners.http, admission, open_requests.clone(), stopped, handle));
    log_event!(Info, "started", "rpc" => settings.rpc_addr, "http" => settings.http);
    stop.await;
    log_event!(Info, "stopping");
    member.leave().await;
    node.hand_over_leadership().await;
    // The server still accepts the connections that are waiting, and answers their requests.
    let _ = stop_serving.send(true);
    let _ = serving.await;
    let end = node.clock.now() + settings.timing.rpc_timeout_ms * STOP_TIMEOUTS;
    while open_requests.open() > 0 && node.clock.now() < end {
        tokio::time::sleep(STOP_POLL).await;
    }
}

/// Marks each revision as active once this node's copy of the state has it: a control node has no compiled form
/// to wait for, and its renewals report this revision to the leader.
async fn report_revision(member: Arc<LocalMember>) {
    let mut applied = member.applied.subscribe();
    while applied.changed().await.is_ok() {
        let revision = member.cluster_state.load().revision;
        member.active_revision.store(revision.0, Ordering::Release);
    }
}
