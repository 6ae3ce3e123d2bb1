//! The invariants that are checked after each event, and the actions of the broken variants.

use super::{cluster::Cluster, member::acknowledged};
use control_plane::{
    consensus::{Message, VoterRole},
    types::SizeLimits,
};

impl Cluster {
    /// A member's disk holds all that its leader takes as acknowledged, a leader holds all committed entries, and its
    /// log in memory is bounded (design 2.8).
    pub(super) fn check(&mut self) -> Result<(), String> {
        let max_log_bytes = 2 * SizeLimits::default().batch();
        for (leader, member) in self.members.iter().enumerate() {
            let Some(voter) = member.voter.as_ref() else { continue };
            if !matches!(voter.role, VoterRole::Leader { .. }) {
                continue;
            }
            if voter.last_index() < self.highest_committed {
                return Err(format!(
                    "s{leader} leads without the committed entry {}",
                    self.highest_committed
                ));
            }
            for (other, held) in acknowledged(voter) {
                let durable = self.members[usize::from(other)].durable_index();
                if durable < held {
                    return Err(format!(
                        "s{leader} has {held} as acknowledged by s{other}, whose disk holds {durable}"
                    ));
                }
            }
            let log_bytes = member.log_weight();
            self.measured.log_bytes = self.measured.log_bytes.max(log_bytes);
            if log_bytes > max_log_bytes {
                return Err(format!("s{leader} keeps {log_bytes} bytes of log, over {max_log_bytes}"));
            }
        }
        Ok(())
    }

    /// Broken variant: a leader forgets what it has in flight.
    pub(super) fn forget_in_flight(&mut self, member: usize) {
        let Some(voter) = self.members[member].voter.as_mut() else { return };
        if let VoterRole::Leader { peers, .. } = &mut voter.role {
            peers.values_mut().for_each(|p| p.in_flight = None);
        }
    }

    /// Broken variant: changes a reply so that it acknowledges the leader's whole log.
    pub(super) fn claim_whole_log(&self, msg: &mut Message) {
        if let (Message::AppendReply { installed, last, .. }, Some(leader)) = (msg, self.leader()) {
            *installed = true;
            *last = leader.last_index();
        }
    }
}
