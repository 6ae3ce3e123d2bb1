//! Tests of `data_plane::serving::retry_budget`.

use crate::test_data::node_ids;
use common::{Service, Tick};
use data_plane::serving::retry_budget::{BudgetShare, RetryBudget, ranked_above};
use rstest::rstest;

const STEP_MS: u64 = 100;
const WINDOW_MS: u64 = 10_000;
const STEPS: usize = 600;
/// The step from which all routers spend their tokens.
const SPENDING_START: usize = 300;

/// The requests that arrive, and the limits on retries.
struct Load {
    routers: usize,
    /// Requests per second and router.
    per_router_s: f64,
    ratio: f64,
    extra: f64,
}

/// When routers are restarted, once spending has begun.
#[derive(Clone, Copy, Debug)]
enum Restarts {
    Never,
    /// Each once, one after the other.
    InTurn,
    /// All at the same time, every two seconds: several times within each window.
    Together,
}

impl Restarts {
    /// Whether a router restarts in this step.
    fn is_due(self, step: usize, router: usize) -> bool {
        match self {
            Self::Never => false,
            Self::InTurn => step == SPENDING_START + router % 50,
            Self::Together => step >= SPENDING_START && step.is_multiple_of(20),
        }
    }
}

/// Retries and requests in each step. First all routers save tokens, then each spends them as soon as it has them.
fn run(load: &Load, restarts: Restarts) -> Vec<(f64, f64)> {
    let service: Service = "chat".into();
    let nodes = node_ids(load.routers);
    let shares: Vec<BudgetShare> = nodes
        .iter()
        .map(|me| BudgetShare::of(load.extra, WINDOW_MS, ranked_above(&service, me, &nodes), load.routers))
        .collect();
    let mut budgets: Vec<RetryBudget> = (0..load.routers).map(|_| RetryBudget::started(Tick(0))).collect();
    let mut due = vec![0.0; load.routers];
    let mut steps = Vec::new();
    for step in 0..STEPS {
        let now = Tick(step as u64 * STEP_MS);
        let (mut spent, mut requests) = (0.0, 0.0);
        for (n, budget) in budgets.iter_mut().enumerate() {
            if restarts.is_due(step, n) {
                *budget = RetryBudget::started(now);
            }
            due[n] += load.per_router_s / 10.0;
            while due[n] >= 1.0 {
                due[n] -= 1.0;
                requests += 1.0;
                budget.earn(&service, load.ratio, shares[n], now);
                while step >= SPENDING_START && budget.spend(&service) {
                    spent += 1.0;
                }
            }
        }
        steps.push((spent, requests));
    }
    steps
}

/// By how many retries the worst window exceeds the limit, and how many retries there were in all.
fn worst(load: &Load, restarts: Restarts) -> (f64, f64) {
    let steps = run(load, restarts);
    let excess = |w: &[(f64, f64)]| {
        let (spent, requests) = w.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
        spent - load.ratio * requests - load.extra
    };
    let max_excess = steps.windows((WINDOW_MS / STEP_MS) as usize).map(excess).fold(f64::MIN, f64::max);
    (max_excess, steps.iter().map(|s| s.0).sum())
}

/// Within any 10 s the retries of all routers together stay within ratio x requests + extra (design 9.6).
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
fn all_routers_stay_within_the_limit(
    #[case] routers: usize,
    #[case] per_router_s: f64,
    #[case] ratio: f64,
    #[case] extra: f64,
    #[values(Restarts::Never, Restarts::InTurn, Restarts::Together)] restarts: Restarts,
) {
    let load = Load { routers, per_router_s, ratio, extra };
    let (excess, spent) = worst(&load, restarts);
    // Routers that earn no whole token between two restarts may spend none.
    let rare = matches!(restarts, Restarts::Together) && per_router_s * 2.0 * ratio < 2.0;
    assert!(spent > 0.0 || rare, "some retries are allowed");
    assert!(excess <= 1e-6, "{excess} too many");
}

/// For any number of routers the shares sum to at most the surplus and at least half of it, and each share that is
/// not empty can hold a whole token.
#[rstest]
fn shares_sum_to_the_surplus(
    #[values(1, 2, 3, 12, 44, 45, 93, 1_000)] routers: usize,
    #[values(0.0, 0.5, 1.0, 1.2, 2.0, 20.0, 64.0, 226.0)] surplus: f64,
) {
    let (nodes, service) = (node_ids(routers), Service::new("chat"));
    let shares: Vec<BudgetShare> = nodes
        .iter()
        .map(|me| BudgetShare::of(surplus, WINDOW_MS, ranked_above(&service, me, &nodes), routers))
        .filter(|s| *s != BudgetShare::default())
        .collect();
    let sum: f64 = shares.iter().map(|s| s.capacity + s.per_ms * WINDOW_MS as f64).sum();
    assert!(sum <= surplus + 1e-6, "{sum} of {surplus}");
    assert!(surplus < 1.0 || sum >= surplus / 2.0, "{sum} of {surplus}");
    assert!(shares.iter().all(|s| s.capacity >= 1.0), "{shares:?}");
}

/// A new budget has no tokens, a refunded token can be spent again, and each service has its own tokens.
#[test]
fn refunded_tokens_can_be_spent_again() {
    let (budget, service) = (RetryBudget::started(Tick(0)), Service::new("chat"));
    assert!(!budget.spend(&service), "no token was earned yet");
    budget.earn(&service, 1.0 / 0.8, BudgetShare { capacity: 1.0, per_ms: 0.0 }, Tick(0));
    assert!(budget.spend(&service) && !budget.spend(&service));
    budget.give_back(&service);
    assert!(budget.spend(&service) && !budget.spend(&service));
    assert!(!budget.spend(&"draw".into()));
}
