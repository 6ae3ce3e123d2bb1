//! Reports of a zone reach the routers of another one through one of them, and heartbeats stay within a zone
//! (design 3.5, 9.3).

use crate::{
    fleet::{Fleet, LIST, REPORTED, SAMPLE_MS, SUBSCRIBED, ip, timing},
    test_data::{LIST_MAX_AGE_MS, replica_report, replica_row, zones},
};
use common::{Epoch, NodeId, Tick, runtime::Simulation};
use control_plane::state_machine::singleton;
use data_plane::{
    router::Router,
    serving::{
        replica_report::{ReplicaRow, report_number},
        replica_view::{ReceivedReport, ReportStore},
        report_publication::outgoing_report,
    },
};
use hyper::StatusCode;
use rstest::rstest;
use std::net::IpAddr;

#[test]
fn a_report_crosses_between_zones_once() {
    Simulation::run(5, None, |world| async move {
        let fleet = Fleet::start(world).await;
        for n in 0..REPORTED + SUBSCRIBED {
            assert_eq!(fleet.knows(n), 2, "p{n}");
        }
        let calls = fleet.calls("watch replicas", "s1", "n1", 10_000, true).await;
        // Each answer is a new report.
        let reports = 10_000 / (timing().probe_interval_ms / 2);
        assert!((reports - 1..=reports + 2).contains(&calls), "{calls} calls, {reports} reports");
        for n in REPORTED..REPORTED + SUBSCRIBED {
            let (age, silence) = (fleet.report_age_ms(n).await, fleet.silence_ms(n).await);
            assert!(silence < timing().probe_interval_ms, "p{n} was told nothing for {silence} ms");
            // The list is read at each second look, and what is reported is as old as the list in it.
            assert!(age < 2 * timing().probe_interval_ms, "p{n} has a report of {age} ms");
        }
    });
}

/// The router that passes reports on ends, is cut off, or stands still: the others of its zone have reports again
/// before they are too old.
#[test]
fn a_lost_relay_is_passed_over() {
    for how in ["killed", "cut off from the reported zone", "frozen"] {
        Simulation::run(6, None, |world| async move {
            let fleet = Fleet::start(world).await;
            let state = fleet.routers[REPORTED].router.cluster_state();
            let ranked = singleton::ranked_holders(&state, "relay/n1", Some(&"s1".into()));
            let relay = ranked[0].info.rpc_addr.ip();
            match how {
                "killed" => fleet.world.host(relay).kill(),
                "frozen" => fleet.world.host(relay).freeze(),
                _ => {
                    let reported = (0..REPORTED).map(ip).chain([LIST.0.into()]);
                    fleet.world.partition(reported.flat_map(|other| [(relay, other), (other, relay)]));
                }
            }
            fleet.pass(timing().report_max_age_ms() + 2_000, true).await;
            for n in (REPORTED..REPORTED + SUBSCRIBED).filter(|n| ip(*n) != relay) {
                let age = fleet.report_age_ms(n).await;
                assert!(age < timing().report_max_age_ms(), "{how}: p{n} has a report of {age} ms");
            }
        });
    }
}

/// While leases are renewed no heartbeat leaves its zone; once they are in doubt each member is asked, and heard
/// before the lease ends.
#[test]
fn heartbeats_leave_a_zone_only_in_need() {
    Simulation::run(7, None, |world| async move {
        let fleet = Fleet::start(world).await;
        assert_eq!(fleet.calls("heartbeat", "n1", "s1", 5_000, true).await, 0);
        assert_eq!(fleet.calls("heartbeat", "s1", "n1", 5_000, true).await, 0);
        assert!(fleet.calls("heartbeat", "s1", "s1", 5_000, true).await > 0);
        assert!(!fleet.at(0, |r| r.is_reachable(&"p2".into())).await);
        assert!(fleet.at(0, |r| r.is_reachable(&"p1".into())).await);
        fleet.pass(timing().lease_ms + 100, false).await;
        for n in 0..REPORTED + SUBSCRIBED {
            assert!(!fleet.at(n, |r| r.member.has_lease()).await, "p{n}");
            for other in (0..REPORTED + SUBSCRIBED).filter(|other| *other != n) {
                let heard = move |r: &Router| r.is_reachable(&NodeId::new(format!("p{other}")));
                assert!(fleet.at(n, heard).await, "p{n} has not heard p{other}");
            }
            assert!(!fleet.at(n, Router::cut_off).await, "p{n} takes itself for cut off while all are heard");
        }
    });
}

