//! A seat's part in its view (design 2.3).

use super::{Body, Tail, Voter};
use gauge::{Index, Tick, View};
use std::{collections::BTreeMap, net::SocketAddr};

#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub installed: bool,
    pub last: Index,
    pub accepted: Index,
    /// Send time, on our clock, of the newest feed that it answered.
    pub stamp: Tick,
}

/// A leader's feed as it arrived.
pub(crate) struct Feed {
    pub from: SocketAddr,
    pub by: Voter,
    pub to: u8,
    pub view: View,
    pub accepted: Index,
    pub stamp: Tick,
    pub body: Body,
}

#[derive(Clone, Debug)]
pub enum Post {
    Follower {
        leader: Option<Voter>,
        heard: Tick,
    },
    Canvass {
        view: View,
        ayes: Vec<u8>,
        since: Tick,
    },
    Candidate {
        view: View,
        got: BTreeMap<u8, Tail>,
        since: Tick,
    },
    /// Speaks for the whole order only once all up to `floor` is accepted in its own view.
    Leader {
        peers: BTreeMap<u8, Peer>,
        since: Tick,
        floor: Index,
    },
}
