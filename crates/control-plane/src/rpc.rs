//! What a control node is asked by other processes (design 3.4).

use crate::{
    change::{ApplyOutcome, Change, NodeInfo, VoterInfo},
    cluster_state::ClusterState,
    consensus::Message,
    state_update::StateUpdate,
};
use common::{Epoch, Index, Revision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub const SERVICE: &str = "signal";

#[derive(Debug, Serialize, Deserialize)]
pub enum ControlRequest {
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
    #[serde(rename = "News")]
    WatchState {
        have: Index,
        wait_ms: u64,
    },
    Propose {
        change: Change,
    },
    /// The newest accepted state, from the leader only.
    State,
    #[serde(rename = "Hail")]
    Heartbeat {
        #[serde(rename = "idx")]
        index: Index,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub enum ControlResponse {
    Done,
    /// With the place of the newest accepted change, so that a node knows when it lags.
    Renewed {
        epoch: Epoch,
        #[serde(rename = "idx")]
        index: Index,
    },
    /// Asked for; come again with the next renewal.
    #[serde(rename = "NotYet")]
    Pending,
    #[serde(rename = "Elsewhere")]
    NotLeader {
        leader: Option<VoterInfo>,
    },
    #[serde(rename = "News")]
    StateUpdate(StateUpdate),
    Proposed(ProposalOutcome),
    State(Box<ClusterState>),
    #[serde(rename = "Hailed")]
    HeartbeatAck {
        #[serde(rename = "idx")]
        index: Index,
    },
}

/// Three results only, and one that says that nothing was tried (design 4.6).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    #[serde(rename = "Settled")]
    Committed {
        #[serde(rename = "idx")]
        index: Index,
        #[serde(rename = "verdict")]
        outcome: ApplyOutcome,
    },
    NotLogged {
        leader: Option<VoterInfo>,
        why: String,
    },
    Undetermined,
}

impl tarpc::RequestName for ControlRequest {
    fn name(&self) -> &str {
        match self {
            ControlRequest::Consensus { .. } => "signal.seat",
            ControlRequest::Renew { .. } => "signal.renew",
            ControlRequest::Leave { .. } => "signal.leave",
            ControlRequest::WatchState { .. } => "signal.news",
            ControlRequest::Propose { .. } => "signal.propose",
            ControlRequest::State => "signal.state",
            ControlRequest::Heartbeat { .. } => "signal.hail",
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
