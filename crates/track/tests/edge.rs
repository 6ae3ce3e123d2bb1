//! The callers' side, whole but for the core (design 5.2, 6.2, 6.4): one router with a document,
//! figures and back ends made by the test, asked over real connections.

use gauge::{
    Clock, Epoch, Fence, Incarnation, Index, Tick, http,
    settings::{Settings, Timing},
};
use interlocking::{Change, Ledger, ReplicaMove, Role, change::Card, member::Member, news::News};
use rstest::rstest;
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
use track::{
    pressure::{Figures, Gauge},
    router::Router,
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const DOC: &str = include_str!("../../../examples/bitacora.toml");
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
const LOOKUP: &str = "GET /v1/contacts/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndo";

/// A back end that says the same to each job, and counts how often it was asked.
struct Back {
    at: SocketAddr,
    runs: Arc<AtomicUsize>,
}

async fn back(says: &'static str) -> Back {
    let lst = TcpListener::bind((IP, 0)).await.unwrap();
    let (at, runs) = (lst.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = runs.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = lst.accept().await {
            let mut buf = vec![0u8; 65536];
            let _ = s.read(&mut buf).await;
            count.fetch_add(1, Ordering::AcqRel);
            let _ = s.write_all(says.as_bytes()).await;
        }
    });
    Back { at, runs }
}

fn settings() -> Settings {
    Settings {
        cluster: "bitacora".into(),
        node: "p1".into(),
        area: "centro-1".into(),
        rail: (IP, 1).into(),
        http: (IP, 1).into(),
        rail_advertise: None,
        http_advertise: None,
        seeds: vec![],
        data: None,
        timing: Timing { tenure_ms: 60_000, check_ms: 60_000, ..Timing::default() },
        log: "error".into(),
    }
}

fn card(node: &str, area: &str) -> Card {
    let addr = ([127, 0, 0, 9], 8080).into();
    Card {
        node: node.into(),
        inc: Incarnation(1),
        role: Role::Router,
        lang: 1,
        area: area.into(),
        rail: addr,
        http: addr,
    }
}

/// A router in the centre, with these back ends for a service, and a peer in the north.
async fn router(service: &str, backs: &[Back]) -> (Arc<Router>, SocketAddr) {
    let clock = Clock::default();
    let member = Member::new(settings(), card("p1", "centro-1"), clock.clone());
    let mut l = Ledger::founded("bitacora", vec![]);
    let mut add = |ch: Change| l.fold(l.idx.next(), &ch);
    add(Change::Apply { op: "a".into(), base: Default::default(), text: DOC.into() });
    for (n, b) in backs.iter().enumerate() {
        let what = ReplicaMove::List { service: service.into(), area: "centro-1".into(), addr: b.at };
        let id = format!("r{n}");
        add(Change::Replica { op: id.as_str().into(), id: id.as_str().into(), what });
    }
    add(Change::Join(card("p9", "norte-1")));
    add(Change::Join(card("p1", "centro-1")));
    let fence = Fence(l.epoch.0);
    member.hold(Epoch(l.idx.0), clock.now());
    member.install(News::Frame(Box::new(l)), "test");
    let r = Router::new(settings(), member, clock);
    tokio::spawn(r.clone().govern());
    while r.governing.load().is_none() {
        tokio::task::yield_now().await;
    }
    let gauge = |(n, b): (usize, &Back)| Gauge {
        id: format!("r{n}").as_str().into(),
        addr: b.at,
        healthy: true,
        capacity: 8.0,
        consumption: 0.0,
        allowance: None,
    };
    let replicas = backs.iter().enumerate().map(gauge).collect();
    let (service, area) = (service.into(), "centro-1".into());
    r.take_figures(Figures { service, area, fence, seq: 1, age_ms: 0, replicas });
    r.since.store(Tick(1).0, Ordering::Release);
    let lst = TcpListener::bind((IP, 0)).await.unwrap();
    let at = lst.local_addr().unwrap();
    // Never told to stop: the sender is left alone.
    let (h, (tx, rx)) = (r.clone(), watch::channel(false));
    std::mem::forget(tx);
    tokio::spawn(http::serve(lst, Arc::default(), rx, move |p, q| h.clone().handle(p, q)));
    (r, at)
}

/// Sends these bytes and reads to the end of the connection.
async fn say(at: SocketAddr, what: &str) -> String {
    let mut s = TcpStream::connect(at).await.unwrap();
    s.write_all(what.as_bytes()).await.unwrap();
    let mut got = Vec::new();
    let _ = s.read_to_end(&mut got).await;
    String::from_utf8_lossy(&got).into_owned()
}

fn post(path: &str, more: &str, body: &str) -> String {
    let n = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{more}content-length: {n}\r\n\r\n{body}")
}

