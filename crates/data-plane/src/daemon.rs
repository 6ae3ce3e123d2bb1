//! A router process from its start to the end of its drain (design 1.1, 6.5). The simulator runs the same code under
//! virtual time.

use crate::router::Router;
use common::{
    Clock, Incarnation, Tick, http, log_event,
    runtime::{random, spawn},
    settings::{Listeners, Settings},
};
use control_plane::{Role, membership::LocalMember, types::NodeInfo};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::watch;

/// How often a draining router checks what is still open.
const DRAIN_POLL_MS: u64 = 20;

/// Runs a router until `stop` completes and the drain has ended.
pub async fn run(settings: Settings, listeners: Listeners, stop: impl Future<Output = ()>) {
    let info = NodeInfo::of(&settings, Role::Router, Incarnation(random::<u64>() >> 1));
    let clock = Clock::default();
    let member = LocalMember::new(settings.clone(), info, clock.clone());
    let router = Router::new(settings.clone(), member.clone(), clock.clone());
    router.start(&settings, listeners.rpc);
    let (stop_listening, stopped) = watch::channel(false);
    let (connections, handler) = (Arc::new(http::OpenCount::default()), router.clone());
    let admission = Arc::new(http::Admission::of(&settings.resources));
    let handle = move |peer, request| handler.clone().handle(peer, request);
    let serving = spawn(http::serve(listeners.http, admission, connections.clone(), stopped, handle));
    log_event!(Info, "started", "rail" => settings.rpc_addr, "http" => settings.http);
    stop.await;
    // The order of a drain (design 6.5): first this node is not ready and gives up its singleton roles, so that clients
    // and other routers use other nodes. Then it accepts no more connections, and finishes the open requests.
    log_event!(Info, "draining", "open" => router.open_count.open());
    router.draining.store(true, Ordering::Release);
    member.leave().await;
    tokio::time::sleep(Duration::from_millis(settings.timing.renew_interval_ms())).await;
    let _ = stop_listening.send(true);
    let _ = serving.await;
    let drain_ms = if common::mutation::enabled("no-drain") { 0 } else { settings.timing.drain_ms };
    let end = clock.now() + drain_ms;
    wait_until_drained(&router, &connections, end).await;
    log_event!(Info, "stopped", "open" => router.open_count.open());
}

/// Waits until no request and no connection is open, or until `end`.
pub(crate) async fn wait_until_drained(router: &Router, connections: &http::OpenCount, end: Tick) {
    while (router.open_count.open() > 0 || connections.open() > 0) && router.now() < end {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
}
