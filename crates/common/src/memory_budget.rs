//! A bound on the memory that the bytes of clients take in a process: request heads and bodies, from their arrival
//! until the last copy is dropped (design 1.12).

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Size up to which a message counts as small.
pub const SMALL_MESSAGE_BYTES: usize = 64 << 10;
/// Fraction of the budget that is kept for small messages, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 4;

/// The budget of one process.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The budget has no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

impl fmt::Display for OutOfMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the memory for requests is used up")
    }
}

impl std::error::Error for OutOfMemory {}

impl MemoryBudget {
    /// A budget of `limit_bytes`, of which nothing is used.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self { limit_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// A reservation of no bytes. Up to [`SMALL_MESSAGE_BYTES`] it may use the share that is kept for small messages.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0, small_bytes: SMALL_MESSAGE_BYTES }
    }

    /// A reservation of no bytes that never uses the share for small messages.
    pub fn reserve_outside_small_share(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0, small_bytes: 0 }
    }

    /// Bytes that are reserved now.
    pub fn used(&self) -> usize {
        self.used_bytes.load(Ordering::Acquire)
    }

    /// Whether more than half of the budget is used, so that clients that hold memory and send nothing are refused.
    pub fn is_scarce(&self) -> bool {
        self.used() > self.limit_bytes / 2
    }

    fn small_share(&self) -> usize {
        self.limit_bytes / SMALL_SHARE_DIVISOR
    }

    /// Whether a message may take `bytes` while others take `others`. A small one may use the whole budget, a larger
    /// one all but the share for small ones. One large message always fits if the others take no more than that
    /// share, whatever the size of the budget.
    fn allows(&self, bytes: usize, is_small: bool, others: usize) -> bool {
        let total = bytes.saturating_add(others);
        if is_small {
            return total <= self.limit_bytes;
        }
        total <= self.limit_bytes - self.small_share() || others <= self.small_share()
    }
}

/// Bytes that one message holds of a budget; returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
    /// Up to this size the message counts as small.
    small_bytes: usize,
}

impl Reservation {
    /// Raises the reservation to `bytes` in total; a smaller number changes nothing.
    ///
    /// # Errors
    /// The budget has no room; the reservation is as before.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let (budget, held) = (&self.budget, self.bytes);
        let is_small = bytes <= self.small_bytes;
        let grown = budget.used_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
            let others = used - held;
            budget.allows(bytes, is_small, others).then(|| others + bytes)
        });
        grown.map_err(|_| OutOfMemory)?;
        self.bytes = bytes;
        Ok(())
    }

    /// Returns all bytes to the budget.
    pub fn release(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
