//! Invariants from the brief's list, looked at after each step (design 7.1).

use common::{FencingToken, Index, NodeId, OpId, Revision};
use control_plane::{
    ApplyOutcome, Change,
    consensus::{DurableState, Message},
    types::{LogEntry, VoterInfo},
};
use std::collections::{BTreeMap, HashMap};

/// What the operators were told, and what the voters accepted, seen from outside of time.
#[derive(Debug, Default)]
pub struct Book {
    pub order: BTreeMap<Index, (Change, ApplyOutcome)>,
    pub told_accepted: HashMap<OpId, Index>,
    pub told_refused: HashMap<OpId, ()>,
    /// Newest revision and text by the one order.
    pub newest: (Revision, Option<control_plane::Document>),
    /// Newest accepted voters, once it was changed.
    pub voters: Option<Vec<VoterInfo>>,
    acts: BTreeMap<FencingToken, NodeId>,
    highest_act: FencingToken,
}

impl Book {
    /// Voters whose admission was committed at any time.
    pub fn admitted(&self) -> impl Iterator<Item = &VoterInfo> {
        self.order.values().filter_map(|(change, _)| match change {
            Change::ReplaceVoter(voter) => Some(voter),
            _ => None,
        })
    }

    /// All voters accept the same change, with the same outcome, at the same place.
    pub fn accepted(&mut self, e: &LogEntry, v: &ApplyOutcome) -> Result<bool, String> {
        if let Some((ch, was)) = self.order.get(&e.index) {
            if ch != &e.change {
                return Err(format!("two changes were accepted at {}: {ch:?} and {:?}", e.index, e.change));
            }
            return if was == v {
                Ok(false)
            } else {
                Err(format!("two verdicts at {}: {was:?} and {v:?}", e.index))
            };
        }
        let due = self.order.keys().next_back().map(|i| i.next()).unwrap_or(Index(1));
        if e.index != due {
            return Err(format!("{} was accepted before {due}", e.index));
        }
        if let (Change::Apply { op, text, .. }, ApplyOutcome::Accepted { revision }) = (&e.change, v) {
            let again = self.order.values().any(|(c, _)| c.op() == Some(op));
            if !again {
                if *revision <= self.newest.0 {
                    return Err(format!("revision {revision} was accepted after {}", self.newest.0));
                }
                self.newest = (*revision, Some(text.clone()));
            }
        }
        self.order.insert(e.index, (e.change.clone(), v.clone()));
        if let Some(op) = e.change.op().filter(|op| self.told_refused.contains_key(*op)) {
            return Err(format!("{op} was told as refused and was accepted into the order"));
        }
        Ok(true)
    }

    /// An operator was told that a change is in force.
    pub fn told(&mut self, op: &OpId, index: Index, ch: &Change) -> Result<(), String> {
        self.told_accepted.insert(op.clone(), index);
        match self.order.get(&index) {
            Some((c, ApplyOutcome::Accepted { .. })) if c == ch => Ok(()),
            other => Err(format!("{op} was told as accepted at {index}, where the order has {other:?}")),
        }
    }

    /// A singleton role was acted on, and a receiver let it through: one node for each fencing token, and never
    /// a lower fencing token after a higher one.
    pub fn acted(&mut self, fencing_token: FencingToken, node: &NodeId) -> Result<(), String> {
        if fencing_token < self.highest_act {
            return Err(format!(
                "{node} acted with effect under fence {fencing_token} after {}",
                self.highest_act
            ));
        }
        self.highest_act = fencing_token;
        match self.acts.insert(fencing_token, node.clone()) {
            Some(other) if other != *node => {
                Err(format!("{other} and {node} both acted under fence {fencing_token}"))
            }
            _ => Ok(()),
        }
    }
}

/// A voter without a state votes only once a committed voter set names it, with nothing, and with its promise on its
/// disk (design 2.5).
pub fn blank_votes_by_right(
    msg: &Message,
    kept: Option<&DurableState>,
    committed: &[&VoterInfo],
) -> Result<(), String> {
    let (by, promised, holds_nothing) = match msg {
        Message::PreVoteGranted { by, .. } => (by, None, true),
        Message::Vote { by, term, tail } => {
            let empty = tail.last == Index(0) && tail.snapshot.is_none() && tail.entries.is_empty();
            (by, Some(*term), empty)
        }
        _ => return Ok(()),
    };
    let named =
        committed.iter().any(|voter| voter.incarnation == by.incarnation && voter.number == by.number);
    let durable = promised.is_none_or(|term| kept.is_some_and(|kept| kept.current_term >= term));
    if named && holds_nothing && durable {
        return Ok(());
    }
    Err(format!("votes and holds nothing: {msg:?}, named by a committed voter set: {named}"))
}

/// What a voter says that it holds or has promised is on its disk at that moment (design 2.4).
pub fn backed(msg: &Message, kept: Option<&DurableState>) -> Result<(), String> {
    let Some(kept) = kept.filter(|k| k.initialized) else { return Ok(()) };
    let last = kept.entries.last().map_or(kept.cluster_state.index, |e| e.index);
    let holds = |log_term, last_sent| kept.log_term == log_term && last >= last_sent;
    let so = match msg {
        Message::AppendReply { term, installed, last, .. } => {
            kept.current_term >= *term && (!installed || holds(*term, *last))
        }
        Message::Vote { term, tail, .. } => kept.current_term >= *term && holds(tail.log_term, tail.last),
        _ => true,
    };
    if so {
        return Ok(());
    }
    Err(format!(
        "a seat says what its disk does not hold: {msg:?}, where it holds promised {}, log view {}, last {last}",
        kept.current_term, kept.log_term
    ))
}
