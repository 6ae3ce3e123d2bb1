//! A router from its start to the end of its drain (design 1.1, 6.5): the same in the program and
//! under virtual time.

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

/// Time between two looks at what is still open.
const DRAIN_POLL_MS: u64 = 20;

pub async fn run(set: Settings, listeners: Listeners, stop: impl Future<Output = ()>) {
    let info = NodeInfo::of(&set, Role::Router, Incarnation(random::<u64>() >> 1));
    let clock = Clock::default();
    let member = LocalMember::new(set.clone(), info, clock.clone());
    let router = Router::new(set.clone(), member.clone(), clock.clone());
    router.start(&set, listeners.rpc);
    let (stop_listening, stopped) = watch::channel(false);
    let (conns, r) = (Arc::new(http::OpenCount::default()), router.clone());
    let serving = spawn(http::serve(listeners.http, conns.clone(), stopped, move |peer, req| {
        r.clone().handle(peer, req)
    }));
    log_event!(Info, "started", "rail" => set.rpc_addr, "http" => set.http);
    stop.await;
    // Not ready first, and singleton roles given back, so that callers and the other routers go
    // elsewhere; then no more is accepted; what was read is finished (design 6.5).
    log_event!(Info, "draining", "open" => router.open_count.open());
    router.draining.store(true, Ordering::Release);
    member.leave().await;
    tokio::time::sleep(Duration::from_millis(set.timing.renew_interval_ms())).await;
    let _ = stop_listening.send(true);
    let _ = serving.await;
    let drain_ms = if common::mutation::enabled("no-drain") { 0 } else { set.timing.drain_ms };
    let end = clock.now() + drain_ms;
    wait_until_drained(&router, &conns, end).await;
    log_event!(Info, "stopped", "open" => router.open_count.open());
}

/// Waits until no request and no connection is open, or until `end`.
pub(crate) async fn wait_until_drained(router: &Router, connections: &http::OpenCount, end: Tick) {
    while (router.open_count.open() > 0 || connections.open() > 0) && router.now() < end {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
}
