//! Log replication at the leader (design 2.3): it appends to the followers' logs and commits what a majority has
//! synced.

use super::*;
use crate::types::take_batch;

impl Voter {
    /// Sends each follower the entries that it lacks, or else a heartbeat.
    pub(super) fn broadcast_append(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        for follower in self.replication_targets() {
            let body = self.next_append_body(&follower, now).unwrap_or(AppendBody::Heartbeat);
            self.send_append(&follower, body, now, effects);
        }
    }

    /// Sends each of these followers the entries that it lacks, if any.
    fn send_pending_entries(&mut self, to: &[VoterInfo], now: Tick, effects: &mut Vec<Effect>) {
        for follower in to {
            if let Some(body) = self.next_append_body(follower, now) {
                self.send_append(follower, body, now, effects);
            }
        }
    }

    /// The followers that are sent appends. A joining voter is sent its snapshot only once its admission is committed,
    /// so that the snapshot shows that it is, or once only that voter may be missing to commit it (design 2.5).
    fn replication_targets(&self) -> Vec<VoterInfo> {
        let mut targets = self.other_voters();
        let configuration = self.configuration();
        if configuration.is_joint() {
            let synced = configuration.committed_quorum_value(|voter| self.synced_index(voter));
            let needs_joining_voter = synced.is_some_and(|index| index >= self.last_index());
            targets.retain(|voter| needs_joining_voter || configuration.committed().contains(voter));
        }
        targets
    }

    /// Index up to which a voter, possibly this leader, is known to have synced the log of this term.
    fn synced_index(&self, voter: &VoterInfo) -> Option<Index> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        if voter.incarnation == self.identity.incarnation {
            return Some(self.durable_index);
        }
        peers.get(&voter.incarnation).filter(|progress| progress.installed).map(|progress| progress.last)
    }

    /// The entries that a follower lacks, unless they are in flight. They are sent again only when the reply is
    /// overdue: otherwise a long entry on a slow link would be sent many times and delay the heartbeats.
    fn next_append_body(&self, follower: &VoterInfo, now: Tick) -> Option<AppendBody> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        let progress = peers.get(&follower.incarnation)?;
        if progress.in_flight.as_ref().is_some_and(|append| !append.overdue(&self.timing, now)) {
            return None;
        }
        // A follower that lacks entries from before the start of the log needs a snapshot.
        if !progress.installed || progress.last < self.snapshot_index {
            let truncate_to = progress.commit_index;
            let LogTail { snapshot, entries, .. } = self.log_tail_after(truncate_to);
            return Some(AppendBody::Install { truncate_to, snapshot, entries });
        }
        let missing = self.log.iter().filter(|entry| entry.index > progress.last);
        let entries = take_batch(missing, self.size_limits.batch());
        (!entries.is_empty()).then_some(AppendBody::Append { prev: progress.last, entries })
    }

    fn send_append(&mut self, follower: &VoterInfo, body: AppendBody, now: Tick, effects: &mut Vec<Effect>) {
        let last_sent = match &body {
            AppendBody::Heartbeat => None,
            AppendBody::Install { .. } => Some(self.last_index()),
            AppendBody::Append { entries, .. } => entries.last().map(|entry| entry.index),
        };
        let payload_len = body.max_payload_len();
        let msg = Message::Append {
            by: self.id(),
            to: follower.number,
            term: self.current_term,
            commit_index: self.commit_index(),
            sent_at: now,
            body,
        };
        effects.push(Effect::Send { to: follower.rpc_addr, msg });
        if let (VoterRole::Leader { peers, .. }, Some(last_sent)) = (&mut self.role, last_sent)
            && let Some(progress) = peers.get_mut(&follower.incarnation)
        {
            progress.in_flight = Some(InFlight::new(now, last_sent, payload_len));
        }
    }

    /// Logs a change, if this voter is certain to be the leader and the change is within the limits.
    pub(super) fn handle_propose(&mut self, change: Change, now: Tick, effects: &mut Vec<Effect>) {
        if let Some(why) = self.proposal_rejection(&change, now) {
            return effects.push(Effect::NotLogged { change, why });
        }
        let entry = LogEntry { index: self.last_index().next(), change };
        self.log.push_back(entry.clone());
        effects.push(Effect::Logged { index: entry.index, change: entry.change.clone() });
        let record = Record::Append { commit_index: self.commit_index(), entries: vec![entry] };
        self.persist(record, now, Vec::new(), effects);
        self.send_pending_entries(&self.replication_targets(), now, effects);
    }

    /// Why a proposed change can't be logged, if it can't.
    pub(super) fn proposal_rejection(&self, change: &Change, now: Tick) -> Option<NotLogged> {
        if !self.has_leadership(now) || self.log_term != self.current_term {
            return Some(NotLogged::NotLeader);
        }
        if self.configuration().is_joint() {
            return Some(NotLogged::ReplacingVoter);
        }
        self.exceeded_limit(change)
    }

    pub(super) fn handle_append_reply(
        &mut self,
        by: VoterId,
        term: Term,
        reply: Progress,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let (known, current_term) = (self.configuration().is_member(by.incarnation), self.current_term);
        let VoterRole::Leader { peers, .. } = &mut self.role else { return };
        if !known || term < current_term {
            return;
        }
        if term > current_term {
            self.highest_term_seen = self.highest_term_seen.max(term);
            self.role = VoterRole::Follower { leader: None, last_contact: now };
            return;
        }
        let before = peers.remove(&by.incarnation).unwrap_or_default();
        peers.insert(by.incarnation, before.updated_by(reply));
        self.advance_commit_index(now, effects);
        self.admit_joining_voter(now, effects);
        // Further entries are sent at once, a heartbeat only with the next tick.
        let follower: Vec<VoterInfo> = self
            .replication_targets()
            .into_iter()
            .filter(|voter| voter.incarnation == by.incarnation)
            .collect();
        self.send_pending_entries(&follower, now, effects);
    }

    /// Commits the entries that a quorum has synced in this term (design 2.3).
    pub(super) fn advance_commit_index(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let synced = self.configuration().quorum_value(|voter| self.synced_index(voter));
        let Some(synced) = synced else { return };
        let before = self.commit_index();
        self.commit_to(synced.min(self.last_index()), now, effects);
        if self.commit_index() > before {
            self.broadcast_append(now, effects);
            self.complete_replacement(now, effects);
        }
    }
}

impl Progress {
    /// The time from which the voter's silence counts: its last answer, or its admission before it has answered.
    pub(super) fn counted_since(&self) -> Tick {
        self.sent_at.max(self.admitted_at)
    }

    /// The progress after a reply. A reply that a newer one has overtaken only counts as contact.
    fn updated_by(self, reply: Progress) -> Progress {
        let overtaken = self.installed && (!reply.installed || reply.last < self.last);
        let sent_at = self.sent_at.max(reply.sent_at);
        let (in_flight, admitted_at) = (self.in_flight, self.admitted_at);
        let mut progress = if overtaken { self } else { reply };
        progress.sent_at = sent_at;
        progress.admitted_at = admitted_at;
        progress.in_flight = in_flight.filter(|append| !append.acknowledged_by(&progress));
        progress
    }
}
