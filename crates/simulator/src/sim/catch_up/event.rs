//! Events of the simulated cluster.

use control_plane::consensus::Message;

/// An event in the queue. Members are named by their index.
pub(super) enum ClusterEvent {
    /// Periodic timer of a voter.
    Timer(usize),
    /// A message arrives.
    Message {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The message.
        msg: Box<Message>,
    },
    /// The oldest pending write of a voter's disk completes.
    Synced {
        /// The voter.
        voter: usize,
        /// Its number of starts when it wrote.
        starts: u64,
    },
}
