//! Conformance of the operator's operator service with design 4.9, and of small cores with design 2.2.

use common::runtime::Simulation;
use control_plane::{
    MAX_DOCUMENT_BYTES, operator::OperationOutcome, state_machine::cluster_state::MAX_RECENT_OPERATIONS,
};
use rstest::rstest;
use std::time::Duration;

mod cluster;
mod operator;
mod random_text;
use cluster::Cluster;
use random_text::random_text;

fn held(version: u64, text: &str) -> Result<Option<(u64, String)>, String> {
    Ok(Some((version, text.to_string())))
}

fn invalid(t: &OperationOutcome) -> &str {
    match t {
        OperationOutcome::Invalid(f) => &f[0].message,
        other => panic!("{other:?}"),
    }
}

/// A lone voter, and two, are whole cores of their own; more than three find each other through three
/// seeds. They form, accept, and tell what they hold.
#[rstest]
fn cores_of_any_size_form_and_accept(#[values(1, 2, 3, 5, 6, 7)] voters: usize) {
    Simulation::run(7, None, |w| async move {
        let c = Cluster::initialized(w, voters).await;
        for s in &c.nodes {
            assert_eq!(s.control_node.status().cluster_state.voters.len(), voters);
            assert_eq!(s.read().await, Ok(None));
        }
        assert_eq!(c.nodes[voters - 1].replace(0, "3\nfirst").await, OperationOutcome::Accepted);
        for s in &c.nodes {
            assert_eq!(s.read().await, held(3, "3\nfirst"));
        }
    });
}

/// Without leave to found, blank voters wait to be readmitted, however many there are.
#[rstest]
fn seats_that_may_not_found_never_form(#[values(1, 2, 3, 5)] voters: usize) {
    Simulation::run(8, None, |w| async move {
        let c = Cluster::start(w, voters, false).await;
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(c.nodes.iter().all(|s| !s.control_node.status().initialized));
    });
}

/// Two voters accept nothing while one of them is cut off: a majority of two is both.
#[test]
fn one_of_two_seats_accepts_nothing() {
    Simulation::run(9, None, |w| async move {
        let c = Cluster::initialized(w, 2).await;
        let at = c.leader();
        c.isolate(1 - at);
        assert_ne!(c.nodes[at].replace(0, "1\nalone").await, OperationOutcome::Accepted);
        assert_eq!(c.nodes[at].control_node.status().cluster_state.revision.0, 0, "nothing came into force");
        c.heal(1 - at);
        c.wait_until("both are led again", |c| {
            c.nodes.iter().all(|s| s.control_node.status().leader.is_some())
        })
        .await;
    });
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Replace,
    Amend,
}

async fn send(s: &cluster::ClusterNode, kind: Kind, base_version: u64, text: &str) -> OperationOutcome {
    match kind {
        Kind::Replace => s.replace(base_version, text).await,
        Kind::Amend => s.amend(base_version, text).await,
    }
}

/// Of two changes on top of the same version exactly one is accepted, wherever they are sent; what
/// is read everywhere is the winner's, and a loser that is sent again loses again.
#[rstest]
fn of_two_on_one_version_one_wins(
    #[values((0, 0), (0, 1), (1, 2), (2, 0))] at: (usize, usize),
    #[values(Kind::Replace, Kind::Amend)] first: Kind,
    #[values(Kind::Replace, Kind::Amend)] second: Kind,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    Simulation::run(seed, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        assert_eq!(c.nodes[0].replace(0, "2\nbase").await, OperationOutcome::Accepted);
        let (a, b) = (&c.nodes[at.0], &c.nodes[at.1]);
        let (texts, kinds) = (["5\n, one", "6\n, two"], [first, second]);
        let told = tokio::join!(send(a, kinds[0], 2, texts[0]), send(b, kinds[1], 2, texts[1]));
        let told = [told.0, told.1];
        let won = told.iter().position(|t| *t == OperationOutcome::Accepted).expect("one is accepted");
        let version = 5 + won as u64;
        assert_eq!(told[1 - won], OperationOutcome::Conflict { current: Some(version) }, "{told:?}");
        let text = match kinds[won] {
            Kind::Replace => texts[won].to_string(),
            Kind::Amend => texts[won].replacen('\n', "\nbase", 1),
        };
        for s in &c.nodes {
            assert_eq!(s.read().await, held(version, &text));
            let again = send(s, kinds[1 - won], 2, texts[1 - won]).await;
            assert_eq!(again, OperationOutcome::Conflict { current: Some(version) });
        }
    });
}

