//! Tests of `data_plane::serving::retry_budget`.

use crate::test_data::node_ids;
use common::{Service, Tick};
use data_plane::serving::retry_budget::{BudgetShare, RetryBudget, ranked_above};
use rstest::rstest;

const STEP_MS: u64 = 100;
const WINDOW_MS: u64 = 10_000;
const STEPS: usize = 600;
/// From this step on all routers spend what they have.
const SPENDING: usize = 300;

/// Requests of one router a second, in steps of 100 ms.
struct Load {
    routers: usize,
    per_router_s: f64,
    ratio: f64,
    extra: f64,
}

/// When routers are started anew, as spending begins.
#[derive(Clone, Copy, Debug)]
enum Restarts {
    Never,
    /// Once, one after the other.
    InTurn,
    /// All at once, every two seconds: several times within each window.
    Together,
}

impl Restarts {
    fn now(self, step: usize, router: usize) -> bool {
        match self {
            Self::Never => false,
            Self::InTurn => step == SPENDING + router % 50,
            Self::Together => step >= SPENDING && step.is_multiple_of(20),
        }
    }
}

/// Further tries and requests by step: all save up first, then each spends what it has at once.
fn run(l: &Load, restarts: Restarts) -> Vec<(f64, f64)> {
    let svc: Service = "chat".into();
    let names = node_ids(l.routers);
    let shares: Vec<BudgetShare> = names
        .iter()
        .map(|me| BudgetShare::of(l.extra, WINDOW_MS, ranked_above(&svc, me, &names), l.routers))
        .collect();
    let mut all: Vec<RetryBudget> = (0..l.routers).map(|_| RetryBudget::started(Tick(0))).collect();
    let mut due = vec![0.0; l.routers];
    let mut steps = Vec::new();
    for step in 0..STEPS {
        let now = Tick(step as u64 * STEP_MS);
        let (mut spent, mut came) = (0.0, 0.0);
        for (n, r) in all.iter_mut().enumerate() {
            if restarts.now(step, n) {
                *r = RetryBudget::started(now);
            }
            due[n] += l.per_router_s / 10.0;
            while due[n] >= 1.0 {
                due[n] -= 1.0;
                came += 1.0;
                r.earn(&svc, l.ratio, shares[n], now);
                while step >= SPENDING && r.spend(&svc) {
                    spent += 1.0;
                }
            }
        }
        steps.push((spent, came));
    }
    steps
}

/// By how much the worst 10 s overrun what is allowed, and how many further tries there were.
fn worst(l: &Load, restarts: Restarts) -> (f64, f64) {
    let steps = run(l, restarts);
    let over = |w: &[(f64, f64)]| {
        let (spent, came) = w.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
        spent - l.ratio * came - l.extra
    };
    let most = steps.windows((WINDOW_MS / STEP_MS) as usize).map(over).fold(f64::MIN, f64::max);
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
#[case::one_extra(12, 30.0, 0.1, 1.0)]
fn all_routers_stay_within_the_bound(
    #[case] routers: usize,
    #[case] per_router_s: f64,
    #[case] ratio: f64,
    #[case] extra: f64,
    #[values(Restarts::Never, Restarts::InTurn, Restarts::Together)] restarts: Restarts,
) {
    let l = Load { routers, per_router_s, ratio, extra };
    let (over, spent) = worst(&l, restarts);
    // Who has not earned a whole token between two starts may spend none.
    let rare = matches!(restarts, Restarts::Together) && per_router_s * 2.0 * ratio < 2.0;
    assert!(spent > 0.0 || rare, "something may be spent");
    assert!(over <= 1e-6, "{over} too many");
}

/// The shares of all routers sum to no more than the surplus, and to most of it, however many routers
/// there are; none of them is of no use for want of a whole token.
#[rstest]
fn shares_sum_to_the_surplus(
    #[values(1, 2, 3, 12, 44, 45, 93, 1_000)] routers: usize,
    #[values(0.0, 0.5, 1.0, 1.2, 2.0, 20.0, 64.0, 226.0)] surplus: f64,
) {
    let (names, svc) = (node_ids(routers), Service::new("chat"));
    let shares: Vec<BudgetShare> = names
        .iter()
        .map(|me| BudgetShare::of(surplus, WINDOW_MS, ranked_above(&svc, me, &names), routers))
        .filter(|s| *s != BudgetShare::default())
        .collect();
    let sum: f64 = shares.iter().map(|s| s.capacity + s.per_ms * WINDOW_MS as f64).sum();
    assert!(sum <= surplus + 1e-6, "{sum} of {surplus}");
    assert!(surplus < 1.0 || sum >= surplus / 2.0, "{sum} of {surplus}");
    assert!(shares.iter().all(|s| s.capacity >= 1.0), "{shares:?}");
}

/// A start gives nothing; a try that reached nobody costs nothing; services do not share.
#[test]
fn what_reached_nobody_comes_back() {
    let (r, svc) = (RetryBudget::started(Tick(0)), Service::new("chat"));
    assert!(!r.spend(&svc), "nothing was earned yet");
    r.earn(&svc, 1.0 / 0.8, BudgetShare { capacity: 1.0, per_ms: 0.0 }, Tick(0));
    assert!(r.spend(&svc) && !r.spend(&svc));
    r.give_back(&svc);
    assert!(r.spend(&svc) && !r.spend(&svc));
    assert!(!r.spend(&"draw".into()));
}
