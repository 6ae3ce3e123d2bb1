//! What the fake replicas log of each request that they run; the audit compares it with the callers' answers.

use crate::fake_replica::FakeReplica;
use std::{collections::HashMap, sync::Arc};
use tokio::time::Instant;

/// One run of a request at a replica.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// The caller's id of the request.
    pub request_id: String,
    /// The tenant that the router named.
    pub tenant: String,
    /// Path of the request.
    pub path: String,
    /// When it began.
    pub at: Instant,
    /// Whether its prompt prefix was in the cache.
    pub warm: bool,
    /// Open runs at this replica when this one began, including itself.
    pub open: usize,
}

/// The runs of all replicas by request id.
pub fn runs_by_request(
    replicas: &[Arc<FakeReplica>],
) -> HashMap<String, Vec<(Arc<FakeReplica>, RequestRun)>> {
    let mut runs: HashMap<String, Vec<(Arc<FakeReplica>, RequestRun)>> = HashMap::new();
    for replica in replicas {
        for run in replica.runs() {
            runs.entry(run.request_id.clone()).or_default().push((replica.clone(), run));
        }
    }
    runs
}
