//! The platform's list as a scripted server tells it, and what a router makes of it (design 9.3).

use crate::{
    router_fixture::{RouterFixture, Setup, run_scenario},
    test_data::{replica_row, route, zones},
};
use common::{
    Zone,
    http::{self, text},
    runtime::{Simulation, bind, spawn_at},
};
use configuration::RouteKind;
use data_plane::serving::{ListPage, ListedReplica};
use hyper::StatusCode;
use rstest::rstest;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

const LIST: ([u8; 4], u16) = ([10, 0, 0, 1], 9);
/// Longest time from a change in the list until a router goes by it: two looks and a page.
const HEARD_MS: u64 = 1_500;

/// How long a replica that the list calls cold stays so.
const COLD_MS: u64 = 2_000;

/// A page is written as lines: `ID draining|ready|cold`, and last `next TOKEN` where there is one.
pub fn read(body: &[u8]) -> Option<ListPage> {
    let mut out = ListPage::default();
    for line in std::str::from_utf8(body).ok()?.lines() {
        match line.split_once(' ')? {
            ("next", token) => out.next = Some(token.to_string()),
            (id, "cold") => out.rows.push(ListedReplica { cold_left_ms: COLD_MS, ..listed(id, false) }),
            (id, state) => out.rows.push(listed(id, state != "ready")),
        }
    }
    Some(out)
}

pub fn path(zone: &Zone, page: Option<&str>) -> String {
    format!("/{zone}/{}", page.unwrap_or("first"))
}

pub fn listed(id: &str, draining: bool) -> ListedReplica {
    let r = replica_row(id.trim_start_matches('r').parse().expect("a number"), 0);
    ListedReplica {
        id: r.id,
        service: r.service,
        addr: r.addr,
        zone: "n1".into(),
        slots: r.slots,
        draining,
        cold_left_ms: 0,
        time_left_ms: None,
    }
}

/// What the list says of zone `n1`, by page; other zones have none.
#[derive(Clone, Default)]
struct Script {
    pages: BTreeMap<&'static str, (u16, &'static str)>,
    /// How long an answer takes.
    slow_ms: u64,
    /// Calls that are answered in a second; more get 429.
    per_s: Option<usize>,
}

#[derive(Clone, Default)]
struct List {
    script: Arc<Mutex<Script>>,
    calls: Arc<Mutex<Vec<u64>>>,
    refused: Arc<Mutex<usize>>,
}

impl List {
    fn says(&self, pages: &[(&'static str, u16, &'static str)]) {
        self.change(|s| s.pages = pages.iter().map(|(token, code, page)| (*token, (*code, *page))).collect());
    }

    fn change(&self, f: impl FnOnce(&mut Script)) {
        f(&mut self.script.lock().expect("script"));
    }

    fn answer(&self, path: &str, now_ms: u64) -> (u64, u16, &'static str) {
        let script = self.script.lock().expect("script").clone();
        let mut calls = self.calls.lock().expect("calls");
        calls.push(now_ms);
        let lately = calls.iter().filter(|at| **at + 1_000 > now_ms).count();
        if script.per_s.is_some_and(|most| lately > most) {
            *self.refused.lock().expect("refused") += 1;
            return (script.slow_ms, 429, "");
        }
        match path.strip_prefix("/n1/") {
            Some(token) => match script.pages.get(token) {
                Some((code, page)) => (script.slow_ms, *code, *page),
                None => (script.slow_ms, 400, "no such token"),
            },
            None => (script.slow_ms, 200, ""),
        }
    }
}

/// Runs a scene in which the router reads the list; three replicas are there.
fn watched<F: Future<Output = ()>>(list: List, f: impl FnOnce(Arc<RouterFixture>, List) -> F) {
    run_scenario(1, Setup::default(), vec![route("read", RouteKind::ReadOnly)], &[], |stage| async move {
        let (end, ended) = watch::channel(false);
        let (me, at) = (list.clone(), SocketAddr::from(LIST));
        let listener = bind(at).await.expect("the list's address");
        let world: Arc<Simulation> = common::runtime::simulation().expect("a world");
        spawn_at(at.ip(), async move {
            let handler = move |_, req: hyper::Request<hyper::body::Incoming>| {
                let (ms, code, page) = me.answer(req.uri().path(), world.ms());
                async move {
                    sleep(Duration::from_millis(ms)).await;
                    Ok(text(StatusCode::from_u16(code).expect("a status"), page))
                }
            };
            http::serve(listener, Arc::default(), ended, handler).await;
            drop(end);
        });
        stage.watch_replicas();
        f(stage, list).await;
    });
}

async fn until_heard() {
    sleep(Duration::from_millis(HEARD_MS)).await;
}

fn ids(stage: &RouterFixture) -> Vec<String> {
    stage.known_replicas().into_keys().collect()
}

#[rstest]
#[case::one_page(&[("first", 200, "r1 ready\nr2 ready\n")])]
#[case::two_pages(&[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "r2 ready\n")])]
#[case::an_empty_page_between(
    &[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "next c\n"), ("c", 200, "r2 ready\n")]
)]
#[case::an_empty_page_first(&[("first", 200, "next b\n"), ("b", 200, "r1 ready\nr2 ready\n")])]
#[case::on_two_pages(&[("first", 200, "r1 ready\nr2 ready\nnext b\n"), ("b", 200, "r2 ready\n")])]
fn all_pages_count(#[case] pages: &'static [(&'static str, u16, &'static str)]) {
    watched(List::default(), |stage, list| async move {
        list.says(pages);
        until_heard().await;
        assert_eq!(ids(&stage), ["r1", "r2"]);
    });
}

