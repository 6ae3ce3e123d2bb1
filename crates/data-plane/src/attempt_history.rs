//! What the attempts of one request have left behind, and what follows from the latest one (design 6.2).

use common::{PeerError, Region, ReplicaId, Tick, http::Body};
use hyper::Response;
use std::collections::BTreeSet;

/// Earlier attempts of a request, as far as they bear on the next one.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Number of attempts so far.
    pub attempts: u32,
    /// Regions that are not to be tried again.
    pub avoid: BTreeSet<Region>,
    /// Replicas that were tried.
    pub tried: Vec<ReplicaId>,
    /// Routers of other regions that were tried.
    pub routers: Vec<String>,
    /// An earlier attempt that may have run: from then on the request is never reported as rejected.
    pub may_have_run: Option<PeerError>,
    /// How long it may wait in the request queue, once it has begun to.
    pub wait_until: Option<Tick>,
}

/// What follows from an attempt.
pub(crate) enum AttemptStep {
    /// The final response is there.
    Answer(Response<Body>),
    /// The attempt certainly did not run.
    NotRun(PeerError),
    /// The attempt may have run.
    MayHaveRun(PeerError),
    /// Nothing was sent; try again with what the history now says to avoid.
    Again,
    /// There is nowhere to send the request now; `true` if that may change soon.
    NoRoom(bool),
}
