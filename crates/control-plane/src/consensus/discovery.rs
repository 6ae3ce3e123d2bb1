//! How nodes learn of a cluster and of its voter set (design 2.5).

use super::*;

impl Voter {
    /// Sends a node the current voter set.
    pub(crate) fn send_membership(&self, to: SocketAddr, effects: &mut Vec<Effect>) {
        self.send_voter_set(to, self.cluster_state.voters.clone(), self.commit_index(), effects);
    }

    /// Sends a node a voter set and the index at which it is in force.
    pub(super) fn send_voter_set(
        &self,
        to: SocketAddr,
        voters: Vec<VoterInfo>,
        index: Index,
        effects: &mut Vec<Effect>,
    ) {
        let msg = Message::Discover { voter: self.identity.clone(), initialized: true, voters, index };
        effects.push(Effect::Send { to, msg });
    }

    pub(super) fn handle_discover(
        &mut self,
        from: SocketAddr,
        voter: VoterInfo,
        initialized: bool,
        (voters, index): (Vec<VoterInfo>, Index),
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        match (self.initialized, initialized) {
            (false, false) => self.query_blank_voter(from, now, effects),
            (true, false) => self.answer_blank_voter(from, &voter, effects),
            (false, true) => {
                self.record_admission(&voters, index);
                self.send_join_requests(&voter, &voters, index, effects);
            }
            (true, true) => self.compare_membership(from, &voter, &voters, index, effects),
        }
    }

    pub(super) fn answer_blank_voter(&self, from: SocketAddr, voter: &VoterInfo, effects: &mut Vec<Effect>) {
        let same = |own: &&VoterInfo| own.incarnation == voter.incarnation;
        let number = self.cluster_state.voters.iter().find(same).map_or(u8::MAX, |own| own.number);
        let id = VoterId { number, incarnation: voter.incarnation };
        if self.commit_index() == Index(0) && self.is_voter(&id) {
            // The bootstrap message to one of the initial voters was lost.
            let msg = Message::Bootstrap { cluster_state: self.cluster_state.clone() };
            return effects.push(Effect::Send { to: from, msg });
        }
        if !self.send_admission(from, voter, effects) {
            self.send_membership(from, effects);
        }
    }

    fn send_join_requests(
        &mut self,
        initialized: &VoterInfo,
        voters: &[VoterInfo],
        index: Index,
        effects: &mut Vec<Effect>,
    ) {
        self.discovered_voters.remove(&initialized.rpc_addr);
        let named = self.is_named_in(voters);
        // One of the initial voters still waits for its bootstrap message.
        self.saw_other_cluster = !(named && index == Index(0));
        if !named {
            self.request_to_join(voters, effects);
        }
    }

    /// Asks these voters to be admitted.
    pub(super) fn request_to_join(&self, voters: &[VoterInfo], effects: &mut Vec<Effect>) {
        let msg = Message::JoinRequest { voter: self.identity.clone() };
        for voter in voters {
            effects.push(Effect::Send { to: voter.rpc_addr, msg: msg.clone() });
        }
    }

    /// Compares the committed voter set that another voter reported with its own; the older one is corrected.
    fn compare_membership(
        &mut self,
        from: SocketAddr,
        sender: &VoterInfo,
        voters: &[VoterInfo],
        index: Index,
        effects: &mut Vec<Effect>,
    ) {
        if index > self.commit_index() {
            self.record_reported_voters(voters, index);
            self.check_own_membership(voters, effects);
        } else if index < self.commit_index() && *voters != self.cluster_state.voters {
            self.correct_membership(from, sender.incarnation, effects);
        }
    }

    /// Sends the committed voter set to a voter that doesn't know it. A voter that was replaced is told only once the
    /// replacement is complete: until then its vote may be needed, and it would discard its state.
    pub(super) fn correct_membership(
        &self,
        to: SocketAddr,
        incarnation: Incarnation,
        effects: &mut Vec<Effect>,
    ) {
        let leaving = self.cluster_state.leaving_voter.as_ref();
        if leaving.is_none_or(|voter| voter.incarnation != incarnation) {
            self.send_membership(to, effects);
        }
    }

    /// Stops taking part under this identity, if a newer committed voter set no longer includes it.
    fn check_own_membership(&mut self, voters: &[VoterInfo], effects: &mut Vec<Effect>) {
        if !self.is_named_in(voters) && !self.removed {
            self.removed = true;
            self.role = VoterRole::Follower { leader: None, last_contact: Tick(0) };
            effects.push(Effect::Removed);
        }
    }

    fn is_named_in(&self, voters: &[VoterInfo]) -> bool {
        voters.iter().any(|voter| voter.incarnation == self.identity.incarnation)
    }
}
