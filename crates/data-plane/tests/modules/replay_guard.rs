//! Tests of `data_plane::replay_guard`.

use common::{Epoch, NodeId};
use data_plane::replay_guard::{ReplayGuard, WINDOW};
use std::collections::BTreeMap;

fn members(all: &[(&str, u64)]) -> BTreeMap<NodeId, Epoch> {
    all.iter().map(|(n, e)| (NodeId::new(*n), Epoch(*e))).collect()
}

fn take(g: &mut ReplayGuard, all: &[(&str, u64)], from: &str, epoch: u64, number: u64) -> &'static str {
    let known = members(all);
    let res = g.take(&from.into(), Epoch(epoch), number, &|n| known.get(n).copied());
    res.err().unwrap_or("taken")
}

/// In any order within the window, each number is taken once; what is older is not told apart any
/// more, and so not taken.
#[test]
fn each_number_is_taken_once() {
    let mut g = ReplayGuard::default();
    let all = [("a", 1)];
    for n in [1, 3, 2, 64, 63, 65, WINDOW, WINDOW + 2] {
        assert_eq!(take(&mut g, &all, "a", 1, n), "taken", "{n}");
    }
    for n in [3, 64, 63, 65, WINDOW, WINDOW + 2] {
        assert_eq!(take(&mut g, &all, "a", 1, n), "hop used before", "{n}");
    }
    assert_eq!(take(&mut g, &all, "a", 1, 2), "hop out of date");
    assert_eq!(take(&mut g, &all, "a", 1, 4), "taken", "not yet used, and the window still reaches it");
    // A leap past the window forgets all below it, and takes none of that.
    assert_eq!(take(&mut g, &all, "a", 1, 10 * WINDOW), "taken");
    assert_eq!(take(&mut g, &all, "a", 1, 10 * WINDOW), "hop used before");
    assert_eq!(take(&mut g, &all, "a", 1, 9 * WINDOW), "hop out of date");
    assert_eq!(take(&mut g, &all, "a", 1, 9 * WINDOW + 1), "taken");
    assert_eq!(take(&mut g, &all, "a", 1, u64::MAX), "taken");
    assert_eq!(take(&mut g, &all, "a", 1, u64::MAX), "hop used before");
}

/// One after another, over many turns of the window.
#[test]
fn a_long_run_of_hops_is_taken() {
    let mut g = ReplayGuard::default();
    for n in 1..=5 * WINDOW {
        assert_eq!(take(&mut g, &[("a", 1)], "a", 1, n), "taken");
        assert_eq!(take(&mut g, &[("a", 1)], "a", 1, n), "hop used before");
    }
}

/// A membership that ended never comes back: its forwarded requests reject, and its window is not kept.
#[test]
fn memory_is_bounded_by_the_members() {
    let mut g = ReplayGuard::default();
    for epoch in 1..100 {
        let name = format!("n{epoch}");
        let all = [("a", 1), (name.as_str(), epoch)];
        assert_eq!(take(&mut g, &all, &name, epoch, 1), "taken");
        assert_eq!(take(&mut g, &all, "a", 1, epoch), "taken");
        assert!(g.len() <= 2, "{}", g.len());
    }
    assert_eq!(take(&mut g, &[("a", 1)], "n99", 99, 2), "sender not a member here");
    assert_eq!(take(&mut g, &[("a", 100)], "a", 1, 500), "sender not a member here");
    assert_eq!(take(&mut g, &[("a", 100)], "a", 100, 1), "taken", "a new membership counts anew");
}
