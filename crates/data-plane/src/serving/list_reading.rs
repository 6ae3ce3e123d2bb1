//! One reading of a zone's part of the platform's list, put together from its pages. Pure.

use super::protocol::ListedReplica;
use common::{ReplicaId, Zone, error::PeerError};
use std::collections::BTreeMap;

/// A whole reading of a zone's part of the list.
#[derive(Debug, Default)]
pub struct ListRead {
    pub(super) rows: BTreeMap<ReplicaId, ListedReplica>,
    pub(super) pages: u32,
}

impl ListRead {
    /// Adds a page. A replica that moved between pages may stand on two: what says that it leaves counts.
    pub fn add(&mut self, zone: &Zone, page: Vec<ListedReplica>) {
        self.pages += 1;
        for row in page.into_iter().filter(|r| r.zone == *zone) {
            let leaving = |r: &ListedReplica| r.draining || r.time_left_ms.is_some();
            if !self.rows.get(&row.id).is_some_and(leaving) {
                self.rows.insert(row.id.clone(), row);
            }
        }
    }
}

/// Why a reading failed.
#[derive(Debug)]
pub enum ListError {
    /// All nodes together ask too often.
    OverRate(PeerError),
    Failed(PeerError),
}
