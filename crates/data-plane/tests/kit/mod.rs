//! One router with a document, load reports and back ends made by the test (design 7.6).
#![allow(dead_code)]

use common::{
    Clock, Epoch, FencingToken, Incarnation, Tick, http,
    settings::{Settings, Timing},
};
use control_plane::{
    Change, ClusterState, ReplicaChange, Role, membership::LocalMember,
    state_machine::state_update::StateUpdate, types::NodeInfo,
};
use data_plane::{
    load::{LoadReport, ReplicaLoad},
    router::Router,
};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

pub const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
pub const DOC: &str = include_str!("../../../../examples/bitacora.toml");

/// A back end that says the same to each request, and counts how often it was asked.
pub struct Back {
    pub at: SocketAddr,
    pub runs: Arc<AtomicUsize>,
}

pub async fn back(says: &'static str) -> Back {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let (at, runs) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = runs.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            let mut buf = vec![0u8; 65536];
            let _ = s.read(&mut buf).await;
            count.fetch_add(1, Ordering::AcqRel);
            let _ = s.write_all(says.as_bytes()).await;
        }
    });
    Back { at, runs }
}

pub fn settings() -> Settings {
    Settings {
        cluster: "bitacora".into(),
        node: "p1".into(),
        zone: "centro-1".into(),
        rpc_addr: (IP, 1).into(),
        http: (IP, 1).into(),
        rpc_advertise: None,
        http_advertise: None,
        seeds: vec![],
        may_bootstrap: true,
        data: None,
        timing: Timing { lease_ms: 60_000, probe_interval_ms: 60_000, ..Timing::default() },
        log: "error".into(),
    }
}

pub fn info(node: &str, zone: &str) -> NodeInfo {
    let addr = ([127, 0, 0, 9], 8080).into();
    NodeInfo {
        node: node.into(),
        incarnation: Incarnation(1),
        role: Role::Router,
        lang: 1,
        zone: zone.into(),
        rpc_addr: addr,
        http: addr,
    }
}

/// A router in the centre, with these back ends for a service, and a peer in the north.
pub async fn router(service: &str, backs: &[Back]) -> (Arc<Router>, SocketAddr) {
    router_at(Clock::default(), service, backs).await
}

pub async fn router_at(clock: Clock, service: &str, backs: &[Back]) -> (Arc<Router>, SocketAddr) {
    let member = LocalMember::new(settings(), info("p1", "centro-1"), clock.clone());
    let mut l = ClusterState::bootstrapped("bitacora", vec![]);
    let mut add = |change: Change| drop(l.apply(l.index.next(), &change));
    add(Change::Apply { op: "a".into(), base: Default::default(), text: DOC.into() });
    for (n, b) in backs.iter().enumerate() {
        let what = ReplicaChange::List { service: service.into(), zone: "centro-1".into(), addr: b.at };
        let id = format!("r{n}");
        add(Change::Replica { op: id.as_str().into(), id: id.as_str().into(), what });
    }
    add(Change::Join(info("p9", "norte-1")));
    add(Change::Join(info("p1", "centro-1")));
    let fencing_token = FencingToken(l.epoch.0);
    member.extend_lease(Epoch(l.index.0), clock.now());
    let _ = member.install(StateUpdate::Snapshot(Box::new(l)), "test");
    let r = Router::new(settings(), member, clock);
    tokio::spawn(r.clone().keep_configuration());
    while r.configuration.load().is_none() {
        tokio::task::yield_now().await;
    }
    r.install_load_report(figures(service, backs, fencing_token, 1, 0.0), r.now());
    r.configured_at.store(Tick(1).0, Ordering::Release);
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let at = listener.local_addr().unwrap();
    // Never told to stop: the sender is left alone.
    let (h, (tx, rx)) = (r.clone(), watch::channel(false));
    std::mem::forget(tx);
    tokio::spawn(http::serve(listener, Arc::default(), rx, move |p, q| h.clone().handle(p, q)));
    (r, at)
}

/// Sends these bytes and reads to the end of the connection.
pub async fn say(at: SocketAddr, what: &str) -> String {
    let mut s = TcpStream::connect(at).await.unwrap();
    s.write_all(what.as_bytes()).await.unwrap();
    let mut got = Vec::new();
    let _ = s.read_to_end(&mut got).await;
    String::from_utf8_lossy(&got).into_owned()
}

pub fn post(path: &str, more: &str, body: &str) -> String {
    let n = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{more}content-length: {n}\r\n\r\n{body}")
}

pub fn figures(
    service: &str,
    backs: &[Back],
    fencing_token: FencingToken,
    seq: u64,
    consumption: f64,
) -> LoadReport {
    let load = |(n, b): (usize, &Back)| ReplicaLoad {
        id: format!("r{n}").as_str().into(),
        addr: b.at,
        healthy: true,
        capacity: 8.0,
        consumption,
        allowance: None,
    };
    let replicas = backs.iter().enumerate().map(load).collect();
    let (service, zone) = (service.into(), "centro-1".into());
    LoadReport {
        service,
        zone,
        fencing_token,
        seq,
        age_ms: 0,
        waited_ms: 0,
        routers: vec!["p1".into()],
        replicas,
    }
}

pub fn hears_p9(r: &Router) {
    data_plane::router::lock(&r.last_contacts).insert("p9".into(), r.now());
}
