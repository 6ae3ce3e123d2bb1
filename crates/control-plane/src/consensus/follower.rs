//! Log replication at a follower (design 2.3): it writes and syncs what the leader appends, and replies with the state
//! of its log.

use super::*;

/// What a follower must write and sync before it replies.
enum LogWrite {
    /// A snapshot of the whole state.
    Snapshot,
    /// One record.
    Record(Record),
}

impl Voter {
    pub(super) fn handle_append(&mut self, request: AppendRequest, now: Tick, effects: &mut Vec<Effect>) {
        if !self.initialized {
            return self.install_first_snapshot(request, now, effects);
        }
        let AppendRequest { from, by, term, commit_index, sent_at, body, .. } = request;
        if self.removed || !self.is_known_voter(&by) {
            return self.correct_membership(from, by.incarnation, effects);
        }
        if term < self.current_term {
            // The reply carries the current term, from which an older leader learns that it was superseded.
            return self.reply_when_durable(from, sent_at, effects);
        }
        let newer_term = term > self.current_term;
        self.current_term = term;
        self.role = VoterRole::Follower { leader: Some(by), last_contact: now };
        let mut write = self.apply_append_body(term, body, effects);
        if self.log_term == term {
            self.commit_to(commit_index.min(self.last_index()), now, effects);
        }
        if let Some(LogWrite::Record(Record::Append { commit_index, .. })) = &mut write {
            *commit_index = self.commit_index();
        }
        // The reply states the end of the log, which is synced once all records up to this one are.
        let reply = Effect::Send { to: from, msg: self.append_reply(sent_at) };
        match write {
            Some(LogWrite::Snapshot) => self.write_snapshot(now, vec![reply], effects),
            Some(LogWrite::Record(record)) => self.persist(record, now, vec![reply], effects),
            None if newer_term => self.persist(Record::Promise(term), now, vec![reply], effects),
            None => self.reply_when_durable(from, sent_at, effects),
        }
    }

    /// Applies the payload of an append to the log, if it fits, and returns what must be written.
    fn apply_append_body(
        &mut self,
        term: Term,
        body: AppendBody,
        effects: &mut Vec<Effect>,
    ) -> Option<LogWrite> {
        match body {
            AppendBody::Heartbeat => None,
            AppendBody::Install { truncate_to, snapshot, entries } => {
                self.install_from_append(term, truncate_to, snapshot, entries, effects)
            }
            AppendBody::Append { prev, entries } => self.append_entries(term, prev, entries),
        }
    }

    fn install_from_append(
        &mut self,
        term: Term,
        truncate_to: Index,
        snapshot: Option<ClusterState>,
        entries: Vec<LogEntry>,
        effects: &mut Vec<Effect>,
    ) -> Option<LogWrite> {
        let ahead = snapshot.as_ref().is_some_and(|state| state.index > self.last_index());
        if self.log_term >= term && !ahead {
            return None;
        }
        let newer_snapshot = snapshot.as_ref().is_some_and(|state| state.index >= self.commit_index());
        if !newer_snapshot && truncate_to != self.commit_index() {
            return None;
        }
        let from_snapshot = snapshot.is_some();
        self.install_log(truncate_to, snapshot, entries, effects);
        self.log_term = term;
        if from_snapshot {
            return Some(LogWrite::Snapshot);
        }
        let entries = self.entries_after(truncate_to);
        Some(LogWrite::Record(Record::Install { term, truncate_to, entries }))
    }

    fn append_entries(&mut self, term: Term, prev: Index, entries: Vec<LogEntry>) -> Option<LogWrite> {
        let last = self.last_index();
        if self.log_term != term || prev > last {
            return None;
        }
        let new: Vec<_> = entries.into_iter().filter(|entry| entry.index > last).collect();
        if new.first().is_none_or(|entry| entry.index != last.next()) {
            return None;
        }
        self.log.extend(new.iter().cloned());
        let commit_index = self.commit_index();
        Some(LogWrite::Record(Record::Append { commit_index, entries: new }))
    }

    /// Sends a reply once everything that it states is synced; an overdue disk delays it. Only the newest reply to each
    /// leader matters, so it replaces earlier ones that still wait.
    fn reply_when_durable(&mut self, to: SocketAddr, sent_at: Tick, effects: &mut Vec<Effect>) {
        let reply = Effect::Send { to, msg: self.append_reply(sent_at) };
        let Some(write) = self.writes.newest_mut() else { return effects.push(reply) };
        let earlier = |effect: &Effect| matches!(effect, Effect::Send { to: other, msg: Message::AppendReply { .. } } if *other == to);
        write.then.retain(|effect| !earlier(effect));
        write.then.push(reply);
    }

    pub(super) fn append_reply(&self, sent_at: Tick) -> Message {
        Message::AppendReply {
            by: self.id(),
            term: self.current_term,
            installed: self.log_term == self.current_term,
            last: self.last_index(),
            commit_index: self.commit_index(),
            sent_at,
        }
    }
}
