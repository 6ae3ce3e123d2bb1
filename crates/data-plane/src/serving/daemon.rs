//! A router that serves by routes, from its start to the end of its drain (design 9.7): the same in
//! the program and under virtual time.

use super::{
    protocol::ProtocolAdapter,
    state::{Serving, Site},
};
use crate::{daemon::wait_until_drained, router::Router};
use common::{
    Clock, Incarnation, http, log_event,
    runtime::{bind, random, spawn},
    settings::{Listeners, Settings},
};
use configuration::DocumentFormat;
use control_plane::{Role, membership::LocalMember, types::NodeInfo};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::watch;

/// What a serving router is made of, besides its settings.
pub struct ServingParts {
    pub site: Site,
    pub protocol: Arc<dyn ProtocolAdapter>,
    pub document_format: Arc<dyn DocumentFormat>,
}

pub async fn run(
    set: Settings,
    listeners: Listeners,
    parts: ServingParts,
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let info = NodeInfo::of(&set, Role::Router, Incarnation(random::<u64>() >> 1));
    let clock = Clock::default();
    let member = LocalMember::new(set.clone(), info, clock.clone());
    let router = Router::new(set.clone(), member.clone(), clock.clone());
    let ServingParts { site, protocol, document_format } = parts;
    let extra: Vec<_> = site.readiness_addr.into_iter().chain(site.directory_addr).collect();
    let grace_ms = site.bounds.grace_ms;
    let keep_ms = site.bounds.directory_ttl_ms;
    let s = Serving::new(router.clone(), protocol, document_format, site);
    router.start_serving(&set, listeners.rpc);
    spawn(s.clone().follow_configuration());
    s.spawn_report_tasks();
    s.spawn_usage_tasks();
    let (stop_listening, stopped) = watch::channel(false);
    let (end, ended) = watch::channel(false);
    for at in extra {
        let listener = bind(at).await?;
        let me = s.clone();
        spawn(http::serve(listener, Arc::default(), ended.clone(), move |peer, req| {
            me.clone().answer_directory_request(peer, req)
        }));
    }
    let conns = Arc::new(http::OpenCount::default());
    let serving = spawn(s.clone().listen(listeners.http, conns.clone(), stopped));
    let me = s.clone();
    spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            me.pool.sweep(me.now());
        }
    });
    log_event!(Info, "started", "rail" => set.rpc_addr, "http" => set.http);
    stop.await;
    // Not ready and out of the directories first; clients that hold an older answer are served
    // until it has run out; what was read is finished (design 9.7).
    log_event!(Info, "draining", "open" => router.open_count.open());
    let began = clock.now();
    router.draining.store(true, Ordering::Release);
    member.leave().await;
    let linger = (keep_ms * 3 + set.timing.renew_interval_ms()).min(grace_ms / 2);
    tokio::time::sleep(Duration::from_millis(linger.saturating_sub(clock.now().since(began)))).await;
    let _ = stop_listening.send(true);
    let _ = serving.await;
    let until = began + grace_ms * 15 / 16;
    wait_until_drained(&router, &conns, until).await;
    let _ = end.send(true);
    log_event!(Info, "stopped", "open" => router.open_count.open());
    Ok(())
}
