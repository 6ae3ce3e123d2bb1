//! What a control node is asked by other processes (design 3.4).

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

/// A client of control nodes.
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
    /// Renewal of a lease.
    Renew {
        /// The node that renews.
        info: NodeInfo,
        /// Up to where it holds the cluster state.
        #[serde(rename = "idx")]
        index: Index,
        /// The revision that is in force there.
        revision: Revision,
    },
    /// A node gives its lease back.
    Leave {
        /// The node.
        info: NodeInfo,
    },
    /// Asks for changes after an index, and waits for one if there is none.
    #[serde(rename = "News")]
    WatchState {
        /// The last index that the asker has; 0 asks for a snapshot.
        have: Index,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// A change to be logged, at the leader only.
    Propose {
        /// The change.
        change: Change,
    },
    /// The newest committed state, from the leader only.
    State,
    /// Asks for a sign of life.
    #[serde(rename = "Hail")]
    Heartbeat {
        /// Up to where the asker holds the cluster state.
        #[serde(rename = "idx")]
        index: Index,
    },
}

/// A control node's answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum ControlResponse {
    /// Received.
    Done,
    /// The lease is extended.
    Renewed {
        /// Number of the membership.
        epoch: Epoch,
        /// Index of the newest committed change, so that a node knows when it lags.
        #[serde(rename = "idx")]
        index: Index,
    },
    /// A change of the membership was proposed: ask again with the next renewal.
    #[serde(rename = "NotYet")]
    Pending,
    /// Another node leads, or none is known to.
    #[serde(rename = "Elsewhere")]
    NotLeader {
        /// The leader, as far as it is known.
        leader: Option<VoterInfo>,
    },
    /// What the asker lacks.
    #[serde(rename = "News")]
    StateUpdate(StateUpdate),
    /// What became of a proposal.
    Proposed(ProposalOutcome),
    /// The newest committed state.
    State(Box<ClusterState>),
    /// A sign of life.
    #[serde(rename = "Hailed")]
    HeartbeatAck {
        /// Up to where the node can tell of changes; 0 if it learns of none.
        #[serde(rename = "idx")]
        index: Index,
    },
}

/// What is known of a proposal (design 4.6).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[must_use]
pub enum ProposalOutcome {
    /// It was committed and applied.
    #[serde(rename = "Settled")]
    Committed {
        /// Its index.
        #[serde(rename = "idx")]
        index: Index,
        /// What came of applying it.
        #[serde(rename = "verdict")]
        outcome: ApplyOutcome,
    },
    /// It was not logged and never will be.
    NotLogged {
        /// The leader, as far as it is known.
        leader: Option<VoterInfo>,
        /// For the operator.
        why: String,
    },
    /// It may take effect or not.
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
