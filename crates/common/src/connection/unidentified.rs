//! Connections of peers that have not identified themselves yet, of which there is a largest number.

use super::{
    ConnectionLimits,
    open_connections::{ListedConnection, OpenConnections},
    timing::{Progress, timed_out},
};
use crate::memory_budget::MemoryBudget;
use std::{sync::Arc, time::Duration};

/// The connections of a listener whose peers have not identified themselves.
pub(crate) struct UnidentifiedConnections {
    list: Arc<OpenConnections>,
    /// Empty: a first message is bounded by its codec, and nothing is reserved for it.
    memory: Arc<MemoryBudget>,
    timeout: Duration,
}

/// One of them; taken from the list when dropped.
pub(crate) struct UnidentifiedConnection {
    progress: Arc<Progress>,
    timeout: Duration,
    _listed: ListedConnection,
}

impl UnidentifiedConnections {
    /// At most `max` connections, whose peers must identify themselves within `timeout`.
    pub(crate) fn new(max: usize, timeout: Duration) -> Self {
        Self { list: OpenConnections::new(max), memory: MemoryBudget::new(0), timeout }
    }

    /// Adds a connection, for which one that has waited longer may have to close; `None` if none may.
    pub(crate) fn enter(&self) -> Option<UnidentifiedConnection> {
        let progress = Arc::new(Progress::new(&self.memory));
        let listed = self.list.enter(progress.clone())?;
        Some(UnidentifiedConnection { progress, timeout: self.timeout, _listed: listed })
    }
}

impl UnidentifiedConnection {
    /// Completes when the connection is to be closed: its peer took too long, or another connection needs the room.
    pub(crate) async fn expired(&self) {
        let limits =
            || ConnectionLimits { idle_timeout_ms: self.timeout.as_millis() as u64, ..Default::default() };
        timed_out(&self.progress, limits).await;
    }
}
