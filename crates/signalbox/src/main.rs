//! The core daemon (design 1.1): one on each of the three disk machines.

use bpaf::Bpaf;
use eyre::Result;
use gauge::{
    Clock, http, jot,
    settings::{Flags, Settings, flags},
};
use interlocking::{
    change::{Card, Role},
    core::Core,
    member::Member,
    rail,
};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Core of a foldshunt cluster: keeps the order of changes on disk and serves operators.
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
    let (rail_lst, http_lst) = set.bind().await?;
    let core = Core::start(set.clone())?;
    let card = Card::of(&set, Role::Core, core.view().me.inc);
    let member = Member::new(set.clone(), card, Clock::default());
    // The core follows its own news, so that its tenure names what governs here.
    let m = member.clone();
    let mut moved = member.moved.subscribe();
    tokio::spawn(async move {
        while moved.changed().await.is_ok() {
            let rev = m.ledger.load().revision.0;
            m.governs.store(rev, std::sync::atomic::Ordering::Release);
        }
    });
    member.start();
    let c = core.clone();
    tokio::spawn(rail::listen(rail_lst, set.me(), c));
    let (stop, stopped) = watch::channel(false);
    let busy = Arc::new(http::Busy::default());
    let c = core.clone();
    let serving = http::serve(http_lst, busy.clone(), stopped, move |peer, req| {
        interlocking::api::handle(c.clone(), peer, req)
    });
    jot!(Info, "started", "rail" => set.rail, "http" => set.http);
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = serving => {}
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    jot!(Info, "stopping");
    member.leave().await;
    core.yield_lead().await;
    let _ = stop.send(true);
    for _ in 0..40 {
        if busy.open() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
