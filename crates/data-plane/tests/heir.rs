//! A home that takes over from another (design 5.4): what the last one saw is not forgotten.

mod kit;

use common::{Service, Zone};
use data_plane::{
    load::LoadReport,
    router::{Router, lock},
};
use kit::{Back, IP, back, router};
use std::{sync::Arc, time::Duration};
use tokio::net::TcpListener;

const WELL: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 45\r\n\r\n\
    {\"healthy\":true,\"capacity\":8,\"consumption\":0}\n";

/// The load report of its first check as home of the centre's replicas.
async fn first_check(r: &Arc<Router>) -> LoadReport {
    tokio::spawn(r.clone().watch_load_reports());
    let key = (Service::new("verdict"), Zone::new("centro-1"));
    for _ in 0..500 {
        if let Some(f) = lock(&r.published_load).get(&key).and_then(|tx| tx.borrow().clone()) {
            return f;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no figures were published");
}

/// Found by the world (seed 6): a zone was lost, a router of another one became the home and was
/// refused twice, then the zone came back with a home of its own. That took the replicas for warm.
#[tokio::test]
async fn what_the_last_home_found_absent_is_cold_to_the_next() {
    let at = TcpListener::bind((IP, 0)).await.unwrap().local_addr().unwrap();
    let away = Back { at, runs: Arc::default() };
    let (last, _) = router("verdict", &[away]).await;
    let mut told = first_check(&last).await;
    assert!(told.replicas[0].healthy, "one refusal is not three failed checks");

    let (next, _) = router("verdict", &[back(WELL).await]).await;
    told.seq += 1;
    next.install_load_report(told, next.now());
    let found = first_check(&next).await;
    assert_eq!((found.replicas[0].healthy, found.replicas[0].capacity), (true, 8.0));
    assert_eq!(found.replicas[0].allowance, Some(1));
}

/// The innocent twin: what the last home found well stays warm.
#[tokio::test]
async fn what_the_last_home_found_well_is_warm_to_the_next() {
    let (last, _) = router("verdict", &[back(WELL).await]).await;
    let mut told = first_check(&last).await;
    assert_eq!(told.replicas[0].allowance, None);

    let (next, _) = router("verdict", &[back(WELL).await]).await;
    told.seq += 1;
    next.install_load_report(told, next.now());
    assert_eq!(first_check(&next).await.replicas[0].allowance, None);
}
