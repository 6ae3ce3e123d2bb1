//! The open connections of clients, of which there is a largest number: beyond it, a connection that has waited long
//! for a request, or for the rest of one, is closed to make room for a new one.

use super::timing::Progress;
use crate::{runtime::random_in, sync::lock};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

/// How many connections are compared to find one to close.
const SAMPLES: usize = 16;

#[derive(Default)]
struct Connections {
    next_id: u64,
    /// Ids and connections, in no order.
    open: Vec<(u64, Arc<Progress>)>,
    /// Position of each id in `open`.
    positions: HashMap<u64, usize>,
}

impl Connections {
    fn insert(&mut self, progress: Arc<Progress>) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.positions.insert(id, self.open.len());
        self.open.push((id, progress));
        id
    }

    fn remove(&mut self, id: u64) {
        let Some(position) = self.positions.remove(&id) else { return };
        self.open.swap_remove(position);
        if let Some((moved, _)) = self.open.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    /// Closes the connection that has waited longest among some drawn at random. Returns whether there was one.
    fn evict_one(&mut self) -> bool {
        let drawn = (0..SAMPLES).map(|_| random_in(0..self.open.len()));
        let waiting = drawn.filter_map(|position| {
            let (id, progress) = &self.open[position];
            Some((progress.evictable_since()?, *id, position))
        });
        let Some((_, id, position)) = waiting.min() else { return false };
        let closes = self.open[position].1.evict();
        if closes {
            self.remove(id);
        }
        closes
    }
}

/// The open connections, up to a largest number.
pub(super) struct OpenConnections {
    max: usize,
    connections: Mutex<Connections>,
}

/// Stands for one connection in the list until it is dropped.
pub(super) struct ListedConnection {
    list: Arc<OpenConnections>,
    id: u64,
}

impl OpenConnections {
    pub(super) fn new(max: usize) -> Arc<Self> {
        Arc::new(Self { max: max.max(1), connections: Mutex::default() })
    }

    /// Adds a connection, for which another one may have to close; `None` if none may.
    pub(super) fn enter(self: &Arc<Self>, progress: Arc<Progress>) -> Option<ListedConnection> {
        let mut connections = lock(&self.connections);
        if connections.open.len() >= self.max && !connections.evict_one() {
            return None;
        }
        let id = connections.insert(progress);
        Some(ListedConnection { list: self.clone(), id })
    }
}

impl Drop for ListedConnection {
    fn drop(&mut self) {
        lock(&self.list.connections).remove(self.id);
    }
}
