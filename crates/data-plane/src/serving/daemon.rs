//! Runs a router that serves requests by routes, from its start to the end of its drain (design 9.7). The same code
//! runs in the program and in simulations with virtual time.

use super::{
    protocol::ProtocolAdapter,
    state::{Serving, Site},
};
use crate::{daemon::wait_until_drained, router::Router};
use common::{
    Clock, Incarnation, http, log_event,
    runtime::{bind_when_available, random, spawn},
    settings::{Listeners, Settings},
};
use configuration::DocumentFormat;
use control_plane::{Role, membership::LocalMember, types::NodeInfo};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::watch;

/// The platform-specific parts of a router.
pub struct ServingParts {
    /// Where the node runs.
    pub site: Site,
    /// The platform's wire format.
    pub protocol: Arc<dyn ProtocolAdapter>,
    /// Parses configuration documents.
    pub document_format: Arc<dyn DocumentFormat>,
}

/// Answers requests for readiness and for routers at an address, once that can be bound.
async fn serve_directory(
    serving: Arc<Serving>,
    admission: Arc<http::Admission>,
    addr: SocketAddr,
    stopped: watch::Receiver<bool>,
) {
    match bind_when_available(addr).await {
        Ok(listener) => {
            let handler = move |peer, request| serving.clone().answer_directory_request(peer, request);
            http::serve(listener, admission, Arc::default(), stopped, handler).await;
        }
        Err(error) => log_event!(Error, "bind", "peer" => addr, "cause" => error.to_string()),
    }
}

/// Runs a router until `stop` resolves and its drain is over.
pub async fn run(
    settings: Settings,
    listeners: Listeners,
    parts: ServingParts,
    stop: impl Future<Output = ()>,
) {
    let info = NodeInfo::of(&settings, Role::Router, Incarnation(random::<u64>() >> 1));
    let clock = Clock::default();
    let member = LocalMember::new(settings.clone(), info, clock.clone());
    let router = Router::new(settings.clone(), member.clone(), clock.clone());
    let ServingParts { site, protocol, document_format } = parts;
    let extra_listeners: Vec<_> = site.readiness_addr.into_iter().chain(site.directory_addr).collect();
    let grace_ms = site.bounds.grace_ms;
    let directory_ttl_ms = site.bounds.directory_ttl_ms;
    let serving = Serving::new(router.clone(), protocol, document_format, site);
    router.start_serving(&settings, listeners.rpc);
    spawn(serving.clone().follow_configuration());
    serving.spawn_report_tasks();
    serving.spawn_usage_tasks();
    let (stop_listening, stopped) = watch::channel(false);
    let (stop_extra, extra_stopped) = watch::channel(false);
    let admission = Arc::new(http::Admission::of(&settings.resources));
    for addr in extra_listeners {
        spawn(serve_directory(serving.clone(), admission.clone(), addr, extra_stopped.clone()));
    }
    let connections = Arc::new(http::OpenCount::default());
    let listening = spawn(serving.clone().listen(listeners.http, admission, connections.clone(), stopped));
    let me = serving.clone();
    spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            me.pool.sweep(me.now());
        }
    });
    log_event!(Info, "started", "rail" => settings.rpc_addr, "http" => settings.http);
    stop.await;
    // First the router reports that it is not ready and leaves the directory. It serves clients that still use an
    // older answer of the directory until that has expired, and then finishes the requests that it has read (design
    // 9.7).
    log_event!(Info, "draining", "open" => router.open_count.open());
    let began = clock.now();
    router.draining.store(true, Ordering::Release);
    member.leave().await;
    let linger = (directory_ttl_ms * 3 + settings.timing.renew_interval_ms()).min(grace_ms / 2);
    tokio::time::sleep(Duration::from_millis(linger.saturating_sub(clock.now().since(began)))).await;
    let _ = stop_listening.send(true);
    let _ = listening.await;
    let until = began + grace_ms * 15 / 16;
    wait_until_drained(&router, &connections, until).await;
    let _ = stop_extra.send(true);
    log_event!(Info, "stopped", "open" => router.open_count.open());
}
