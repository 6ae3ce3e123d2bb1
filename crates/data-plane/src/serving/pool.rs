//! A pool of idle connections to replicas (design 9.4). The id of a replica stands for one run of its process, so
//! that a restarted replica gets no connection of the previous run.

use super::connection::Idle;
use common::{ReplicaId, Tick, lock};
use std::{collections::HashMap, sync::Mutex};

/// Idle connections of each replica.
#[derive(Default)]
pub struct Pool(Mutex<HashMap<ReplicaId, Vec<Idle>>>);

impl Pool {
    /// Takes the most recently used connection that is still usable; drops those that are not.
    pub fn take(&self, id: &ReplicaId, now: Tick) -> Option<Idle> {
        let mut pool = lock(&self.0);
        let connections = pool.get_mut(id)?;
        while let Some(idle) = connections.pop() {
            if idle.usable(now) {
                return Some(idle);
            }
        }
        None
    }

    /// Keeps a connection for another request, at most `max` of them for a replica.
    pub fn keep(&self, id: &ReplicaId, idle: Idle, max: usize, now: Tick) {
        if idle.expired(now) {
            return;
        }
        let mut pool = lock(&self.0);
        let kept = pool.entry(id.clone()).or_default();
        if kept.len() < max {
            kept.push(idle);
        }
    }

    /// The number of idle connections to a replica.
    pub fn idle(&self, id: &ReplicaId) -> usize {
        lock(&self.0).get(id).map_or(0, Vec::len)
    }

    /// Drops connections that can't be used any more.
    pub fn sweep(&self, now: Tick) {
        let mut pool = lock(&self.0);
        pool.values_mut().for_each(|v| v.retain(|idle| !idle.expired(now)));
        pool.retain(|_, v| !v.is_empty());
    }
}
