//! A router that takes over as publisher, the router that probes a zone's replicas (design 5.4): it goes on from the
//! last load report.

mod kit;

use common::{Service, Zone};
use data_plane::{
    load::LoadReport,
    router::{Router, lock},
};
use kit::{Backend, IP, backend, router};
use std::{sync::Arc, time::Duration};
use tokio::net::TcpListener;

const HEALTHY: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 45\r\n\r\n\
    {\"healthy\":true,\"capacity\":8,\"consumption\":0}\n";

/// The first load report that a router sends as publisher for the replicas in centro-1.
async fn first_report(router: &Arc<Router>) -> LoadReport {
    tokio::spawn(router.clone().watch_load_reports());
    let key = (Service::new("verdict"), Zone::new("centro-1"));
    for _ in 0..500 {
        if let Some(report) = lock(&router.published_load).get(&key).and_then(|tx| tx.borrow().clone()) {
            return report;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no load report was published");
}

/// A replica that refused its last probe is cold when a new publisher first reaches it. In a simulation (seed 6), a
/// zone was lost, a router of another zone became publisher, and its probes were refused twice. Then the zone came back
/// with a publisher of its own, which took the replicas for warm.
#[tokio::test]
async fn replica_absent_at_the_last_publisher_is_cold() {
    let address = TcpListener::bind((IP, 0)).await.unwrap().local_addr().unwrap();
    let absent = Backend { address, runs: Arc::default() };
    let (last, _) = router("verdict", &[absent]).await;
    let mut report = first_report(&last).await;
    assert!(report.replicas[0].healthy, "one refused probe is not three failed ones");

    let (next, _) = router("verdict", &[backend(HEALTHY).await]).await;
    report.seq += 1;
    next.install_load_report(report, next.now());
    let first = first_report(&next).await;
    assert_eq!((first.replicas[0].healthy, first.replicas[0].capacity), (true, 8.0));
    assert_eq!(first.replicas[0].allowance, Some(1));
}

/// A replica that the last publisher found healthy stays warm.
#[tokio::test]
async fn replica_healthy_at_the_last_publisher_is_warm() {
    let (last, _) = router("verdict", &[backend(HEALTHY).await]).await;
    let mut report = first_report(&last).await;
    assert_eq!(report.replicas[0].allowance, None);

    let (next, _) = router("verdict", &[backend(HEALTHY).await]).await;
    report.seq += 1;
    next.install_load_report(report, next.now());
    assert_eq!(first_report(&next).await.replicas[0].allowance, None);
}
