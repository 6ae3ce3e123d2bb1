//! Locking of mutexes.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even if a thread panicked while it held the lock.
///
/// Poisoning is ignored on purpose: each change under these locks leaves the data consistent, and a process that keeps
/// serving is better than one that panics at every later use.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
