//! A control node from its start to its planned stop (design 1.1): the same in the program and under
//! virtual time.

use crate::{
    change::{Card, Role},
    core::{Core, MakeDrive, Start},
    member::Member,
    rail,
};
use common::{
    Clock,
    ground::{Listener, spawn},
    http, jot,
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
/// for `seats`, where they are more than the seeds (design 2.5).
pub async fn run<F, Fut>(
    set: Settings,
    seats: usize,
    (rail_lst, http_lst): (Listener, Listener),
    (start, drive): (impl Into<Start>, MakeDrive),
    handler: F,
    stop: impl Future<Output = ()>,
) where
    F: Fn(Arc<Core>, SocketAddr, Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<http::Body>, http::BoxErr>> + Send + 'static,
{
    let core = Core::start(set.clone(), seats, start, drive);
    let card = Card::of(&set, Role::Core, core.view().me.inc);
    let member = Member::new(set.clone(), card, Clock::default());
    // The core follows its own news, so that its tenure names what governs here.
    let m = member.clone();
    let mut moved = member.moved.subscribe();
    spawn(async move {
        while moved.changed().await.is_ok() {
            m.governs.store(m.ledger.load().revision.0, Ordering::Release);
        }
    });
    member.start();
    spawn(rail::listen(rail_lst, set.me(), core.clone()));
    let (tell, told) = watch::channel(false);
    let (busy, c) = (Arc::new(http::Busy::default()), core.clone());
    let serving = http::serve(http_lst, busy.clone(), told, move |peer, req| handler(c.clone(), peer, req));
    jot!(Info, "started", "rail" => set.rail, "http" => set.http);
    let serving = spawn(serving);
    stop.await;
    jot!(Info, "stopping");
    member.leave().await;
    core.yield_lead().await;
    // What waits to be accepted is taken, and answered, before the end.
    let _ = tell.send(true);
    let _ = serving.await;
    let end = core.clock.now() + set.timing.rail_ms * 4;
    while busy.open() > 0 && core.clock.now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
