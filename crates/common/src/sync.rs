//! Locks.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, whether or not a thread panicked while it held it.
///
/// Poisoning is ignored on purpose: what these locks guard is changed in single steps that leave it consistent,
/// and a process that goes on with it serves better than one that panics at every later use.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
