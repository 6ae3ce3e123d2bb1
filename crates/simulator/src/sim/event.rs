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
    Consensus { to: usize, from: usize, msg: Box<Message> },
    /// The oldest pending write of a voter's disk completes or fails.
    Synced { voter: usize, starts: u64 },
    /// Periodic timer of a router.
    RouterTimer(usize),
    /// A router's lease renewal arrives at a voter.
    Renew { voter: usize, router: usize, info: NodeInfo, sent: Tick },
    /// The answer to a lease renewal arrives at the router.
    Renewed { router: usize, incarnation: u64, epoch: Epoch, sent: Tick },
    /// A router's request for newer state arrives at a voter.
    RequestUpdate { voter: usize, router: usize, have: Index },
    /// A state update arrives at a router.
    StateUpdate { router: usize, state_update: Box<StateUpdate> },
    /// An action of a singleton role arrives at its receiver.
    SingletonAction { fencing_token: FencingToken, node: NodeId },
    /// Operators send operations.
    OperatorCall,
    /// A client reads, or sends an operation again.
    ClientCall,
    /// A client's change arrives at the voter that it was forwarded to.
    Forward { to: usize, change: Box<Change> },
    /// A fault is drawn and injected.
    InjectFault,
    /// A voter's disk begins to refuse writes.
    RefuseWrites { voter: usize, for_ms: u64 },
    /// A voter tries to use its disk again after a refused write.
    RecoverDisk { voter: usize, starts: u64 },
    /// A fault ends.
    EndFault(Box<FaultEnd>),
}
