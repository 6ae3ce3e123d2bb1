//! Idle connections to replicas (design 9.4), by the life of a replica. Knows nothing of what is sent
//! on them.

use super::connection::Idle;
use common::{ReplicaId, Tick, lock};
use std::{collections::HashMap, sync::Mutex};

#[derive(Default)]
pub struct Pool(Mutex<HashMap<ReplicaId, Vec<Idle>>>);

impl Pool {
    /// The one that was used last, if it is open still.
    pub fn take(&self, id: &ReplicaId, now: Tick) -> Option<Idle> {
        let mut g = lock(&self.0);
        let idle = g.get_mut(id)?;
        while let Some(i) = idle.pop() {
            if i.usable(now) {
                return Some(i);
            }
        }
        None
    }

    /// Keeps a connection for another request, `most` of them for a replica.
    pub fn keep(&self, id: &ReplicaId, idle: Idle, most: usize, now: Tick) {
        if idle.over(now) {
            return;
        }
        let mut g = lock(&self.0);
        let kept = g.entry(id.clone()).or_default();
        if kept.len() < most {
            kept.push(idle);
        }
    }

    pub fn idle(&self, id: &ReplicaId) -> usize {
        lock(&self.0).get(id).map_or(0, Vec::len)
    }

    pub fn sweep(&self, now: Tick) {
        let mut g = lock(&self.0);
        g.values_mut().for_each(|v| v.retain(|i| !i.over(now)));
        g.retain(|_, v| !v.is_empty());
    }
}
