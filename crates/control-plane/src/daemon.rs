//! A control node from its start to its planned stop (design 1.1): the same in the program and under
//! virtual time.

use crate::{
    change::{NodeInfo, Role},
    core::{Core, LogWriterFactory, Start},
    member::Member,
    rpc,
};
use common::{
    Clock, http, log_event,
    runtime::{Listener, spawn},
    settings::Settings,
};
use hyper::{Request, Response, body::Incoming};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::watch;

/// `handler` answers on the HTTP address: the product's own interface is `api::handle`. A founder waits
/// for `voters`, where they are more than the seeds (design 2.5).
pub async fn run<F, Fut>(
    set: Settings,
    voters: usize,
    (rpc_listener, http_listener): (Listener, Listener),
    (start, drive): (impl Into<Start>, LogWriterFactory),
    handler: F,
    stop: impl Future<Output = ()>,
) where
    F: Fn(Arc<Core>, SocketAddr, Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<http::Body>, http::BoxErr>> + Send + 'static,
{
    let core = Core::start(set.clone(), voters, start, drive);
    let info = NodeInfo::of(&set, Role::Core, core.status().me.incarnation);
    let member = Member::new(set.clone(), info, Clock::default());
    // The core follows its own state updates, so that its lease names what governs here.
    let m = member.clone();
    let mut moved = member.moved.subscribe();
    spawn(async move {
        while moved.changed().await.is_ok() {
            m.governs.store(m.cluster_state.load().revision.0, Ordering::Release);
        }
    });
    member.start();
    spawn(rpc::listen(rpc_listener, set.me(), core.clone()));
    let (tell, told) = watch::channel(false);
    let (open_count, c) = (Arc::new(http::OpenCount::default()), core.clone());
    let serving =
        http::serve(http_listener, open_count.clone(), told, move |peer, req| handler(c.clone(), peer, req));
    log_event!(Info, "started", "rail" => set.rpc_addr, "http" => set.http);
    let serving = spawn(serving);
    stop.await;
    log_event!(Info, "stopping");
    member.leave().await;
    core.hand_over_leadership().await;
    // What waits to be accepted is taken, and answered, before the end.
    let _ = tell.send(true);
    let _ = serving.await;
    let end = core.clock.now() + set.timing.rpc_timeout_ms * 4;
    while open_count.open() > 0 && core.clock.now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
