//! What one request's attempts have left behind, and what follows the latest one (design 6.2).

use common::{PeerError, Region, ReplicaId, Tick, http::Body};
use hyper::Response;
use std::collections::BTreeSet;

/// What went before, as far as the next attempt must know it.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    pub attempts: u32,
    /// Regions that are not to be tried again.
    pub avoid: BTreeSet<Region>,
    /// Replicas that were tried.
    pub tried: Vec<ReplicaId>,
    /// Routers of other regions that were tried.
    pub routers: Vec<String>,
    /// An earlier attempt that may have run: from then on the request is never called rejected.
    pub may_have_run: Option<PeerError>,
    /// Until when it may wait in the queue, once it has begun to.
    pub wait_until: Option<Tick>,
}

/// What follows an attempt.
pub(crate) enum AttemptStep {
    /// The final answer.
    Answer(Response<Body>),
    /// It is certain not to have run.
    NotRun(PeerError),
    /// It may have run.
    MayHaveRun(PeerError),
    /// Nothing was tried; the next look leaves out what is to be avoided.
    Again,
    /// There is nowhere to send it now; whether there may be later.
    NoRoom(bool),
}
