//! What the voters get: messages over their links, and proposed changes.

use super::{
    BrokenCatchUp, Documents,
    cluster::Cluster,
    event::ClusterEvent,
    member::{Member, VOTERS},
};
use crate::sim::invariants::check_blank_voter_message;
use control_plane::{
    Change, Document,
    consensus::{AppendBody, Event, Message, Voter},
    types::SizeLimits,
    types::VoterInfo,
};
use rand::{Rng, rngs::SmallRng};

/// Bytes of a message besides the state that it carries.
const OVERHEAD_BYTES: usize = 128;
/// Number of lengths that growing documents go through.
const SIZE_STEPS: u64 = 16;
/// Length of a small document.
const SMALL_BYTES: usize = 200;

impl Cluster {
    /// Sends a message, and counts it if it is for the measured member. It is lost if either side is cut off, or the
    /// receiver is down.
    pub(super) fn send(&mut self, from: usize, to: usize, mut msg: Message) -> Result<(), String> {
        if self.members[from].cut || self.members[to].cut || self.members[to].voter.is_none() {
            return Ok(());
        }
        if self.members[from].voter.as_ref().is_some_and(|s| !s.initialized) {
            let running = self.members.iter().filter_map(|member| member.voter.as_ref());
            let logged: Vec<VoterInfo> = running.flat_map(Voter::voters).collect();
            let logged: Vec<&VoterInfo> = logged.iter().collect();
            check_blank_voter_message(&msg, Some(&self.members[from].durable), &logged)
                .map_err(|what| format!("s{from} {what}"))?;
        }
        if self.broken == Some(BrokenCatchUp::AcknowledgedBeforeSync) && self.measured_member == Some(from) {
            self.claim_whole_log(&mut msg);
        }
        if self.measured_member == Some(to) {
            self.measured.sent_bytes += msg.max_payload_len();
            let snapshot =
                matches!(&msg, Message::Append { body: AppendBody::Install { snapshot: Some(_), .. }, .. });
            self.measured.snapshots += usize::from(snapshot);
        }
        self.measured.longest_message_bytes = self.measured.longest_message_bytes.max(msg.max_payload_len());
        let link = self.links.entry((from, to)).or_default();
        let arrives =
            link.send(self.time_ms, OVERHEAD_BYTES + msg.max_payload_len(), self.link_speed, &mut self.rng);
        self.push_at(arrives, ClusterEvent::Message { from, to, msg: Box::new(msg) });
        Ok(())
    }

    /// Proposes the next change, once the one before it is accepted or lost.
    pub(super) fn propose(&mut self) -> Result<(), String> {
        let now = self.now();
        if self.accepted_changes() >= self.proposal_target {
            return Ok(());
        }
        let can_serve =
            |member: &Member| !member.cut && member.voter.as_ref().is_some_and(|s| s.can_serve_reads(now));
        let Some(leader) = (0..VOTERS).find(|leader| can_serve(&self.members[*leader])) else {
            return Ok(());
        };
        let Some(voter) = self.members[leader].voter.as_ref() else { return Ok(()) };
        if self
            .pending_change
            .is_some_and(|index| index <= voter.last_index() && index > voter.commit_index())
        {
            return Ok(());
        }
        self.proposed += 1;
        let step = self.accepted_changes() * self.documents.len() as u64 / self.changes.max(1);
        let text = self.documents[(step as usize).min(self.documents.len() - 1)].clone();
        let op = format!("change-{}", self.proposed).as_str().into();
        let change = Change::Apply { op, base: voter.cluster_state.revision, text };
        self.pending_change = Some(voter.last_index().next());
        self.step(leader, Event::Propose(change))
    }
}

/// Generates documents that don't compress, in the order in which the changes use them.
pub(super) fn generate_documents(kind: Documents, rng: &mut SmallRng) -> Vec<Document> {
    let mut text = |len: usize| -> Document {
        let letters: String = (0..len).map(|_| char::from(rng.random_range(b' '..=b'~'))).collect();
        letters.into()
    };
    match kind {
        Documents::Small => vec![text(SMALL_BYTES)],
        Documents::Growing => {
            let longest = SizeLimits::default().document() as u64;
            (1..=SIZE_STEPS).map(|n| text((longest * n / SIZE_STEPS) as usize)).collect()
        }
    }
}
