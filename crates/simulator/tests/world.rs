//! Whole fleets under virtual time in CI (design 7.2): a fixed set of seeds, and each check of the
//! audit seen to fail by a deliberately broken variant.

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

fn violations(p: &WorldPlan, seed: u64) -> Vec<&'static str> {
    run_seed(p, seed).unwrap().violations().into_iter().map(|v| v.0).collect()
}

#[test]
fn a_fixed_set_of_seeds_holds() {
    for seed in 1..=6 {
        let a = run_seed(&plan(45.0, 0.4, &[], None), seed).unwrap();
        assert_eq!(a.violations(), vec![], "seed {seed}: {:?} {:?}", a.actions, a.examples);
        assert!(a.done > 500, "seed {seed}: {} jobs done", a.done);
    }
}

/// The same faults with the daemons as they are, and with run_seed thing broken.
#[rstest]
#[case("once-goes-again", "doubled", &["5:kill-area:centro-1", "9:start-area:centro-1", "12:kill-area:baires-1", "16:start-area:baires-1"])]
#[case("unknown-called-bounced", "bounced, yet run", &["5:kill-area:centro-1", "9:start-area:centro-1", "12:kill-area:baires-1", "16:start-area:baires-1"])]
#[case("cut-looks-whole", "garbled", &["5:kill-area:centro-1", "9:start-area:centro-1", "12:kill-area:baires-1", "16:start-area:baires-1"])]
#[case("departed-still-used", "late in an evacuated area", &["5:evacuate:centro-1", "6:evacuate:baires-1"])]
#[case("no-homes", "misrouted", &["5:apply:"])]
#[case("cold-is-warm", "cold replica over its allowance", &["4:kill-area:norte-1", "9:start-area:norte-1", "5:kill-area:cordoba-1", "10:start-area:cordoba-1"])]
#[case("no-drain", "dropped in planned work", &["5:stop:p1", "6:stop:p4", "7:stop:p7", "9:start:p1", "10:start:p4", "11:start:p7"])]
#[case("no-retry-after", "bounced without Retry-After", &["5:brown-out:", "9:brown-over:"])]
#[case("narrows-unheard", "governed late", &["5:cut:core", "9:apply:", "18:mend:core"])]
#[case("boundless-goes", "extra goes over a fifth", &["4:sour:", "20:sweet:"])]
fn each_check_is_seen_to_fail(#[case] variant: &str, #[case] check: &str, #[case] faults: &[&str]) {
    assert!(BROKEN_VARIANTS.contains(&(variant, check)));
    let sound = plan(22.0, 2.0, faults, None);
    let broken = plan(22.0, 2.0, faults, Some(variant));
    let seeds = 1..=4;
    let found = seeds.clone().any(|s| violations(&broken, s).contains(&check));
    assert!(found, "{variant} is not caught");
    for s in seeds.take(2) {
        assert!(!violations(&sound, s).contains(&check), "seed {s}: {check} without the variant");
    }
}

#[test]
fn unknown_variants_are_refused_with_what_is_allowed() {
    let e = "no-such".parse::<BrokenVariant>().unwrap_err();
    assert!(BROKEN_VARIANTS.iter().all(|v| e.contains(v.0)), "{e}");
    assert!("atlantis".parse::<Firm>().is_err());
}
