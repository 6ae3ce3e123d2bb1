//! What a router is asked by other processes (design 5.7).

use crate::{
    lend::{Pass, Spent},
    pressure::Figures,
    serving::{board::Board, reading::Note},
    tab::{Copy, Settled, UserKey},
};
use common::{Fence, Incarnation, Index, NodeId, Region, Service, Zone};
use control_plane::news::News;
use serde::{Deserialize, Serialize};

pub const SERVICE: &str = "points";

#[derive(Debug, Serialize, Deserialize)]
pub enum Ask {
    /// A sign of life, with what this node has seen.
    Hail {
        #[serde(rename = "idx")]
        index: Index,
    },
    News {
        have: Index,
    },
    /// Settles a miss or a failed placement at the shard's owner: first writer wins.
    Settle {
        fence: Fence,
        key: UserKey,
        service: Service,
        stale: Option<u64>,
        pick: Option<Region>,
        ttl_ms: u64,
    },
    /// From an owner to its followers.
    Copy {
        fence: Fence,
        shard: u16,
        rows: Vec<Copy>,
    },
    /// A new owner asks for what others hold of its shard.
    Fetch {
        shard: u16,
    },
    Watch {
        service: Service,
        #[serde(rename = "area")]
        zone: Zone,
        seq: u64,
        fence: Fence,
        wait_ms: u64,
    },
    /// What this node last heard of a service in an zone, for a home that has just begun.
    Last {
        service: Service,
        #[serde(rename = "area")]
        zone: Zone,
    },
    Passes {
        region: Region,
        service: Service,
        node: NodeId,
    },
    Redeem {
        spent: Spent,
    },
    /// A long prompt was sent to a replica.
    Note {
        note: Note,
    },
    /// What this node publishes of an zone's replicas; being asked makes it publish.
    Board {
        #[serde(rename = "area")]
        zone: Zone,
        seq: u64,
        wait_ms: u64,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Alive, as this incarnation: another one at the same address is no sign of life of the first.
    Hailed {
        #[serde(rename = "idx")]
        index: Index,
        #[serde(rename = "inc")]
        incarnation: Incarnation,
        /// Takes new work now.
        fit: bool,
    },
    News(News),
    Settled(Settled),
    Rows(Vec<Copy>),
    Figures(Figures),
    Pass(Option<Pass>),
    Board(Option<Box<Board>>),
    Done,
    /// Not done, for a named reason.
    #[serde(rename = "Bounced")]
    Rejected(String),
}

impl tarpc::RequestName for Ask {
    fn name(&self) -> &str {
        match self {
            Ask::Hail { .. } => "points.hail",
            Ask::News { .. } => "points.news",
            Ask::Settle { .. } => "points.settle",
            Ask::Copy { .. } => "points.copy",
            Ask::Fetch { .. } => "points.fetch",
            Ask::Watch { .. } => "points.watch",
            Ask::Last { .. } => "points.last",
            Ask::Passes { .. } => "points.passes",
            Ask::Redeem { .. } => "points.redeem",
            Ask::Note { .. } => "points.note",
            Ask::Board { .. } => "points.board",
        }
    }
}
