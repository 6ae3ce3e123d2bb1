//! What operators and clients of a soak were told, and the checks of it.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// The answers to operators and clients.
#[derive(Debug, Default)]
pub struct History {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The operation that was reported as accepted, and its document, by revision.
    accepted: BTreeMap<u64, (String, String)>,
    answers: usize,
    violations: Vec<String>,
}

impl History {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an operator was told that its document is accepted as this revision. No two operations may have the
    /// same one.
    pub fn record_accepted(&self, revision: u64, operation: &str, document: &str) {
        let mut inner = self.lock();
        let known = inner.accepted.insert(revision, (operation.into(), document.into()));
        if let Some((other, _)) = known.filter(|(other, _)| other != operation) {
            inner
                .violations
                .push(format!("{other} and {operation} were both accepted as revision {revision}"));
        }
    }

    /// Records a complete answer to a read that was sent when `acknowledged` was the newest acknowledged revision.
    pub fn record_read(&self, node: &str, acknowledged: u64, revision: u64, document: &str) {
        let mut inner = self.lock();
        if revision < acknowledged {
            let violation =
                format!("{node} served revision {revision} after {acknowledged} was acknowledged");
            inner.violations.push(violation);
        }
        let differs = inner.accepted.get(&revision).is_some_and(|(_, accepted)| accepted != document);
        if differs {
            inner.violations.push(format!("{node} served another document as revision {revision}"));
        }
    }

    /// Records a complete answer of any status.
    pub fn record_answer(&self) {
        self.lock().answers += 1;
    }

    /// Records something that must not happen.
    pub fn violation(&self, what: String) {
        self.lock().violations.push(what);
    }

    /// The newest revision that an operator was told is accepted.
    pub fn newest_acknowledged(&self) -> u64 {
        self.lock().accepted.keys().next_back().copied().unwrap_or_default()
    }

    /// Number of changes that were reported as accepted.
    pub fn accepted(&self) -> usize {
        self.lock().accepted.len()
    }

    /// Number of complete answers.
    pub fn answers(&self) -> usize {
        self.lock().answers
    }

    /// What must not happen, and did.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }
}
