//! Replacement of voters (design 2.5): a blank voter is admitted in place of an earlier incarnation of the same node,
//! or of another voter that has been silent for longer than a lease.

use super::*;

/// A blank voter that asks to be admitted.
#[derive(Clone, Debug)]
pub(super) struct JoinRequest {
    /// The blank voter, with the number of the voter that it would replace.
    voter: VoterInfo,
    /// When it first asked.
    since: Tick,
}

impl Voter {
    /// Records the request of a blank voter, if it may replace a voter now. The request is repeated with each
    /// heartbeat, but its first time counts: over a slow link no reply would ever answer an append that was sent after
    /// the latest request.
    pub(super) fn handle_join_request(
        &mut self,
        from: SocketAddr,
        voter: VoterInfo,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if !self.initialized || self.send_admission(from, &voter, effects) || !self.is_leader() {
            return;
        }
        let silence_ms = self.timing.lease_ms + self.timing.lease_margin_ms();
        let replaced = self.replaceable_by(&voter, silence_ms, now);
        self.join_requests.retain(|_, request| now.since(request.since) <= silence_ms);
        let since = self.join_requests.get(&voter.incarnation).map_or(now, |request| request.since);
        match replaced {
            Some(number) => {
                let voter = VoterInfo { number, ..voter };
                self.join_requests.insert(voter.incarnation, JoinRequest { voter, since });
            }
            None => drop(self.join_requests.remove(&voter.incarnation)),
        }
    }

    /// The number of the voter that a blank voter may replace: an earlier incarnation of the same node at once, any
    /// other after it has been silent for `silence_ms`.
    fn replaceable_by(&self, blank: &VoterInfo, silence_ms: u64, now: Tick) -> Option<u8> {
        let VoterRole::Leader { peers, since, .. } = &self.role else { return None };
        let mut others = self.voters();
        others.retain(|voter| voter.incarnation != self.identity.incarnation);
        let same_node = |voter: &&VoterInfo| voter.node == blank.node || voter.rpc_addr == blank.rpc_addr;
        let silent = |voter: &&VoterInfo| {
            let last_contact = peers.get(&voter.incarnation).map_or(*since, Progress::counted_since);
            now.since(last_contact.max(*since)) > silence_ms
        };
        let replaced = others.iter().find(same_node).or_else(|| others.iter().find(silent));
        replaced.map(|voter| voter.number)
    }

    /// Logs a replacement once a majority without the replaced voter has answered appends that were sent after the
    /// request. No other change is logged until the replacement is committed, so that majority must be reachable first.
    pub(super) fn admit_joining_voter(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        // Most replies of followers find no request.
        if self.join_requests.is_empty() {
            return;
        }
        let VoterRole::Leader { peers, .. } = &self.role else { return };
        let configuration = self.configuration();
        if configuration.is_joint() {
            return;
        }
        let own = self.identity.incarnation;
        let ready = |request: &&JoinRequest| {
            let answered = |voter: &VoterInfo| {
                let progress = peers.get(&voter.incarnation);
                progress.is_some_and(|progress| progress.installed && progress.sent_at > request.since)
            };
            let remains = |voter: &VoterInfo| voter.number != request.voter.number;
            configuration.has_quorum(|voter| voter.incarnation == own || (remains(voter) && answered(voter)))
        };
        let Some(voter) = self.join_requests.values().find(ready).map(|request| request.voter.clone()) else {
            return;
        };
        // Other blank voters ask again and are checked against the new voter set.
        self.join_requests.clear();
        self.handle_propose(Change::ReplaceVoter(voter), now, effects);
    }

    /// Logs the second entry of a replacement once the first one is committed (design 2.5). A majority that has it knows
    /// that the replacement is committed, without the voter that was replaced.
    pub(super) fn complete_replacement(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if !self.is_leader() {
            return;
        }
        let Some(completion) = self.cluster_state.completion_of_replacement() else { return };
        let is_replacement = |entry: &LogEntry| matches!(entry.change, Change::ReplaceVoter(_));
        if !self.uncommitted().any(is_replacement) && self.proposal_rejection(&completion, now).is_none() {
            self.handle_propose(completion, now, effects);
        }
    }

    /// Initializes a blank voter from a snapshot of a leader whose voter set includes this voter.
    pub(super) fn install_first_snapshot(
        &mut self,
        request: AppendRequest,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let AppendRequest { from, by, to, term, sent_at, body, .. } = request;
        match body {
            AppendBody::Install { snapshot: Some(state), entries, .. }
                if self.is_admitted_by(&state, &entries) && term >= self.current_term =>
            {
                self.current_term = term;
                self.log_term = term;
                self.log = entries.into();
                self.identity.number = to;
                self.snapshot_index = state.index;
                self.cluster_state = state;
                self.initialized = true;
                effects.push(Effect::SnapshotInstalled);
                self.role = VoterRole::Follower { leader: Some(by), last_contact: now };
                let reply = Effect::Send { to: from, msg: self.append_reply(sent_at) };
                self.write_snapshot(now, vec![reply], effects);
            }
            _ => {
                // While a leader is in contact, this voter grants no vote to another.
                if term >= self.current_term {
                    self.role = VoterRole::Follower { leader: None, last_contact: now };
                }
                effects.push(Effect::Send { to: from, msg: self.empty_append_reply(to, term, sent_at) });
            }
        }
    }

    fn is_admitted_by(&self, state: &ClusterState, entries: &[LogEntry]) -> bool {
        let configuration = Configuration::at_end_of_log(state, entries.iter(), state.index);
        state.cluster == self.cluster && configuration.is_target(self.identity.incarnation)
    }

    /// The reply of a blank voter, which makes the leader send a snapshot. The leader of an older term than this voter
    /// has voted in learns of that.
    fn empty_append_reply(&self, number: u8, term: Term, sent_at: Tick) -> Message {
        Message::AppendReply {
            by: VoterId { number, incarnation: self.identity.incarnation },
            term: term.max(self.current_term),
            installed: false,
            last: Index(0),
            commit_index: Index(0),
            sent_at,
        }
    }
}