/// What is cold where the report is made counts as cold no shorter anywhere, whatever the report and the questions
/// for it take on their way, through a relay too. Seen to fail: it was counted from when it was asked for.
#[rstest]
fn a_warm_up_never_ends_early_on_the_way(
    #[values(1, 60, 250)] way_ms: u64,
    #[values(false, true)] relay: bool,
) {
    // Each hop: the question travels, the answer travels; both sides count by a clock of their own.
    const LEFT_MS: u64 = 2_000;
    let made = 10_000;
    let mut report = replica_report("n1", 1, vec![ReplicaRow { cold_left_ms: LEFT_MS, ..replica_row(1, 0) }]);
    let mut arrived = made;
    for hop in 0..=u64::from(relay) {
        // The report lies with its sender for a while before it is asked for.
        let (asked, sent) = (arrived + 30 - 10, arrived + 30 + way_ms);
        if hop > 0 {
            let at = report.fresh_at(Tick(asked - 30), Tick(arrived));
            let held = ReceivedReport { report: report.clone(), fresh_at: at, received_at: Tick(arrived) };
            report = outgoing_report(&held, Tick(sent), way_ms);
        } else {
            let held =
                ReceivedReport { report: report.clone(), fresh_at: Tick(made), received_at: Tick(made) };
            report = outgoing_report(&held, Tick(sent), way_ms);
        }
        arrived = sent + way_ms;
    }
    let mut store = ReportStore::default();
    let at = report.fresh_at(Tick(made + 20), Tick(arrived));
    assert!(store.accept_received(ReceivedReport { report, fresh_at: at, received_at: Tick(arrived) }));
    let cold_until =
        store.build_view(&zones(), 3_000, LIST_MAX_AGE_MS).replicas_of(&"chat".into())[0].cold_until;
    assert!(cold_until >= Tick(made + LEFT_MS), "{cold_until:?} of {}", made + LEFT_MS);
    let hops = 1 + u64::from(relay);
    assert!(cold_until <= Tick(made + LEFT_MS + 2 * hops * way_ms), "{cold_until:?}");
}

/// A replica is listed as draining just when a publisher or a relay is lost: whoever runs uses it no longer than the
/// drain bound allows, less the part that is left for a request's way. Seen to fail: a router went by the report that it
/// held for as long as no other came.
#[rstest]
fn nothing_is_sent_by_an_old_list(
    #[values("killed", "frozen", "cut off", "not heard", "not reached")] how: &str,
    #[values("the publisher", "the relay", "both", "all but one of the zone")] whom: &str,
    #[values(3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |world| async move {
        let fleet = Fleet::start(world).await;
        let (publisher, relay) = fleet.publisher_and_relay();
        let lost = match whom {
            "the publisher" => vec![publisher],
            "the relay" => vec![relay],
            "both" => vec![publisher, relay],
            _ => {
                let last = (REPORTED..REPORTED + SUBSCRIBED).rfind(|n| *n != relay).expect("several");
                (REPORTED..REPORTED + SUBSCRIBED).filter(|n| *n != last).collect()
            }
        };
        let others: Vec<usize> = (0..REPORTED + SUBSCRIBED).filter(|n| !lost.contains(n)).collect();
        for n in &others {
            assert!(fleet.may_use(*n).await, "p{n}");
        }
        for lost in lost.iter().copied() {
            let from_it = others.iter().map(|other| (ip(lost), ip(*other)));
            let to_it = others.iter().map(|other| (ip(*other), ip(lost)));
            match how {
                "killed" => fleet.world.host(ip(lost)).kill(),
                "frozen" => fleet.world.host(ip(lost)).freeze(),
                "cut off" => fleet.world.partition(from_it.chain(to_it)),
                "not heard" => fleet.world.partition(from_it),
                _ => fleet.world.partition(to_it),
            }
        }
        fleet.lists(Some("r1 draining\nr2 ready"));
        let bound_ms = fleet.routers[0].list_max_age_ms();
        let users = fleet.users_after(bound_ms + SAMPLE_MS, others.iter().copied()).await;
        assert!(users.is_empty(), "r1 is used by (router, after so many ms) {users:?}");
        for n in others {
            assert!(fleet.silence_ms(n).await < bound_ms, "p{n} is told nothing any more");
        }
    });
}

/// Routers that alone can't reach the platform go on with no list of their zone: others reach it.
#[rstest]
fn a_publisher_cut_off_from_the_platform_alone_renews_no_list(
    #[values("silent", "one way", "the publisher alone")] how: &str,
    #[values(3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |world| async move {
        let fleet = Fleet::start(world).await;
        let (publisher, _) = fleet.publisher_and_relay();
        let list = IpAddr::from(LIST.0);
        let lost = (0..REPORTED).filter(|n| how != "the publisher alone" || *n == publisher).map(ip);
        let both_ways = how != "one way";
        fleet.world.partition(lost.flat_map(|n| {
            let back = if both_ways { Some((n, list)) } else { None };
            [(list, n)].into_iter().chain(back)
        }));
        fleet.lists(Some("r1 draining\nr2 ready"));
        let bound_ms = fleet.routers[0].list_max_age_ms();
        let users = fleet.users_after(bound_ms + SAMPLE_MS, 0..REPORTED + SUBSCRIBED).await;
        assert!(users.is_empty(), "r1 is used by (router, after so many ms) {users:?}");
        for n in 0..REPORTED + SUBSCRIBED {
            assert!(fleet.uses(n, "r2").await, "p{n} goes by no list, though the platform can be read");
        }
    });
}

