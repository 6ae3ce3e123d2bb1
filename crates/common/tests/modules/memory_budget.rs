//! The division of a budget among small and large messages.

use common::memory_budget::{MemoryBudget, OutOfMemory, Reservation, SMALL_MESSAGE_BYTES};
use std::sync::Arc;

const LIMIT_BYTES: usize = 1 << 20;
const LARGE_BYTES: usize = LIMIT_BYTES / 4;

fn take(budget: &Arc<MemoryBudget>, bytes: usize) -> Result<Reservation, OutOfMemory> {
    let mut reservation = budget.reserve();
    reservation.grow_to(bytes).map(|()| reservation)
}

#[test]
fn a_share_is_kept_for_small_messages() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let large: Vec<_> = (0..3).map(|_| take(&budget, LARGE_BYTES).unwrap()).collect();
    assert_eq!(take(&budget, LARGE_BYTES).unwrap_err(), OutOfMemory);
    let small: Vec<_> = (0..4).map(|_| take(&budget, SMALL_MESSAGE_BYTES).unwrap()).collect();
    assert_eq!(budget.used(), LIMIT_BYTES);
    assert!(take(&budget, 1).is_err());
    drop((large, small));
    assert_eq!(budget.used(), 0);
}

#[test]
fn one_message_larger_than_the_budget_fits_beside_small_ones() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let _small = take(&budget, SMALL_MESSAGE_BYTES).unwrap();
    let _large = take(&budget, 2 * LIMIT_BYTES).unwrap();
    assert!(take(&budget, SMALL_MESSAGE_BYTES + 1).is_err());
}

#[test]
fn a_refused_growth_keeps_what_was_reserved() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let _other = take(&budget, 2 * LARGE_BYTES).unwrap();
    let mut growing = take(&budget, LARGE_BYTES).unwrap();
    assert!(growing.grow_to(LARGE_BYTES + 1).is_err());
    assert!(growing.grow_to(1).is_ok());
    assert_eq!(budget.used(), 3 * LARGE_BYTES);
    growing.release();
    assert_eq!(budget.used(), 2 * LARGE_BYTES);
}

#[test]
fn a_budget_is_scarce_above_its_half() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let mut half = take(&budget, LIMIT_BYTES / 2).unwrap();
    assert!(!budget.is_scarce());
    half.grow_to(LIMIT_BYTES / 2 + 1).unwrap();
    assert!(budget.is_scarce());
}

#[test]
fn the_share_for_small_messages_can_be_left_to_others() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let _large = take(&budget, 3 * LARGE_BYTES).unwrap();
    let mut outside = budget.reserve_outside_small_share();
    assert!(outside.grow_to(1).is_err());
    assert!(take(&budget, 1).is_ok());
}