/// A sending that was accepted is accepted again at each node, also once newer ones were accepted,
/// and changes nothing any more.
#[test]
fn a_resend_answers_as_at_first() {
    Simulation::run(11, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        let all = [(0, "1\na"), (1, "4\nb"), (4, "9\nc")];
        for (n, (base_version, text)) in all.iter().enumerate() {
            assert_eq!(c.nodes[n].replace(*base_version, text).await, OperationOutcome::Accepted);
            assert_eq!(c.nodes[n].replace(*base_version, text).await, OperationOutcome::Accepted);
        }
        assert_eq!(c.nodes[1].amend(9, "10\n, d").await, OperationOutcome::Accepted);
        for s in &c.nodes {
            for (base_version, text) in all {
                assert_eq!(s.replace(base_version, text).await, OperationOutcome::Accepted);
            }
            assert_eq!(s.amend(9, "10\n, d").await, OperationOutcome::Accepted);
            // The same bytes on top of another version are another change.
            assert_eq!(s.replace(0, "9\nc").await, OperationOutcome::Conflict { current: Some(10) });
            assert_eq!(s.read().await, held(10, "10\nc, d"));
        }
    });
}

/// As many later outcomes as are kept don't push out that of an accepted document.
#[test]
fn a_resend_outlives_later_verdicts() {
    Simulation::run(12, None, |w| async move {
        let c = Cluster::initialized(w, 1).await;
        let s = &c.nodes[0];
        assert_eq!(s.replace(0, "1\na").await, OperationOutcome::Accepted);
        for n in 0..MAX_RECENT_OPERATIONS + 1 {
            assert_eq!(s.evacuate("far", n % 2 == 0).await, OperationOutcome::Accepted);
        }
        assert_eq!(s.recorded_operations(), MAX_RECENT_OPERATIONS);
        assert_eq!(s.replace(0, "1\na").await, OperationOutcome::Accepted);
        assert_eq!(s.replace(1, "2\nb").await, OperationOutcome::Accepted);
        assert_eq!(s.replace(0, "1\na").await, OperationOutcome::Accepted);
    });
}

#[test]
fn what_can_not_be_taken_is_told_and_changes_nothing() {
    Simulation::run(13, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        let s = &c.nodes[1];
        assert_eq!(s.replace(3, "4\n").await, OperationOutcome::Conflict { current: Some(0) });
        assert!(invalid(&s.replace(0, "0\n").await).contains("allowed: above 0"));
        assert_eq!(s.replace(0, "6\nkept").await, OperationOutcome::Accepted);
        for old in ["6\nother", "5\nother"] {
            assert!(invalid(&s.replace(6, old).await).contains("allowed: above 6"));
            assert!(invalid(&s.amend(6, old).await).contains("allowed: above 6"));
        }
        assert_eq!(s.replace(0, "7\n").await, OperationOutcome::Conflict { current: Some(6) });
        assert_eq!(s.replace(7, "8\n").await, OperationOutcome::Conflict { current: Some(6) });
        assert_eq!(invalid(&s.replace(6, "not a version").await), "no version");
        let long = |n: usize| format!("7\n{}", "x".repeat(n - 2));
        assert_eq!(s.replace(6, &long(MAX_DOCUMENT_BYTES + 1)).await, OperationOutcome::TooLarge);
        assert_eq!(
            s.replace(6, &format!("7\n{}", random_text(1, MAX_DOCUMENT_BYTES / 4))).await,
            OperationOutcome::TooLarge
        );
        assert_eq!(
            s.amend(6, &long(MAX_DOCUMENT_BYTES)).await,
            OperationOutcome::TooLarge,
            "what comes of it is too long"
        );
        assert_eq!(s.read().await, held(6, "6\nkept"));
        // The longest one is taken, from a node that has to send it to the leader.
        let far = (c.leader() + 1) % 3;
        assert_eq!(c.nodes[far].replace(6, &long(MAX_DOCUMENT_BYTES)).await, OperationOutcome::Accepted);
        assert_eq!(s.read().await, held(7, &long(MAX_DOCUMENT_BYTES)));
    });
}

