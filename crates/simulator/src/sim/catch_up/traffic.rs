//! What the voters are sent: messages over their lines, and changes one after the other.

use super::{
    BrokenCatchUp, Documents,
    cluster::{Cluster, ClusterEvent},
    member::{Member, VOTERS},
};
use crate::sim::invariants::check_blank_voter_message;
use control_plane::{
    Change, Document,
    consensus::{AppendBody, Event, Message},
    types::SizeLimits,
};
use rand::{Rng, rngs::SmallRng};

/// Bytes of a message beside the state that it carries.
const HEAD: usize = 128;
/// Lengths that growing documents go through.
const SIZES: u64 = 16;
const SMALL: usize = 200;

impl Cluster {
    pub(super) fn send(&mut self, from: usize, to: usize, mut msg: Message) -> Result<(), String> {
        if self.members[from].cut || self.members[to].cut || self.members[to].voter.is_none() {
            return Ok(());
        }
        if self.members[from].voter.as_ref().is_some_and(|s| !s.initialized) {
            let running = self.members.iter().filter_map(|member| member.voter.as_ref());
            let committed: Vec<_> = running.flat_map(|voter| &voter.cluster_state.voters).collect();
            check_blank_voter_message(&msg, Some(&self.members[from].kept), &committed)
                .map_err(|what| format!("s{from} {what}"))?;
        }
        if self.broken == Some(BrokenCatchUp::CountsEarly) && self.watched == Some(from) {
            self.claim_all(&mut msg);
        }
        if self.watched == Some(to) {
            self.measured.bytes += msg.max_payload_len();
            let snapshot =
                matches!(&msg, Message::Append { body: AppendBody::Install { snapshot: Some(_), .. }, .. });
            self.measured.snapshots += usize::from(snapshot);
        }
        self.measured.longest = self.measured.longest.max(msg.max_payload_len());
        let line = self.lines.entry((from, to)).or_default();
        let arrives = line.send(self.t, HEAD + msg.max_payload_len(), self.speed, &mut self.rng);
        self.push(arrives, ClusterEvent::Message { from, to, msg: Box::new(msg) });
        Ok(())
    }

    /// The next change, once the one before it is accepted; one that was lost is given up.
    pub(super) fn propose(&mut self) -> Result<(), String> {
        let now = self.now();
        if self.accepted_changes() >= self.propose_until {
            return Ok(());
        }
        let current = |m: &Member| !m.cut && m.voter.as_ref().is_some_and(|s| s.can_serve_reads(now));
        let Some(n) = (0..VOTERS).find(|n| current(&self.members[*n])) else { return Ok(()) };
        let Some(voter) = self.members[n].voter.as_ref() else { return Ok(()) };
        if self.waiting.is_some_and(|w| w <= voter.last_index() && w > voter.commit_index()) {
            return Ok(());
        }
        self.proposed += 1;
        let size = self.accepted_changes() * self.documents.len() as u64 / self.changes.max(1);
        let text = self.documents[(size as usize).min(self.documents.len() - 1)].clone();
        let op = format!("change-{}", self.proposed).as_str().into();
        let change = Change::Apply { op, base: voter.cluster_state.revision, text };
        self.waiting = Some(voter.last_index().next());
        self.step(n, Event::Propose(change))
    }
}

/// Documents that don't pack, in the order in which the changes bring them.
pub(super) fn documents(kind: Documents, rng: &mut SmallRng) -> Vec<Document> {
    let mut text = |len: usize| -> Document {
        let letters: String = (0..len).map(|_| char::from(rng.random_range(b' '..=b'~'))).collect();
        letters.into()
    };
    match kind {
        Documents::Small => vec![text(SMALL)],
        Documents::Growing => {
            let longest = SizeLimits::default().document() as u64;
            (1..=SIZES).map(|n| text((longest * n / SIZES) as usize)).collect()
        }
    }
}
