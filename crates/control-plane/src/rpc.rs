//! What a control node is asked by other processes (design 3.4).

use crate::{
    change::{Change, NodeInfo, Verdict, VoterInfo},
    consensus::Message,
    ledger::Ledger,
    news::News,
};
use common::{Epoch, Index, Revision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub const SERVICE: &str = "signal";

#[derive(Debug, Serialize, Deserialize)]
pub enum Ask {
    Consensus {
        from: SocketAddr,
        msg: Box<Message>,
    },
    /// Renewal of a lease, with what governs at the holder.
    Renew {
        info: NodeInfo,
        #[serde(rename = "idx")]
        index: Index,
        revision: Revision,
    },
    Leave {
        info: NodeInfo,
    },
    News {
        have: Index,
        wait_ms: u64,
    },
    Propose {
        change: Change,
    },
    /// The newest accepted state, from the leader only.
    State,
    Hail {
        #[serde(rename = "idx")]
        index: Index,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    Done,
    /// With the place of the newest accepted change, so that a node knows when it lags.
    Renewed {
        epoch: Epoch,
        #[serde(rename = "idx")]
        index: Index,
    },
    /// Asked for; come again with the next renewal.
    NotYet,
    Elsewhere {
        leader: Option<VoterInfo>,
    },
    News(News),
    Proposed(Proposed),
    State(Box<Ledger>),
    Hailed {
        #[serde(rename = "idx")]
        index: Index,
    },
}

/// Three results only, and one that says that nothing was tried (design 4.6).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Proposed {
    Settled {
        #[serde(rename = "idx")]
        index: Index,
        verdict: Verdict,
    },
    NotLogged {
        leader: Option<VoterInfo>,
        why: String,
    },
    Undetermined,
}

impl tarpc::RequestName for Ask {
    fn name(&self) -> &str {
        match self {
            Ask::Consensus { .. } => "signal.seat",
            Ask::Renew { .. } => "signal.renew",
            Ask::Leave { .. } => "signal.leave",
            Ask::News { .. } => "signal.news",
            Ask::Propose { .. } => "signal.propose",
            Ask::State => "signal.state",
            Ask::Hail { .. } => "signal.hail",
        }
    }
}

/// Answers all of it at a control node.
pub async fn listen(
    listener: common::runtime::Listener,
    me: common::link::LocalNode,
    core: std::sync::Arc<crate::core::Core>,
) {
    common::link::listen(listener, me, SERVICE, move |_node, ask| core.clone().answer(ask)).await
}