/// A leader without a majority can't tell; the same sending tells later, and is taken once.
#[rstest]
fn what_was_undetermined_is_told_by_sending_again(#[values(1, 2, 3)] seed: u64) {
    Simulation::run(seed, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        let old = c.leader();
        assert_eq!(c.nodes[old].replace(0, "1\na").await, OperationOutcome::Accepted);
        c.isolate(old);
        assert_eq!(c.nodes[old].replace(1, "2\nb").await, OperationOutcome::Undetermined);
        assert!(matches!(
            c.nodes[old].replace(1, "2\nb").await,
            OperationOutcome::Undetermined | OperationOutcome::Unavailable(_)
        ));
        c.wait_until("another leads", |c| {
            let v = c.nodes[(old + 1) % 3].control_node.status();
            v.leader.is_some_and(|l| l.node.as_str() != format!("s{old}"))
        })
        .await;
        c.heal(old);
        let mut told = OperationOutcome::Undetermined;
        for _ in 0..100 {
            told = c.nodes[old].replace(1, "2\nb").await;
            if told == OperationOutcome::Accepted {
                break;
            }
            assert!(
                matches!(told, OperationOutcome::Undetermined | OperationOutcome::Unavailable(_)),
                "{told:?}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(told, OperationOutcome::Accepted);
        for s in &c.nodes {
            assert_eq!(s.replace(1, "2\nb").await, OperationOutcome::Accepted);
            assert_eq!(s.read().await, held(2, "2\nb"));
            assert_eq!(s.control_node.status().cluster_state.revision.0, 2, "each was taken once");
        }
    });
}

/// Bytes come back as they were sent: no line end, space or letter is changed.
#[rstest]
#[case::line_ends("1\r\n\ttab \r\n\r\n")]
#[case::no_end("1\nend")]
#[case::letters("1\nñandú, 东, \u{1F682}, \u{0}, \u{FEFF}")]
fn documents_are_read_back_byte_for_byte(#[case] text: &str) {
    let text = text.to_string();
    Simulation::run(21, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        assert_eq!(c.nodes[2].replace(0, &text).await, OperationOutcome::Accepted);
        for s in &c.nodes {
            assert_eq!(s.read().await, held(1, &text));
        }
    });
}

#[test]
fn areas_are_evacuated_and_taken_back() {
    Simulation::run(31, None, |w| async move {
        let c = Cluster::initialized(w, 3).await;
        assert_eq!(c.nodes[0].replace(0, "1\na").await, OperationOutcome::Accepted);
        // "far" is known by name only; in "a2" a voter stands.
        for (at, zone) in [(0, "far"), (1, "a2"), (2, "a2")] {
            assert_eq!(c.nodes[at].evacuate(zone, true).await, OperationOutcome::Accepted);
        }
        assert_eq!(c.nodes[2].evacuated_zones().await, ["a2", "far"]);
        // A document takes none back.
        assert_eq!(c.nodes[1].replace(1, "2\nb").await, OperationOutcome::Accepted);
        assert_eq!(c.nodes[0].evacuated_zones().await, ["a2", "far"]);
        for at in 0..2 {
            assert_eq!(c.nodes[at].evacuate("far", false).await, OperationOutcome::Accepted);
        }
        assert_eq!(c.nodes[0].evacuated_zones().await, ["a2"]);
        assert!(invalid(&c.nodes[0].evacuate("nowhere", true).await).contains("known to no node"));
        assert!(invalid(&c.nodes[0].evacuate("no name", true).await).contains("allowed"));
        assert_eq!(c.nodes[1].evacuated_zones().await, ["a2"]);
    });
}
