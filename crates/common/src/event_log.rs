//! An event log in memory: events are appended in order, and a view is derived from them (design 1.5).

use crate::sync::lock;
use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};

/// State that is derived from events.
pub trait View<E> {
    /// Applies an event. Nothing else changes the state.
    fn apply(&mut self, event: &E);
}

#[derive(Debug)]
struct Inner<E, V> {
    last_number: u64,
    tail: VecDeque<(u64, E)>,
    view: V,
}

/// The newest events, and the view that results from all events ever appended.
#[derive(Debug)]
pub struct EventLog<E, V> {
    inner: Mutex<Inner<E, V>>,
    retained: usize,
}

impl<E: Clone, V: View<E> + Clone> EventLog<E, V> {
    /// An empty log that keeps the newest `retained` events.
    pub fn new(view: V, retained: usize) -> Self {
        let inner = Inner { last_number: 0, tail: VecDeque::new(), view };
        Self { inner: Mutex::new(inner), retained }
    }

    /// Appends an event and returns its number. Numbers start at 1.
    pub fn append(&self, event: E) -> u64 {
        let mut inner = self.lock();
        inner.last_number += 1;
        let number = inner.last_number;
        inner.view.apply(&event);
        inner.tail.push_back((number, event));
        if inner.tail.len() > self.retained {
            inner.tail.pop_front();
        }
        number
    }

    /// A copy of the view.
    pub fn view(&self) -> V {
        self.lock().view.clone()
    }

    /// Reads the view without copying it, under the lock of the log.
    pub fn with_view<R>(&self, read: impl FnOnce(&V) -> R) -> R {
        read(&self.lock().view)
    }

    /// The retained events with their numbers, oldest first.
    pub fn tail(&self) -> Vec<(u64, E)> {
        self.lock().tail.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<E, V>> {
        lock(&self.inner)
    }
}
