//! How a router reads the platform's list of replicas, served here by a scripted server (design 9.3).

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
/// Longest time from a change of the list until the router acts on it: two rounds of reads and a page.
const LIST_DELAY_MS: u64 = 1_500;

/// How long a replica that the list calls cold stays so.
const COLD_MS: u64 = 2_000;

/// Parses a page, written as lines `ID draining|ready|cold` and, if another page follows, a last line `next TOKEN`.
pub fn read(body: &[u8]) -> Option<ListPage> {
    let mut page = ListPage::default();
    for line in std::str::from_utf8(body).ok()?.lines() {
        match line.split_once(' ')? {
            ("next", token) => page.next = Some(token.to_string()),
            (id, "cold") => page.rows.push(ListedReplica { cold_left_ms: COLD_MS, ..listed(id, false) }),
            (id, state) => page.rows.push(listed(id, state != "ready")),
        }
    }
    Some(page)
}

/// Path of one page of a zone's list.
pub fn path(zone: &Zone, page: Option<&str>) -> String {
    format!("/{zone}/{}", page.unwrap_or("first"))
}

/// A list entry of replica `id` in zone `n1`.
pub fn listed(id: &str, draining: bool) -> ListedReplica {
    let row = replica_row(id.trim_start_matches('r').parse().expect("a number"), 0);
    ListedReplica {
        id: row.id,
        service: row.service,
        addr: row.addr,
        zone: "n1".into(),
        slots: row.slots,
        draining,
        cold_left_ms: 0,
        time_left_ms: None,
    }
}

/// What the server answers.
#[derive(Clone, Default)]
struct Script {
    /// Status and page of zone `n1` by page token; other zones' lists are empty.
    pages: BTreeMap<&'static str, (u16, &'static str)>,
    /// How long an answer takes.
    slow_ms: u64,
    /// Calls that are answered per second; more get status 429.
    max_calls_per_s: Option<usize>,
}

/// The scripted server, with the calls that it received.
#[derive(Clone, Default)]
struct List {
    script: Arc<Mutex<Script>>,
    /// When each call arrived, in milliseconds.
    calls: Arc<Mutex<Vec<u64>>>,
    /// Calls that were refused for their rate.
    refused: Arc<Mutex<usize>>,
}

impl List {
    fn set_pages(&self, pages: &[(&'static str, u16, &'static str)]) {
        self.change(|script| {
            script.pages = pages.iter().map(|(token, code, page)| (*token, (*code, *page))).collect();
        });
    }

    fn change(&self, edit: impl FnOnce(&mut Script)) {
        edit(&mut self.script.lock().expect("script"));
    }

    fn answer(&self, path: &str, now_ms: u64) -> (u64, u16, &'static str) {
        let script = self.script.lock().expect("script").clone();
        let mut calls = self.calls.lock().expect("calls");
        calls.push(now_ms);
        let recent_calls = calls.iter().filter(|at| **at + 1_000 > now_ms).count();
        if script.max_calls_per_s.is_some_and(|max| recent_calls > max) {
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

/// Runs a scenario in which the router reads the list, with three replicas.
fn run_with_list<F: Future<Output = ()>>(list: List, scenario: impl FnOnce(Arc<RouterFixture>, List) -> F) {
    run_scenario(1, Setup::default(), vec![route("read", RouteKind::ReadOnly)], &[], |router| async move {
        let (end, ended) = watch::channel(false);
        let (server, address) = (list.clone(), SocketAddr::from(LIST));
        let listener = bind(address).await.expect("the list's address");
        let world: Arc<Simulation> = common::runtime::simulation().expect("a world");
        spawn_at(address.ip(), async move {
            let handler = move |_, request: hyper::Request<http::RequestBody>| {
                let (delay_ms, code, page) = server.answer(request.uri().path(), world.elapsed_ms());
                async move {
                    sleep(Duration::from_millis(delay_ms)).await;
                    Ok(text(StatusCode::from_u16(code).expect("a status"), page))
                }
            };
            http::serve(listener, Arc::default(), Arc::default(), ended, handler).await;
            drop(end);
        });
        router.watch_replicas();
        scenario(router, list).await;
    });
}

async fn wait_for_list() {
    sleep(Duration::from_millis(LIST_DELAY_MS)).await;
}

fn ids(router: &RouterFixture) -> Vec<String> {
    router.known_replicas().into_keys().collect()
}

#[rstest]
#[case::one_page(&[("first", 200, "r1 ready\nr2 ready\n")])]
#[case::two_pages(&[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "r2 ready\n")])]
#[case::an_empty_page_between(
    &[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "next c\n"), ("c", 200, "r2 ready\n")]
)]
#[case::an_empty_page_first(&[("first", 200, "next b\n"), ("b", 200, "r1 ready\nr2 ready\n")])]
#[case::on_two_pages(&[("first", 200, "r1 ready\nr2 ready\nnext b\n"), ("b", 200, "r2 ready\n")])]
fn replicas_of_all_pages_are_known(#[case] pages: &'static [(&'static str, u16, &'static str)]) {
    run_with_list(List::default(), |router, list| async move {
        list.set_pages(pages);
        wait_for_list().await;
        assert_eq!(ids(&router), ["r1", "r2"]);
    });
}