/// Conformance, design 6.4: told from the head, at once, with the body never sent.
#[rstest]
#[case::no_entry(
    "POST /nowhere HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 404",
    "no entry"
)]
#[case::unknown_tenant(
    "POST /v1/notes HTTP/1.1\r\nhost: x\r\nx-tenant: nobody\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 403",
    "unknown tenant"
)]
#[case::too_long(
    "POST /v1/notes HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n",
    "HTTP/1.1 413",
    "limit"
)]
#[case::foreign_arrival(
    "POST /v1/notes?a=1 HTTP/1.1\r\nhost: x\r\nx-tenant: award-club\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 307",
    "location: http://127.0.0.9:8080/v1/notes?a=1"
)]
#[case::malformed("NONSENSE\r\n\r\n", "HTTP/1.1 400", "")]
#[tokio::test]
async fn from_the_head_alone(#[case] job: &str, #[case] line: &str, #[case] says: &str) {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    hears_p9(&r);
    let got = say(at, job).await;
    assert!(got.starts_with(line) && got.contains(says), "{got}");
    assert_eq!(b.runs.load(Ordering::Acquire), 0);
}

fn hears_p9(r: &Router) {
    track::router::lock(&r.heard).insert("p9".into(), r.now());
}

/// Conformance, design 6.2: how often a job reaches a back end, and what its caller is told.
#[rstest]
#[case::whole(&[WHOLE], true, "outcome: done", "done", 1)]
#[case::once_closed(&["", ""], true, "outcome: unknown", "HTTP/1.1 502", 1)]
#[case::once_said_503(&["HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"], true, "outcome: done", "HTTP/1.1 503", 1)]
#[case::repeatable_closed(&["", ""], false, "outcome: unknown", "HTTP/1.1 502", 2)]
#[case::no_back_ends(&[], true, "outcome: bounced", "retry-after: 2", 0)]
#[tokio::test]
async fn runs_and_answers(
    #[case] says: &[&'static str],
    #[case] once: bool,
    #[case] outcome: &str,
    #[case] also: &str,
    #[case] runs: usize,
) {
    let mut backs = Vec::new();
    for s in says {
        backs.push(back(s).await);
    }
    let service = if once { "verdict" } else { "contacts" };
    let (_r, at) = router(service, &backs).await;
    let job = if once { post("/v1/verdicts", "", "{\"station\":\"x\"}") } else { LOOKUP.into() };
    let got = say(at, &job).await;
    assert!(got.contains(outcome) && got.contains(also), "{got}");
    assert_eq!(backs.iter().map(|b| b.runs.load(Ordering::Acquire)).sum::<usize>(), runs);
}

/// A back end that is gone ran nothing: a `once` job goes on to the next one.
#[tokio::test]
async fn once_goes_on_where_nothing_was_sent() {
    let dead = TcpListener::bind((IP, 0)).await.unwrap().local_addr().unwrap();
    let backs = [Back { at: dead, runs: Arc::default() }, back(WHOLE).await];
    let (r, at) = router("verdict", &backs).await;
    for n in 0..8 {
        let got = say(at, &post("/v1/verdicts", "", &format!("{{\"station\":\"{n}\"}}"))).await;
        assert!(got.contains("outcome: done"), "{got}");
    }
    assert_eq!(backs[1].runs.load(Ordering::Acquire), 8);
    let extra = r.numbers.goes.with_label_values(&["extra"]).get();
    assert!(extra <= 3, "{extra}: what failed to connect is shunned");
}

/// A cut answer ends in a broken connection, never in a whole-looking body.
#[tokio::test]
async fn a_cut_body_never_looks_whole() {
    let b = back(CUT).await;
    let (_r, at) = router("verdict", std::slice::from_ref(&b)).await;
    let got = say(at, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    assert!(got.contains("content-length: 9") && got.ends_with("\r\n\r\ndo"), "{got}");
}

/// Design 3.5: without a tenure and without the others in hearing, new work is bounced at once.
#[tokio::test]
async fn a_cut_off_router_says_so() {
    let b = back(WHOLE).await;
    let (r, at) = router("verdict", std::slice::from_ref(&b)).await;
    let stale = Ledger { idx: Index(r.ledger().idx.0 + 1), ..(*r.ledger()).clone() };
    let lapsed = Member::new(settings(), card("p1", "centro-1"), Clock::default());
    lapsed.install(News::Frame(Box::new(stale)), "test");
    lapsed.hold(Epoch(1), Tick(0));
    let alone = Router::new(settings(), lapsed, Clock::default());
    assert!(!r.cut_off() && alone.cut_off());
    hears_p9(&alone);
    assert!(!alone.cut_off(), "itself and the other: a majority of the last known members");
    // A draining one is not ready, and finishes what still reaches it.
    r.draining.store(true, Ordering::Release);
    let ready = say(at, "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await;
    assert!(ready.starts_with("HTTP/1.1 503") && ready.contains("draining"), "{ready}");
    let got = say(at, &post("/v1/verdicts", "", "{\"station\":\"x\"}")).await;
    assert!(got.contains("outcome: done") && got.contains("connection: close"), "{got}");
}
