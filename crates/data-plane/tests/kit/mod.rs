//! One router whose configuration, load reports and backends the test supplies (design 7.6).
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

/// Address that everything here listens on.
pub const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// The configuration.
pub const DOCUMENT: &str = include_str!("../../../../examples/bitacora.toml");

/// A backend that sends the same response to each request.
pub struct Backend {
    /// Its address.
    pub address: SocketAddr,
    /// Number of requests that it received.
    pub runs: Arc<AtomicUsize>,
}

/// Starts a backend that sends these bytes in response to each request.
pub async fn backend(response: &'static str) -> Backend {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let (address, runs) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = runs.clone();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut buf = vec![0u8; 65536];
            let _ = connection.read(&mut buf).await;
            count.fetch_add(1, Ordering::AcqRel);
            let _ = connection.write_all(response.as_bytes()).await;
        }
    });
    Backend { address, runs }
}

/// Settings of the router.
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
        resources: Default::default(),
        log: "error".into(),
    }
}

/// What the cluster knows of a router.
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

/// Starts router p1 in zone centro-1, with these backends for a service. Router p9 in norte-1 is a member too. Returns
/// the router and the address of its HTTP listener.
pub async fn router(service: &str, backends: &[Backend]) -> (Arc<Router>, SocketAddr) {
    router_with_clock(Clock::default(), service, backends).await
}

/// The same with a clock that the test controls.
pub async fn router_with_clock(
    clock: Clock,
    service: &str,
    backends: &[Backend],
) -> (Arc<Router>, SocketAddr) {
    let member = LocalMember::new(settings(), info("p1", "centro-1"), clock.clone());
    let mut state = ClusterState::bootstrapped("bitacora", vec![]);
    let mut apply = |change: Change| drop(state.apply(state.index.next(), &change));
    apply(Change::Apply { op: "a".into(), base: Default::default(), text: DOCUMENT.into() });
    for (n, backend) in backends.iter().enumerate() {
        let what =
            ReplicaChange::List { service: service.into(), zone: "centro-1".into(), addr: backend.address };
        let id = format!("r{n}");
        apply(Change::Replica { op: id.as_str().into(), id: id.as_str().into(), what });
    }
    apply(Change::Join(info("p9", "norte-1")));
    apply(Change::Join(info("p1", "centro-1")));
    let fencing_token = FencingToken(state.epoch.0);
    member.extend_lease(Epoch(state.index.0), clock.now());
    let _ = member.install(StateUpdate::Snapshot(Box::new(state)), "test");
    let router = Router::new(settings(), member, clock);
    tokio::spawn(router.clone().keep_configuration());
    while router.configuration.load().is_none() {
        tokio::task::yield_now().await;
    }
    router.install_load_report(load_report(service, backends, fencing_token, 1, 0.0), router.now());
    router.configured_at.store(Tick(1).0, Ordering::Release);
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (handler, (stop, stopped)) = (router.clone(), watch::channel(false));
    // The listener would stop if the sender were dropped.
    std::mem::forget(stop);
    tokio::spawn(http::serve(listener, Arc::default(), Arc::default(), stopped, move |peer, request| {
        handler.clone().handle(peer, request)
    }));
    (router, address)
}

/// Sends these bytes and reads to the end of the connection.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut connection = TcpStream::connect(address).await.unwrap();
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let _ = connection.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// A POST request with these further header lines.
pub fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// A load report that calls all backends healthy.
pub fn load_report(
    service: &str,
    backends: &[Backend],
    fencing_token: FencingToken,
    seq: u64,
    consumption: f64,
) -> LoadReport {
    let load = |(n, backend): (usize, &Backend)| ReplicaLoad {
        id: format!("r{n}").as_str().into(),
        addr: backend.address,
        healthy: true,
        capacity: 8.0,
        consumption,
        allowance: None,
    };
    let replicas = backends.iter().enumerate().map(load).collect();
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

/// Makes p9 reachable, as if it had just answered a heartbeat.
pub fn record_contact_with_p9(router: &Router) {
    data_plane::router::lock(&router.last_contacts).insert("p9".into(), router.now());
}
