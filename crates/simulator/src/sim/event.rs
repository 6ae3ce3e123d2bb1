//! Events of the simulated world.

use super::faults::FaultEnd;
use common::{Epoch, FencingToken, Index, NodeId, Tick};
use control_plane::{Change, consensus::Message, state_machine::state_update::StateUpdate, types::NodeInfo};

/// An event in the queue. Voters and routers are named by their index.
#[derive(Debug)]
pub enum SimEvent {
    /// Periodic timer of a voter.
    VoterTimer(usize),
    /// A consensus message arrives.
    Consensus {
        /// The receiving voter.
        to: usize,
        /// The sending voter.
        from: usize,
        /// The message.
        msg: Box<Message>,
    },
    /// The oldest pending write of a voter's disk completes or fails.
    Synced {
        /// The voter.
        voter: usize,
        /// Its number of starts when it wrote.
        starts: u64,
    },
    /// Periodic timer of a router.
    RouterTimer(usize),
    /// A router's lease renewal arrives at a voter.
    Renew {
        /// The receiving voter.
        voter: usize,
        /// The sending router.
        router: usize,
        /// The router's identity.
        info: NodeInfo,
        /// When the router sent it, by its own clock.
        sent: Tick,
    },
    /// The answer to a lease renewal arrives at the router.
    Renewed {
        /// The receiving router.
        router: usize,
        /// Incarnation of the router process that asked.
        incarnation: u64,
        /// Epoch of the router's membership.
        epoch: Epoch,
        /// When the router sent the renewal, by its own clock.
        sent: Tick,
    },
    /// A router's request for newer state arrives at a voter.
    RequestUpdate {
        /// The receiving voter.
        voter: usize,
        /// The asking router.
        router: usize,
        /// Log index of the state that the router has.
        have: Index,
    },
    /// A state update arrives at a router.
    StateUpdate {
        /// The receiving router.
        router: usize,
        /// The update.
        state_update: Box<StateUpdate>,
    },
    /// An action of a singleton role arrives at its receiver.
    SingletonAction {
        /// Fencing token under which the holder acted.
        fencing_token: FencingToken,
        /// The holder.
        node: NodeId,
    },
    /// Operators send operations.
    OperatorCall,
    /// A client reads, or sends a new or an earlier operation.
    ClientCall,
    /// A client's change arrives at the voter that it was forwarded to.
    Forward {
        /// The receiving voter.
        to: usize,
        /// The change to propose.
        change: Box<Change>,
    },
    /// A fault is drawn and injected.
    InjectFault,
    /// A voter's disk begins to refuse writes.
    RefuseWrites {
        /// The voter.
        voter: usize,
        /// Time until the disk works again.
        for_ms: u64,
    },
    /// A voter tries to use its disk again after a refused write.
    RecoverDisk {
        /// The voter.
        voter: usize,
        /// Its number of starts when the write was refused.
        starts: u64,
    },
    /// A fault ends.
    EndFault(Box<FaultEnd>),
}
