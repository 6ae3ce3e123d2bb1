//! Tests of `data_plane::replay_guard`.

use common::{Epoch, NodeId};
use data_plane::replay_guard::{ReplayGuard, WINDOW};
use std::collections::BTreeMap;

fn members(all: &[(&str, u64)]) -> BTreeMap<NodeId, Epoch> {
    all.iter().map(|(n, e)| (NodeId::new(*n), Epoch(*e))).collect()
}

/// The reason of a rejection, or "taken".
fn take(guard: &mut ReplayGuard, all: &[(&str, u64)], from: &str, epoch: u64, number: u64) -> &'static str {
    let known = members(all);
    let result = guard.take(&from.into(), Epoch(epoch), number, &|n| known.get(n).copied());
    result.err().unwrap_or("taken")
}

/// Within the window each number is accepted once, in any order. Older numbers are rejected, since the guard no longer
/// knows which of them were used.
#[test]
fn each_number_is_taken_once() {
    let mut guard = ReplayGuard::default();
    let all = [("a", 1)];
    for n in [1, 3, 2, 64, 63, 65, WINDOW, WINDOW + 2] {
        assert_eq!(take(&mut guard, &all, "a", 1, n), "taken", "{n}");
    }
    for n in [3, 64, 63, 65, WINDOW, WINDOW + 2] {
        assert_eq!(take(&mut guard, &all, "a", 1, n), "hop used before", "{n}");
    }
    assert_eq!(take(&mut guard, &all, "a", 1, 2), "hop out of date");
    assert_eq!(take(&mut guard, &all, "a", 1, 4), "taken", "not yet used, and the window still reaches it");
    // A number beyond the window moves it, and all numbers below the new window are rejected.
    assert_eq!(take(&mut guard, &all, "a", 1, 10 * WINDOW), "taken");
    assert_eq!(take(&mut guard, &all, "a", 1, 10 * WINDOW), "hop used before");
    assert_eq!(take(&mut guard, &all, "a", 1, 9 * WINDOW), "hop out of date");
    assert_eq!(take(&mut guard, &all, "a", 1, 9 * WINDOW + 1), "taken");
    assert_eq!(take(&mut guard, &all, "a", 1, u64::MAX), "taken");
    assert_eq!(take(&mut guard, &all, "a", 1, u64::MAX), "hop used before");
}

/// Consecutive numbers are accepted while the window wraps around several times.
#[test]
fn consecutive_numbers_are_taken() {
    let mut guard = ReplayGuard::default();
    for n in 1..=5 * WINDOW {
        assert_eq!(take(&mut guard, &[("a", 1)], "a", 1, n), "taken");
        assert_eq!(take(&mut guard, &[("a", 1)], "a", 1, n), "hop used before");
    }
}

/// Requests under a membership that ended are rejected, and its window is dropped.
#[test]
fn memory_is_bounded_by_the_members() {
    let mut guard = ReplayGuard::default();
    for epoch in 1..100 {
        let name = format!("n{epoch}");
        let all = [("a", 1), (name.as_str(), epoch)];
        assert_eq!(take(&mut guard, &all, &name, epoch, 1), "taken");
        assert_eq!(take(&mut guard, &all, "a", 1, epoch), "taken");
        assert!(guard.len() <= 2, "{}", guard.len());
    }
    assert_eq!(take(&mut guard, &[("a", 1)], "n99", 99, 2), "sender not a member here");
    assert_eq!(take(&mut guard, &[("a", 100)], "a", 1, 500), "sender not a member here");
    assert_eq!(take(&mut guard, &[("a", 100)], "a", 100, 1), "taken", "a new membership starts a new window");
}
