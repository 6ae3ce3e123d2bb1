//! Tests of `data_plane::serving::retries`.

use common::Service;
use data_plane::serving::retries::Retries;
use rstest::rstest;

/// Requests of one router a second, in steps of 100 ms.
struct Load {
    routers: usize,
    per_router_s: f64,
    ratio: f64,
    extra: f64,
}

/// Further tries and requests by step: all save up first, then each spends what it has at once; with
/// `fresh`, every router is started anew as spending begins, one after the other.
fn run(l: &Load, fresh: bool) -> Vec<(f64, f64)> {
    let svc: Service = "chat".into();
    let cap = l.extra / l.routers as f64;
    let mut all: Vec<Retries> = (0..l.routers).map(|_| Retries::default()).collect();
    let mut due = vec![0.0; l.routers];
    let mut steps = Vec::new();
    for step in 0..600 {
        let (mut spent, mut came) = (0.0, 0.0);
        for (n, r) in all.iter_mut().enumerate() {
            if fresh && step == 300 + n % 50 {
                *r = Retries::default();
            }
            due[n] += l.per_router_s / 10.0;
            while due[n] >= 1.0 {
                due[n] -= 1.0;
                came += 1.0;
                r.earn(&svc, l.ratio, cap);
                while step >= 300 && r.spend(&svc) {
                    spent += 1.0;
                }
            }
        }
        steps.push((spent, came));
    }
    steps
}

/// By how much the worst 10 s overrun what is allowed, and how many further tries there were.
fn worst(l: &Load, fresh: bool) -> (f64, f64) {
    let steps = run(l, fresh);
    let over = |w: &[(f64, f64)]| {
        let (spent, came) = w.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
        spent - l.ratio * came - l.extra
    };
    let most = steps.windows(100).map(over).fold(f64::MIN, f64::max);
    (most, steps.iter().map(|s| s.0).sum())
}

/// Design 9.6: over any 10 s all routers together stay within ratio x requests + extra.
#[rstest]
#[case::one(1, 50.0, 0.1, 10.0)]
#[case::few(3, 50.0, 0.1, 10.0)]
#[case::many(12, 30.0, 0.1, 20.0)]
#[case::more(40, 10.0, 0.2, 50.0)]
#[case::most(93, 5.0, 0.1, 100.0)]
#[case::more_routers_than_extra(93, 0.1, 0.2, 64.0)]
#[case::no_ratio(12, 30.0, 0.0, 20.0)]
#[case::little(12, 0.5, 0.1, 20.0)]
fn all_routers_stay_within_the_bound(
    #[case] routers: usize,
    #[case] per_router_s: f64,
    #[case] ratio: f64,
    #[case] extra: f64,
    #[values(false, true)] fresh: bool,
) {
    let (over, spent) = worst(&Load { routers, per_router_s, ratio, extra }, fresh);
    assert!(spent > 0.0, "something may be spent");
    assert!(over <= 1e-6, "{over} too many");
}

/// A try that reached nobody costs nothing, and services do not share.
#[test]
fn what_reached_nobody_comes_back() {
    let (r, svc) = (Retries::default(), Service::new("chat"));
    assert!(r.spend(&svc) && !r.spend(&svc));
    r.give_back(&svc);
    assert!(r.spend(&svc) && !r.spend(&svc));
    assert!(r.spend(&"draw".into()));
}
