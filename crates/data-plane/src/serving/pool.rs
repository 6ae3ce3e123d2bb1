//! Connections kept to replicas (design 9.4). Knows lives of replicas, not what is sent to them.

use common::{ReplicaId, Tick, http::Sender};
use std::{collections::HashMap, sync::Mutex};

/// A connection that may be dying is not worth a request: idle ones are used for this long at most,
/// or for half of what the replica told, whichever is less.
const IDLE_MS: u64 = 2_000;

struct Idle {
    tx: Sender,
    until: Tick,
}

#[derive(Default)]
pub struct Pool(Mutex<HashMap<ReplicaId, Vec<Idle>>>);

impl Pool {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ReplicaId, Vec<Idle>>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The one that was used last, if it is open still.
    pub fn take(&self, id: &ReplicaId, now: Tick) -> Option<Sender> {
        let mut g = self.lock();
        let idle = g.get_mut(id)?;
        while let Some(i) = idle.pop() {
            if i.until > now && !i.tx.is_closed() && i.tx.is_ready() {
                return Some(i.tx);
            }
        }
        None
    }

    /// Keeps a connection for another request; `told_ms` is how long the replica keeps it.
    pub fn keep(&self, id: &ReplicaId, tx: Sender, told_ms: Option<u64>, most: usize, now: Tick) {
        if tx.is_closed() {
            return;
        }
        let until = now + told_ms.map_or(IDLE_MS, |t| (t / 2).min(IDLE_MS));
        let mut g = self.lock();
        let idle = g.entry(id.clone()).or_default();
        if idle.len() < most {
            idle.push(Idle { tx, until });
        }
    }

    pub fn idle(&self, id: &ReplicaId) -> usize {
        self.lock().get(id).map_or(0, Vec::len)
    }

    pub fn sweep(&self, now: Tick) {
        let mut g = self.lock();
        g.values_mut().for_each(|v| v.retain(|i| i.until > now && !i.tx.is_closed()));
        g.retain(|_, v| !v.is_empty());
    }
}
