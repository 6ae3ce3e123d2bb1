//! The journal in memory: events appended in order, views folded from it (design 1.5).

use std::{collections::VecDeque, sync::Mutex};

/// A view is state plus the one way an event changes it.
pub trait Fold<E> {
    fn fold(&mut self, ev: &E);
}

#[derive(Debug)]
struct Inner<E, V> {
    seq: u64,
    tail: VecDeque<(u64, E)>,
    view: V,
}

/// Keeps a bounded tail of events and the view that all of them folded into.
#[derive(Debug)]
pub struct Journal<E, V> {
    inner: Mutex<Inner<E, V>>,
    keep: usize,
}

impl<E: Clone, V: Fold<E> + Clone> Journal<E, V> {
    pub fn new(view: V, keep: usize) -> Self {
        let inner = Inner { seq: 0, tail: VecDeque::new(), view };
        Self { inner: Mutex::new(inner), keep }
    }

    pub fn append(&self, ev: E) -> u64 {
        let mut g = self.lock();
        g.seq += 1;
        let seq = g.seq;
        g.view.fold(&ev);
        g.tail.push_back((seq, ev));
        if g.tail.len() > self.keep {
            g.tail.pop_front();
        }
        seq
    }

    pub fn view(&self) -> V {
        self.lock().view.clone()
    }

    pub fn with<R>(&self, f: impl FnOnce(&V) -> R) -> R {
        f(&self.lock().view)
    }

    pub fn tail(&self) -> Vec<(u64, E)> {
        self.lock().tail.iter().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner<E, V>> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}