/// A read that fails midway changes nothing; the next complete one does.
#[rstest]
#[case::a_page_fails(500)]
#[case::a_token_expires(400)]
#[case::over_the_rate(429)]
fn an_incomplete_read_changes_nothing(#[case] code: u16) {
    run_with_list(List::default(), |router, list| async move {
        list.set_pages(&[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "r2 ready\n")]);
        wait_for_list().await;
        list.set_pages(&[("first", 200, "r1 draining\nnext b\n"), ("b", code, "r3 ready\n")]);
        sleep(Duration::from_millis(10_000)).await;
        assert_eq!(router.known_replicas(), [("r1".to_string(), false), ("r2".to_string(), false)].into());
        list.set_pages(&[("first", 200, "r1 draining\nnext b\n"), ("b", 200, "r3 ready\n")]);
        sleep(Duration::from_millis(4 * LIST_DELAY_MS)).await;
        assert_eq!(router.known_replicas(), [("r1".to_string(), true), ("r3".to_string(), false)].into());
    });
}

/// A leaving replica is recognized in time whichever page it is on, and stays known while it is listed.
#[test]
fn a_leaving_replica_is_recognized() {
    run_with_list(List::default(), |router, list| async move {
        list.set_pages(&[("first", 200, "r1 ready\nnext b\n"), ("b", 200, "r2 ready\n")]);
        wait_for_list().await;
        list.set_pages(&[("first", 200, "r1 ready\nr2 draining\nnext b\n"), ("b", 200, "r2 ready\n")]);
        wait_for_list().await;
        assert!(router.known_replicas()["r2"]);
        list.set_pages(&[("first", 200, "r1 ready\nr2 draining\n")]);
        sleep(Duration::from_secs(20)).await;
        assert!(router.known_replicas()["r2"], "it still drains");
        list.set_pages(&[("first", 200, "r1 ready\n")]);
        wait_for_list().await;
        assert_eq!(ids(&router), ["r1"]);
    });
}

/// A list that is silent, slow or broken delays no probe: a replica that has ended is found as soon as with a working
/// list, and listed replicas stay known.
#[rstest]
#[case::answers(0, 200)]
#[case::slow(900, 200)]
#[case::silent(3_600_000, 200)]
#[case::broken(0, 500)]
fn a_failing_list_delays_no_probe(#[case] slow_ms: u64, #[case] code: u16) {
    run_with_list(List::default(), |router, list| async move {
        list.set_pages(&[("first", 200, "r1 ready\nr2 ready\nr9 ready\n")]);
        wait_for_list().await;
        assert!(router.is_healthy("r1") && !router.is_healthy("r9"), "nobody listens at r9");
        list.change(|script| script.slow_ms = slow_ms);
        list.set_pages(&[("first", code, "r1 ready\nr2 ready\nr9 ready\n")]);
        sleep(Duration::from_millis(5_000)).await;
        let before = router.request_count("r1");
        sleep(Duration::from_millis(10_000)).await;
        let probes = router.request_count("r1") - before;
        assert!(probes >= 9, "{probes} probes in 10 s, expected one per second");
        assert_eq!(ids(&router), ["r1", "r2", "r9"]);
    });
}

/// Reads of lists with many pages stay within the configured rate. While the list refuses calls for their rate, it is
/// read with growing pauses.
#[test]
fn calls_stay_within_the_rate() {
    run_with_list(List::default(), |router, list| async move {
        list.set_pages(&[
            ("first", 200, "r1 ready\nnext b\n"),
            ("b", 200, "next c\n"),
            ("c", 200, "next d\n"),
            ("d", 200, "next e\n"),
            ("e", 200, "next f\n"),
            ("f", 200, "r2 ready\n"),
        ]);
        // The router is configured with ten calls per second.
        list.change(|script| script.max_calls_per_s = Some(10));
        sleep(Duration::from_secs(60)).await;
        assert_eq!(*list.refused.lock().expect("refused"), 0);
        assert_eq!(ids(&router), ["r1", "r2"]);
        list.change(|script| script.max_calls_per_s = Some(0));
        let before = list.calls.lock().expect("calls").len();
        sleep(Duration::from_secs(30)).await;
        let calls = list.calls.lock().expect("calls").len() - before;
        assert!(calls <= 3 * 30 / zones().len(), "{calls} calls in 30 s of refusals");
        assert_eq!(ids(&router), ["r1", "r2"]);
    });
}

/// A replica that the list calls cold counts as cold for at least as long as listed, however long the answer takes.
/// Otherwise all routers would flood a replica that they take for warm too early.
#[rstest]
fn a_cold_replica_is_not_taken_for_warm_too_early(#[values(0, 50, 200)] slow_ms: u64) {
    run_with_list(List::default(), |router, list| async move {
        list.set_pages(&[("first", 200, "r1 ready\nr2 cold\n")]);
        list.change(|script| script.slow_ms = slow_ms);
        let last_call = || list.calls.lock().expect("calls").last().copied();
        while last_call().is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        let listed_ms = last_call().expect("a call");
        // Later calls fail, so that what is known comes from the first call for each zone.
        sleep(Duration::from_millis(slow_ms + 20)).await;
        list.set_pages(&[("first", 500, "")]);
        wait_for_list().await;
        let (now_ms, left_ms) = router.cold_time_left("r2").await;
        assert!(
            now_ms + left_ms >= listed_ms + COLD_MS,
            "{now_ms} and {left_ms} left, listed at {listed_ms}"
        );
    });
}
