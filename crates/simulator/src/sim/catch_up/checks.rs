//! The invariants looked at after each step, and the variants that break them.

use super::{cluster::Cluster, member::counted};
use control_plane::{
    consensus::{Message, VoterRole},
    types::SizeLimits,
};

impl Cluster {
    /// Nobody counts for more than its disk holds, nobody leads without all that was accepted, and
    /// the log in memory is bounded (design 2.8).
    pub(super) fn check(&mut self) -> Result<(), String> {
        let most = 2 * SizeLimits::default().batch();
        for (n, member) in self.members.iter().enumerate() {
            let Some(voter) = member.voter.as_ref() else { continue };
            if !matches!(voter.role, VoterRole::Leader { .. }) {
                continue;
            }
            if voter.last_index() < self.highest {
                return Err(format!("s{n} leads without {}", self.highest));
            }
            for (other, held) in counted(voter) {
                let durable = self.members[usize::from(other)].durable();
                if durable < held {
                    return Err(format!("s{other} counts for {held} at s{n} and holds {durable}"));
                }
            }
            let kept = member.log_weight();
            self.measured.kept = self.measured.kept.max(kept);
            if kept > most {
                return Err(format!("s{n} keeps {kept} bytes of log, over {most}"));
            }
        }
        Ok(())
    }

    pub(super) fn forget_feeds(&mut self, n: usize) {
        let Some(voter) = self.members[n].voter.as_mut() else { return };
        if let VoterRole::Leader { peers, .. } = &mut voter.role {
            peers.values_mut().for_each(|p| p.in_flight = None);
        }
    }

    pub(super) fn claim_all(&self, msg: &mut Message) {
        if let (Message::AppendReply { installed, last, .. }, Some(leader)) = (msg, self.leader()) {
            *installed = true;
            *last = leader.last_index();
        }
    }
}