/// A reading of several pages lacks a replica that moved between them: what is known of it is as old as the reading
/// before, whatever becomes of the platform then.
#[rstest]
fn a_replica_that_moved_between_pages_is_sent_to_by_no_old_list(
    #[values("over the rate", "out of service", "answers")] then: &str,
    #[values(3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |world| async move {
        let fleet = Fleet::start(world).await;
        fleet.lists_pages(&[("first", "r2 ready\nnext b"), ("b", "r1 ready")]);
        fleet.pass(5_000, true).await;
        fleet.until_read().await;
        // It drains, and moves to the first page while the second is read.
        let began = fleet.world.ms();
        fleet.lists_pages(&[("first", "r2 ready\nnext b"), ("b", "r3 ready")]);
        fleet.until_read().await;
        match then {
            "over the rate" => fleet.refuses(StatusCode::TOO_MANY_REQUESTS),
            "out of service" => fleet.refuses(StatusCode::SERVICE_UNAVAILABLE),
            _ => fleet.lists_pages(&[("first", "r1 draining\nr2 ready\nnext b"), ("b", "r3 ready")]),
        }
        let (bound_ms, passed_ms) = (fleet.routers[0].list_max_age_ms(), fleet.world.ms() - began);
        // The clock of the bound stands still while the platform is out of service.
        let left_ms = if then == "out of service" { 0 } else { bound_ms.saturating_sub(passed_ms) };
        if then == "out of service" {
            fleet.pass(10_000, true).await;
            fleet.lists_pages(&[("first", "r1 draining\nr2 ready\nnext b"), ("b", "r3 ready")]);
            fleet.pass(bound_ms.saturating_sub(passed_ms), true).await;
        }
        let users = fleet.users_after(left_ms + SAMPLE_MS, 0..REPORTED + SUBSCRIBED).await;
        assert!(users.is_empty(), "r1 is used by (router, after so many ms) {users:?}");
    });
}

/// A publisher that starts anew is followed again.
#[test]
fn a_restarted_publisher_is_followed() {
    Simulation::run(8, None, |world| async move {
        let mut fleet = Fleet::start(world).await;
        fleet.pass(20_000, true).await;
        let (publishing, _) = fleet.publisher_and_relay();
        fleet.world.host(ip(publishing)).kill();
        fleet.restart(publishing).await;
        fleet.pass(2_500, true).await;
        for n in REPORTED..REPORTED + SUBSCRIBED {
            let silence = fleet.silence_ms(n).await;
            assert!(silence < timing().probe_interval_ms, "p{n} was told nothing for {silence} ms");
        }
    });
}

/// Its numbers go on above what it published before: seen to fail, whoever had not missed it meanwhile took its new
/// reports for older ones until it had published as many again.
#[test]
fn a_restarted_publisher_counts_on() {
    let mut store = ReportStore::default();
    let mut report = |epoch, count, at| {
        let number = report_number(Epoch(epoch), count);
        store.accept(replica_report("n1", number, vec![replica_row(1, 0)]), Tick(at))
    };
    assert!(report(4, 90, 1_000));
    assert!(!report(4, 89, 2_000));
    assert!(report(5, 1, 2_000));
    assert!(!report(4, 91, 3_000));
    assert!(report(5, 2, 3_000));
}

/// While the platform is out of service its last list is gone by: a publisher that can't read it is replaced by one
/// that can't either, and that one takes the list of the former over.
#[test]
fn a_platform_out_of_service_stops_nothing_for_long() {
    Simulation::run(9, None, |world| async move {
        let fleet = Fleet::start(world).await;
        fleet.lists(None);
        fleet.pass(12_000, true).await;
        for n in 0..REPORTED + SUBSCRIBED {
            assert!(fleet.may_use(n).await, "p{n} uses nothing");
        }
        fleet.lists(Some("r1 draining\nr2 ready"));
        let bound_ms = fleet.routers[0].list_max_age_ms();
        let users = fleet.users_after(bound_ms + SAMPLE_MS, 0..REPORTED + SUBSCRIBED).await;
        assert!(users.is_empty(), "r1 is used by (router, after so many ms) {users:?}");
    });
}
