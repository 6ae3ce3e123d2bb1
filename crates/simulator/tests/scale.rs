//! Growth in CI (design 7.7): two dozen hollow nodes under virtual time, against a dozen. Counts
//! decide, and no clock of the machine.

use rstest::rstest;
use simulator::scale::{GROWTH_VARIANTS, ScalePlan, Sizes, bound, rows, run};

/// Twice the nodes, zones, regions, replicas and tenants, and 21 routers instead of 9: what grows with
/// the routers is there 2.3 times, what grows with their square 5.4 times. Today's worst is 2.18, a
/// router's messages.
const ORDER: f64 = 2.4;

fn plan(broken: Option<&str>) -> ScalePlan {
    ScalePlan {
        full: 24,
        replicas: 24,
        regions: 4,
        zones: 6,
        services: 2,
        tenants: 8,
        requests: 0.0,
        changes: 3_600.0,
        seconds: 2.0,
        calm: true,
        seed: 1,
        net: 30,
        broken: broken.map(str::to_string),
    }
}

/// What grew by more than an order between a dozen nodes and two.
fn grown(broken: Option<&str>) -> Vec<&'static str> {
    let p = plan(broken);
    let (few, many) = (run::one(&p, 12).unwrap(), run::one(&p, 24).unwrap());
    let mut out = Vec::new();
    for (a, b) in few.roles.iter().zip(&many.roles) {
        assert!(a.messages > 0.0 && a.sent > 0.0, "{} sent nothing", a.role);
        if b.messages > ORDER * a.messages {
            out.push("messages a node");
        }
        if b.sent + b.received > ORDER * (a.sent + a.received) {
            out.push("bytes a node");
        }
    }
    if many.state.whole > ORDER * few.state.whole || many.slot > ORDER * few.slot {
        out.push("state a node");
    }
    out
}

#[test]
fn messages_and_state_grow_no_faster_than_the_nodes() {
    assert_eq!(grown(None), Vec::<&str>::new());
}

/// Each check is seen to fail with a variant whose growth is worse by an order.
#[rstest]
#[case("hails-squared", "messages a node")]
#[case("hears-by-pair", "state a node")]
fn quadratic_variants_are_caught(#[case] variant: &str, #[case] check: &str) {
    assert!(GROWTH_VARIANTS.contains(&(variant, check)));
    assert!(grown(Some(variant)).contains(&check), "{variant} is not caught");
}

/// The run itself works: each change governs at all nodes, and all see each loss.
#[test]
fn changes_govern_and_losses_are_noticed() {
    let p = ScalePlan { calm: false, requests: 20.0, ..plan(None) };
    let row = run::one(&p, 24).unwrap();
    assert_eq!((row.changes, row.governs_ms.never, row.governs_ms.samples), (2, 0, 42));
    for span in [row.lost_node_ms, row.lost_zone_ms, row.lost_region_ms] {
        let span = span.expect("each is lost in turn");
        assert!(span.never == 0 && span.samples > 0, "{span:?}");
    }
    assert!(row.state.placement_rows > 0.0, "users were placed");
    assert!(row.singletons.iter().all(|d| d.count > 0 && d.calls > 0.0), "{:?}", row.singletons);
}

#[test]
fn a_size_past_the_bound_is_refused_with_the_most_that_fits() {
    let (p, machine) = (plan(None), 1 << 30);
    let most = bound::most(&p, machine / 2);
    assert!(most > 24);
    assert!(bound::check(&p, &[12, most], machine).is_ok());
    let e = bound::check(&p, &[12, most + 1], machine).unwrap_err().to_string();
    assert!(e.contains(&format!("{most} nodes at most")), "{e}");
    let e = bound::check_real(&[bound::PROCESSES + 1], 1 << 50).unwrap_err().to_string();
    assert!(e.contains(&format!("{} at most", bound::PROCESSES)), "{e}");
}

#[rstest]
#[case("12,24", Some(vec![12, 24]))]
#[case("3", None)]
#[case("twelve", None)]
#[case("", None)]
fn sizes_are_read_or_refused(#[case] text: &str, #[case] want: Option<Vec<usize>>) {
    match text.parse::<Sizes>() {
        Ok(s) => assert_eq!(Some(s.0), want),
        Err(e) => assert!(want.is_none() && e.contains("allowed"), "{e}"),
    }
}

/// A placement's length on the wire, by which the table's rows are counted as bytes.
#[test]
fn a_row_is_as_long_as_it_is_said_to_be() {
    let row = data_plane::placement_table::PlacementRow {
        key: data_plane::placement_table::UserKey(u64::MAX),
        service: "m5".into(),
        region: "r20".into(),
        ver: u64::MAX >> 16,
        ttl_ms: 900_000,
    };
    let len = common::wire::encode(&row).unwrap().len();
    assert_eq!(len, rows::A_ROW);
}
