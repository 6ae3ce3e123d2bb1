//! A zone's reports reach the routers of another zone through one of them, and heartbeats stay within a zone (design
//! 3.5, 9.3).

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
            assert_eq!(fleet.known_replicas(n), 2, "p{n}");
        }
        let calls = fleet.count_calls("watch replicas", "s1", "n1", 10_000, true).await;
        // Each answer is a new report.
        let reports = 10_000 / (timing().probe_interval_ms / 2);
        assert!((reports - 1..=reports + 2).contains(&calls), "{calls} calls, {reports} reports");
        for n in REPORTED..REPORTED + SUBSCRIBED {
            let (age, silence) = (fleet.report_age_ms(n).await, fleet.ms_since_report(n).await);
            assert!(silence < timing().probe_interval_ms, "p{n} received nothing for {silence} ms");
            // The list is read in every second round of probes, and a report is as old as the list in it.
            assert!(age < 2 * timing().probe_interval_ms, "p{n} has a report of {age} ms");
        }
    });
}

/// If the relaying router is killed, cut off or frozen, the other routers of its zone receive reports again before
/// those they hold are too old.
#[test]
fn a_lost_relay_is_replaced() {
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
            fleet.advance(timing().report_max_age_ms() + 2_000, true).await;
            for n in (REPORTED..REPORTED + SUBSCRIBED).filter(|n| ip(*n) != relay) {
                let age = fleet.report_age_ms(n).await;
                assert!(age < timing().report_max_age_ms(), "{how}: p{n} has a report of {age} ms");
            }
        });
    }
}

/// While leases are renewed no heartbeat leaves its zone. Once leases are in doubt every member is asked, and answers
/// before the lease ends.
#[test]
fn heartbeats_leave_a_zone_only_when_leases_are_in_doubt() {
    Simulation::run(7, None, |world| async move {
        let fleet = Fleet::start(world).await;
        assert_eq!(fleet.count_calls("heartbeat", "n1", "s1", 5_000, true).await, 0);
        assert_eq!(fleet.count_calls("heartbeat", "s1", "n1", 5_000, true).await, 0);
        assert!(fleet.count_calls("heartbeat", "s1", "s1", 5_000, true).await > 0);
        assert!(!fleet.query(0, |r| r.is_reachable(&"p2".into())).await);
        assert!(fleet.query(0, |r| r.is_reachable(&"p1".into())).await);
        fleet.advance(timing().lease_ms + 100, false).await;
        for n in 0..REPORTED + SUBSCRIBED {
            assert!(!fleet.query(n, |r| r.member.has_lease()).await, "p{n}");
            for other in (0..REPORTED + SUBSCRIBED).filter(|other| *other != n) {
                let is_reachable = move |r: &Router| r.is_reachable(&NodeId::new(format!("p{other}")));
                assert!(fleet.query(n, is_reachable).await, "p{n} has no answer from p{other}");
            }
            assert!(
                !fleet.query(n, Router::cut_off).await,
                "p{n} considers itself cut off although all answer"
            );
        }
    });
}

/// A replica that is cold for the sender of a report counts as cold for at least as long at every receiver, however
/// long reports and requests travel, also through a relay. Guards against counting the warm-up from when the report
/// was requested.
#[rstest]
fn a_warm_up_never_ends_early_at_a_receiver(
    #[values(1, 60, 250)] way_ms: u64,
    #[values(false, true)] relay: bool,
) {
    // In each hop the request travels, then the answer; both sides use their own clocks.
    const LEFT_MS: u64 = 2_000;
    let made_at = 10_000;
    let mut report = replica_report("n1", 1, vec![ReplicaRow { cold_left_ms: LEFT_MS, ..replica_row(1, 0) }]);
    let mut arrived = made_at;
    for hop in 0..=u64::from(relay) {
        // The sender holds the report for a while before it is requested.
        let (requested, sent) = (arrived + 30 - 10, arrived + 30 + way_ms);
        if hop > 0 {
            let at = report.fresh_at(Tick(requested - 30), Tick(arrived));
            let held = ReceivedReport { report: report.clone(), fresh_at: at, received_at: Tick(arrived) };
            report = outgoing_report(&held, Tick(sent), way_ms);
        } else {
            let held = ReceivedReport {
                report: report.clone(),
                fresh_at: Tick(made_at),
                received_at: Tick(made_at),
            };
            report = outgoing_report(&held, Tick(sent), way_ms);
        }
        arrived = sent + way_ms;
    }
    let mut store = ReportStore::default();
    let at = report.fresh_at(Tick(made_at + 20), Tick(arrived));
    assert!(store.accept_received(ReceivedReport { report, fresh_at: at, received_at: Tick(arrived) }));
    let cold_until =
        store.build_view(&zones(), 3_000, LIST_MAX_AGE_MS).replicas_of(&"chat".into())[0].cold_until;
    assert!(cold_until >= Tick(made_at + LEFT_MS), "{cold_until:?} of {}", made_at + LEFT_MS);
    let hops = 1 + u64::from(relay);
    assert!(cold_until <= Tick(made_at + LEFT_MS + 2 * hops * way_ms), "{cold_until:?}");
}

