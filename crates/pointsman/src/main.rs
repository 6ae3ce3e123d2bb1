//! The router daemon (design 1.1): takes callers' jobs and carries them out.

use bpaf::Bpaf;
use eyre::Result;
use gauge::{
    Clock, Incarnation, http, jot,
    settings::{Flags, Settings, flags},
};
use interlocking::{Role, change::Card, member::Member};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::{signal::unix, sync::watch};
use track::router::Router;

/// Router of a foldshunt cluster: serves callers by placements, homes and lending passes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    #[bpaf(external(flags))]
    flags: Flags,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    gauge::fault::ended(run().await)
}

async fn run() -> Result<()> {
    let set = Settings::read(&opts().run().flags)?;
    jot::start(&set.node, &set.log);
    let (rail, callers) = set.bind().await?;
    let card = Card::of(&set, Role::Router, Incarnation(rand::random::<u64>() >> 1));
    let clock = Clock::default();
    let member = Member::new(set.clone(), card, clock.clone());
    let router = Router::new(set.clone(), member.clone(), clock);
    router.start(&set, rail);
    let (stop, stopped) = watch::channel(false);
    let conns = std::sync::Arc::new(http::Busy::default());
    let r = router.clone();
    let serving = tokio::spawn(http::serve(callers, conns.clone(), stopped, move |peer, req| {
        r.clone().handle(peer, req)
    }));
    jot!(Info, "started", "rail" => set.rail, "http" => set.http);
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    // Not ready first, and duties given back, so that callers and the other routers go
    // elsewhere; then no more is accepted; what was read is finished (design 6.5).
    jot!(Info, "draining", "open" => router.busy.open());
    router.draining.store(true, Ordering::Release);
    member.leave().await;
    tokio::time::sleep(Duration::from_millis(set.timing.renew_ms())).await;
    let _ = stop.send(true);
    let _ = serving.await;
    let end = tokio::time::Instant::now() + Duration::from_millis(set.timing.drain_ms);
    while (router.busy.open() > 0 || conns.open() > 0) && tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    jot!(Info, "stopped", "open" => router.busy.open());
    Ok(())
}
