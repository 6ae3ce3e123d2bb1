//! One read of a zone's part of the platform's list of replicas, assembled from its pages. Pure.

use super::protocol::ListedReplica;
use common::{ReplicaId, Zone, error::PeerError};
use std::collections::BTreeMap;

/// A complete read of a zone's part of the list.
#[derive(Debug, Default)]
pub struct ListRead {
    pub(super) rows: BTreeMap<ReplicaId, ListedReplica>,
    pub(super) pages: u32,
}

impl ListRead {
    /// Adds a page. A replica that moved between pages during the read may be on two of them; the entry that says
    /// that it leaves takes precedence.
    pub fn add(&mut self, zone: &Zone, page: Vec<ListedReplica>) {
        self.pages += 1;
        for row in page.into_iter().filter(|row| row.zone == *zone) {
            let is_leaving = |row: &ListedReplica| row.draining || row.time_left_ms.is_some();
            if !self.rows.get(&row.id).is_some_and(is_leaving) {
                self.rows.insert(row.id.clone(), row);
            }
        }
    }
}

/// Why a read failed.
#[derive(Debug)]
pub enum ListError {
    /// The platform refused the call because all nodes together exceed the rate for it.
    OverRate(PeerError),
    /// The call failed otherwise.
    Failed(PeerError),
}
