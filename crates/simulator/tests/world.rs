//! Whole fleets under virtual time (design 7.2): a fixed set of seeds has no violation, and each check of the
//! audit catches a deliberately broken variant.

use rstest::rstest;
use simulator::{
    deployment::Firm,
    world::{BROKEN_VARIANTS, BrokenVariant, WorldPlan, run_seed},
};

fn plan(seconds: f64, rate: f64, faults: &[&str], broken: Option<&str>) -> WorldPlan {
    let faults: Vec<_> = faults.iter().map(|f| f.parse().unwrap()).collect();
    let broken = broken.map(|b| b.parse::<BrokenVariant>().unwrap());
    let calm = !faults.is_empty();
    WorldPlan { firm: None, seconds, rate, faults, calm, broken }
}

fn violations(plan: &WorldPlan, seed: u64) -> Vec<&'static str> {
    run_seed(plan, seed).unwrap().violations().into_iter().map(|v| v.0).collect()
}

#[test]
fn a_fixed_set_of_seeds_has_no_violation() {
    for seed in 1..=6 {
        let audit = run_seed(&plan(45.0, 0.4, &[], None), seed).unwrap();
        assert_eq!(audit.violations(), vec![], "seed {seed}: {:?} {:?}", audit.actions, audit.examples);
        assert!(audit.done > 500, "seed {seed}: {} requests done", audit.done);
    }
}

/// Each broken variant is caught by its check, which finds nothing in the correct daemons under the same faults.
#[rstest]
#[case("once-goes-again", "doubled", &["5:kill-area:centro-1", "9:start-area:centro-1", "12:kill-area:baires-1", "16:start-area:baires-1"])]
#[case("unknown-called-bounced", "rejected, yet run", &["5:kill-area:centro-1", "9:start-area:centro-1", "12:kill-area:baires-1", "16:start-area:baires-1"])]
#[case("cut-looks-whole", "garbled", &["5:kill-area:centro-1", "9:start-area:centro-1", "12:kill-area:baires-1", "16:start-area:baires-1"])]
#[case("departed-still-used", "late run in an evacuated zone", &["5:evacuate:centro-1", "6:evacuate:baires-1"])]
#[case("no-homes", "misrouted", &["5:apply:"])]
#[case("cold-is-warm", "cold replica over its allowance", &["4:kill-area:norte-1", "9:start-area:norte-1", "5:kill-area:cordoba-1", "10:start-area:cordoba-1"])]
#[case("no-drain", "dropped in planned work", &["5:stop:p1", "6:stop:p4", "7:stop:p7", "9:start:p1", "10:start:p4", "11:start:p7"])]
#[case("no-retry-after", "rejected without Retry-After", &["5:brown-out:", "9:brown-over:"])]
#[case("narrows-unheard", "older document used late", &["5:cut:core", "9:apply:", "18:mend:core"])]
#[case("boundless-goes", "retries over a fifth of requests", &["4:sour:", "20:sweet:"])]
fn each_check_catches_its_broken_variant(
    #[case] variant: &str,
    #[case] check: &str,
    #[case] faults: &[&str],
) {
    assert!(BROKEN_VARIANTS.contains(&(variant, check)));
    let correct = plan(22.0, 2.0, faults, None);
    let broken = plan(22.0, 2.0, faults, Some(variant));
    let seeds = 1..=4;
    let caught = seeds.clone().any(|seed| violations(&broken, seed).contains(&check));
    assert!(caught, "{variant} is not caught");
    for seed in seeds.take(2) {
        assert!(!violations(&correct, seed).contains(&check), "seed {seed}: {check} without the variant");
    }
}

#[test]
fn an_unknown_variant_is_refused_with_the_allowed_ones() {
    let error = "no-such".parse::<BrokenVariant>().unwrap_err();
    assert!(BROKEN_VARIANTS.iter().all(|v| error.contains(v.0)), "{error}");
    assert!("atlantis".parse::<Firm>().is_err());
}