/// A replica becomes listed as draining just when a publisher or a relay is lost. No remaining router uses it for
/// longer than the drain bound allows, less the share for a request's travel time. Guards against a router that uses
/// the report it holds for as long as no other arrives.
#[rstest]
fn an_old_list_is_not_used(
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
            assert!(fleet.uses_r1(*n).await, "p{n}");
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
        fleet.set_list(Some("r1 draining\nr2 ready"));
        let bound_ms = fleet.routers[0].list_max_age_ms();
        let users = fleet.users_after(bound_ms + SAMPLE_MS, others.iter().copied()).await;
        assert!(users.is_empty(), "r1 is used by (router, after ms): {users:?}");
        for n in others {
            assert!(fleet.ms_since_report(n).await < bound_ms, "p{n} receives no reports any more");
        }
    });
}

/// If only some routers can't reach the platform they don't go on with an old list of their zone: other routers can
/// read it.
#[rstest]
fn a_publisher_that_alone_is_cut_off_from_the_platform_keeps_no_old_list(
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
            let reverse = if both_ways { Some((n, list)) } else { None };
            [(list, n)].into_iter().chain(reverse)
        }));
        fleet.set_list(Some("r1 draining\nr2 ready"));
        let bound_ms = fleet.routers[0].list_max_age_ms();
        let users = fleet.users_after(bound_ms + SAMPLE_MS, 0..REPORTED + SUBSCRIBED).await;
        assert!(users.is_empty(), "r1 is used by (router, after ms): {users:?}");
        for n in 0..REPORTED + SUBSCRIBED {
            assert!(fleet.uses(n, "r2").await, "p{n} uses no list, though the platform can be read");
        }
    });
}

/// A read of several pages lacks a replica that moved between them: what is known of it is as old as the read before,
/// whatever the platform answers afterwards.
#[rstest]
fn a_replica_that_moved_between_pages_is_not_used_by_an_old_list(
    #[values("over the rate", "out of service", "answers")] then: &str,
    #[values(3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |world| async move {
        let fleet = Fleet::start(world).await;
        fleet.set_list_pages(&[("first", "r2 ready\nnext b"), ("b", "r1 ready")]);
        fleet.advance(5_000, true).await;
        fleet.wait_for_list_read().await;
        // It drains, and moves to the first page while the second is read.
        let began = fleet.world.elapsed_ms();
        fleet.set_list_pages(&[("first", "r2 ready\nnext b"), ("b", "r3 ready")]);
        fleet.wait_for_list_read().await;
        match then {
            "over the rate" => fleet.set_list_status(StatusCode::TOO_MANY_REQUESTS),
            "out of service" => fleet.set_list_status(StatusCode::SERVICE_UNAVAILABLE),
            _ => fleet.set_list_pages(&[("first", "r1 draining\nr2 ready\nnext b"), ("b", "r3 ready")]),
        }
        let (bound_ms, passed_ms) = (fleet.routers[0].list_max_age_ms(), fleet.world.elapsed_ms() - began);
        // The age bound is suspended while the platform is down.
        let left_ms = if then == "out of service" { 0 } else { bound_ms.saturating_sub(passed_ms) };
        if then == "out of service" {
            fleet.advance(10_000, true).await;
            fleet.set_list_pages(&[("first", "r1 draining\nr2 ready\nnext b"), ("b", "r3 ready")]);
            fleet.advance(bound_ms.saturating_sub(passed_ms), true).await;
        }
        let users = fleet.users_after(left_ms + SAMPLE_MS, 0..REPORTED + SUBSCRIBED).await;
        assert!(users.is_empty(), "r1 is used by (router, after ms): {users:?}");
    });
}

/// Subscribers accept reports of a restarted publisher.
#[test]
fn a_restarted_publisher_is_followed() {
    Simulation::run(8, None, |world| async move {
        let mut fleet = Fleet::start(world).await;
        fleet.advance(20_000, true).await;
        let (publisher, _) = fleet.publisher_and_relay();
        fleet.world.host(ip(publisher)).kill();
        fleet.restart(publisher).await;
        fleet.advance(2_500, true).await;
        for n in REPORTED..REPORTED + SUBSCRIBED {
            let silence = fleet.ms_since_report(n).await;
            assert!(silence < timing().probe_interval_ms, "p{n} received nothing for {silence} ms");
        }
    });
}

/// The report numbers of a restarted publisher continue above its earlier ones. Otherwise a subscriber that had not
/// noticed the restart would reject its reports as old until it had published as many again.
#[test]
fn report_numbers_continue_after_a_restart() {
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

/// During an outage of the platform its last list stays in use: a publisher that can't read it is replaced by another
/// one that can't either, and that one adopts the list.
#[test]
fn routers_go_on_during_a_platform_outage() {
    Simulation::run(9, None, |world| async move {
        let fleet = Fleet::start(world).await;
        fleet.set_list(None);
        fleet.advance(12_000, true).await;
        for n in 0..REPORTED + SUBSCRIBED {
            assert!(fleet.uses_r1(n).await, "p{n} uses nothing");
        }
        fleet.set_list(Some("r1 draining\nr2 ready"));
        let bound_ms = fleet.routers[0].list_max_age_ms();
        let users = fleet.users_after(bound_ms + SAMPLE_MS, 0..REPORTED + SUBSCRIBED).await;
        assert!(users.is_empty(), "r1 is used by (router, after ms): {users:?}");
    });
}
