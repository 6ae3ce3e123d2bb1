//! Requests from other processes to a control node, and its responses (design 3.4).

use crate::{
    consensus::Message,
    state_machine::{ClusterState, state_update::StateUpdate},
    types::{ApplyOutcome, Change, NodeInfo, VoterInfo},
};
use common::{Epoch, Index, Revision, rpc::RpcClient};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Name of the service in a connection's handshake.
pub const SERVICE: &str = "signal";

/// Client for requests to control nodes.
pub type ControlClient = RpcClient<ControlRequest, ControlResponse>;

/// A request to a control node.
#[derive(Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A message between voters.
    Consensus {
        /// RPC address of the sender.
        from: SocketAddr,
        /// The message.
        msg: Box<Message>,
    },
    /// A node asks to renew its lease, or to join.
    Renew {
        /// The node that renews.
        info: NodeInfo,
        /// Index of the node's copy of the cluster state.
        #[serde(rename = "idx")]
        index: Index,
        /// Revision of the document that is active on the node.
        revision: Revision,
    },
    /// A node gives up its lease.
    Leave {
        /// The node.
        info: NodeInfo,
    },
    /// Asks for the changes after an index, and waits for one if there is none yet (a long poll).
    #[serde(rename = "News")]
    WatchState {
        /// Last index that the caller has; 0 asks for a snapshot.
        have: Index,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// Proposes a change; only the leader logs it.
    Propose {
        /// The change.
        change: Change,
    },
    /// Asks for the newest committed state; only the leader answers with it.
    State,
    /// Checks that the node responds.
    #[serde(rename = "Hail")]
    Heartbeat {
        /// Index of the caller's copy of the cluster state.
        #[serde(rename = "idx")]
        index: Index,
    },
}

/// A control node's response.
#[derive(Debug, Serialize, Deserialize)]
pub enum ControlResponse {
    /// The request was handled; there is no result.
    Done,
    /// The lease is extended.
    Renewed {
        /// Epoch of the membership.
        epoch: Epoch,
        /// Index of the newest committed change, so that a node can detect that it lags behind.
        #[serde(rename = "idx")]
        index: Index,
    },
    /// The lease is not granted yet: ask again with the next renewal.
    #[serde(rename = "NotYet")]
    Pending,
    /// This node is not the leader, or can't confirm that it is.
    #[serde(rename = "Elsewhere")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<VoterInfo>,
    },
    /// The changes that the caller lacks.
    #[serde(rename = "News")]
    StateUpdate(StateUpdate),
    /// Outcome of a proposal.
    Proposed(ProposalOutcome),
    /// The newest committed state.
    State(Box<ClusterState>),
    /// The node responds.
    #[serde(rename = "Hailed")]
    HeartbeatAck {
        /// Index up to which the node can offer changes; 0 if none reach it.
        #[serde(rename = "idx")]
        index: Index,
    },
}

/// Outcome of a proposal, as far as it is known (design 4.6).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[must_use]
pub enum ProposalOutcome {
    /// The change was committed and applied.
    #[serde(rename = "Settled")]
    Committed {
        /// Index of its entry.
        #[serde(rename = "idx")]
        index: Index,
        /// Outcome of applying it.
        #[serde(rename = "verdict")]
        outcome: ApplyOutcome,
    },
    /// The change was not logged and never will be.
    NotLogged {
        /// The leader, if it is known.
        leader: Option<VoterInfo>,
        /// Why, in words for the operator.
        why: String,
    },
    /// The change may take effect or not.
    Undetermined,
}

impl tarpc::RequestName for ControlRequest {
    fn name(&self) -> &str {
        match self {
            ControlRequest::Consensus { .. } => "control.consensus",
            ControlRequest::Renew { .. } => "control.renew",
            ControlRequest::Leave { .. } => "control.leave",
            ControlRequest::WatchState { .. } => "control.watch-state",
            ControlRequest::Propose { .. } => "control.propose",
            ControlRequest::State => "control.state",
            ControlRequest::Heartbeat { .. } => "control.heartbeat",
        }
    }
}