/// A reading that fails midway changes nothing; the next whole one counts.
#[rstest]
#[case::a_page_fails(500)]
#[case::a_token_expires(400)]
#[case::over_the_rate(429)]
fn a_reading_counts_whole_or_not_at_all(#[case] code: u16) {
    watched(List::default(), |stage, list| async move {
        list.says(&[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "r2 ready\n")]);
        until_heard().await;
        list.says(&[("first", 200, "r1 draining\nnext b\n"), ("b", code, "r3 ready\n")]);
        sleep(Duration::from_millis(10_000)).await;
        assert_eq!(stage.known_replicas(), [("r1".to_string(), false), ("r2".to_string(), false)].into());
        list.says(&[("first", 200, "r1 draining\nnext b\n"), ("b", 200, "r3 ready\n")]);
        sleep(Duration::from_millis(4 * HEARD_MS)).await;
        assert_eq!(stage.known_replicas(), [("r1".to_string(), true), ("r3".to_string(), false)].into());
    });
}

/// What leaves is known as leaving in time, on whichever page it stands; it stays known while it is listed.
#[test]
fn a_replica_that_leaves_is_known_to() {
    watched(List::default(), |stage, list| async move {
        list.says(&[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "r2 ready\n")]);
        until_heard().await;
        list.says(&[("first", 200, "r1 ready\nr2 draining\nnext b\n"), ("b", 200, "r2 ready\n")]);
        until_heard().await;
        assert!(stage.known_replicas()["r2"]);
        list.says(&[("first", 200, "r1 ready\nr2 draining\n")]);
        sleep(Duration::from_secs(20)).await;
        assert!(stage.known_replicas()["r2"], "it drains for long");
        list.says(&[("first", 200, "r1 ready\n")]);
        until_heard().await;
        assert_eq!(ids(&stage), ["r1"]);
    });
}

/// A list that is silent, slow or broken holds up no probe: a replica that has ended is found as soon as
/// with a list that answers, and what was listed stays known.
#[rstest]
#[case::answers(0, 200)]
#[case::slow(900, 200)]
#[case::silent(3_600_000, 200)]
#[case::broken(0, 500)]
fn a_list_in_trouble_holds_up_no_probe(#[case] slow_ms: u64, #[case] code: u16) {
    watched(List::default(), |stage, list| async move {
        list.says(&[("first", 200, "r1 ready\nr2 ready\nr9 ready\n")]);
        until_heard().await;
        assert!(stage.is_healthy("r1") && !stage.is_healthy("r9"), "nobody listens at r9");
        list.change(|s| s.slow_ms = slow_ms);
        list.says(&[("first", code, "r1 ready\nr2 ready\nr9 ready\n")]);
        sleep(Duration::from_millis(5_000)).await;
        let before = stage.request_count("r1");
        sleep(Duration::from_millis(10_000)).await;
        let probes = stage.request_count("r1") - before;
        assert!(probes >= 9, "{probes} probes in 10 s, where one a second is due");
        assert_eq!(ids(&stage), ["r1", "r2", "r9"]);
    });
}

/// Lists of many pages stay within the rate that is told, and one that is over it for a while is read
/// again with pauses that grow.
#[test]
fn calls_stay_within_the_rate() {
    watched(List::default(), |stage, list| async move {
        list.says(&[
            ("first", 200, "r1 ready\nnext b\n"),
            ("b", 200, "next c\n"),
            ("c", 200, "next d\n"),
            ("d", 200, "next e\n"),
            ("e", 200, "next f\n"),
            ("f", 200, "r2 ready\n"),
        ]);
        // Ten a second are told to the router.
        list.change(|s| s.per_s = Some(10));
        sleep(Duration::from_secs(60)).await;
        assert_eq!(*list.refused.lock().expect("refused"), 0);
        assert_eq!(ids(&stage), ["r1", "r2"]);
        list.change(|s| s.per_s = Some(0));
        let before = list.calls.lock().expect("calls").len();
        sleep(Duration::from_secs(30)).await;
        let calls = list.calls.lock().expect("calls").len() - before;
        assert!(calls <= 3 * 30 / zones().len(), "{calls} calls in 30 s of refusals");
        assert_eq!(ids(&stage), ["r1", "r2"]);
    });
}

/// What the list calls cold counts as cold for no less than it says, however long its answer takes: all
/// routers together would flood a replica that they take for warm too soon.
#[rstest]
fn what_is_cold_is_never_taken_for_warm_too_soon(#[values(0, 50, 200)] slow_ms: u64) {
    watched(List::default(), |stage, list| async move {
        list.says(&[("first", 200, "r1 ready\nr2 cold\n")]);
        list.change(|script| script.slow_ms = slow_ms);
        let asked = || list.calls.lock().expect("calls").last().copied();
        while asked().is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        let said_ms = asked().expect("a call");
        // Later calls fail, so that what is known is of the first one of each zone.
        sleep(Duration::from_millis(slow_ms + 20)).await;
        list.says(&[("first", 500, "")]);
        until_heard().await;
        let (now_ms, left_ms) = stage.cold_time_left("r2").await;
        assert!(now_ms + left_ms >= said_ms + COLD_MS, "{now_ms} and {left_ms} left, said at {said_ms}");
    });
}
