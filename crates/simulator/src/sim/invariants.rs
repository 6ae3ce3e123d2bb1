//! Invariants of the control plane, checked after each step (design 7.1).

use common::{FencingToken, Index, NodeId, OpId, Revision};
use control_plane::{
    ApplyOutcome, Change,
    consensus::{DurableState, Message},
    types::{LogEntry, VoterInfo},
};
use std::collections::{BTreeMap, HashMap};

/// Everything that was committed, and what operators were told of it, as an outside observer sees it.
#[derive(Debug, Default)]
pub struct History {
    /// Committed changes and their outcomes.
    pub committed: BTreeMap<Index, (Change, ApplyOutcome)>,
    /// Operations reported as accepted, and their log index.
    pub reported_accepted: HashMap<OpId, Index>,
    /// Operations reported as refused.
    pub reported_refused: HashMap<OpId, ()>,
    /// Newest committed revision and its document.
    pub newest_document: (Revision, Option<control_plane::Document>),
    /// Voters whose admission some leader has logged.
    pub admitted: Vec<VoterInfo>,
    /// Newest committed set of voters, once it was changed.
    pub newest_voters: Option<Vec<VoterInfo>>,
    /// The node that acted under each fencing token.
    actions: BTreeMap<FencingToken, NodeId>,
    highest_action_token: FencingToken,
}

impl History {
    /// Records a committed entry, and returns whether it is the first commit of that index. All voters must commit the
    /// same change, with the same outcome, at the same index.
    pub fn record_commit(&mut self, entry: &LogEntry, outcome: &ApplyOutcome) -> Result<bool, String> {
        if let Some((known_change, known_outcome)) = self.committed.get(&entry.index) {
            if known_change != &entry.change {
                return Err(format!(
                    "two changes were accepted at {}: {known_change:?} and {:?}",
                    entry.index, entry.change
                ));
            }
            return if known_outcome == outcome {
                Ok(false)
            } else {
                Err(format!("two outcomes at {}: {known_outcome:?} and {outcome:?}", entry.index))
            };
        }
        let expected = self.committed.keys().next_back().map(|i| i.next()).unwrap_or(Index(1));
        if entry.index != expected {
            return Err(format!("{} was accepted before {expected}", entry.index));
        }
        if let (Change::Apply { op, text, .. }, ApplyOutcome::Accepted { revision }) =
            (&entry.change, outcome)
        {
            let again = self.committed.values().any(|(c, _)| c.op() == Some(op));
            if !again {
                if *revision <= self.newest_document.0 {
                    return Err(format!("revision {revision} was accepted after {}", self.newest_document.0));
                }
                self.newest_document = (*revision, Some(text.clone()));
            }
        }
        self.committed.insert(entry.index, (entry.change.clone(), outcome.clone()));
        if let Some(op) = entry.change.op().filter(|op| self.reported_refused.contains_key(*op)) {
            return Err(format!("{op} was reported as refused and was accepted into the log"));
        }
        Ok(true)
    }

    /// Records that an operator was told that a change is in force.
    pub fn report_accepted(&mut self, op: &OpId, index: Index, change: &Change) -> Result<(), String> {
        self.reported_accepted.insert(op.clone(), index);
        match self.committed.get(&index) {
            Some((committed, ApplyOutcome::Accepted { .. })) if committed == change => Ok(()),
            other => Err(format!("{op} was reported as accepted at {index}, where the log has {other:?}")),
        }
    }

    /// Records an action on a singleton role that its receiver let through. Each fencing token must belong to one node,
    /// and no action may take effect after one with a higher token.
    pub fn record_action(&mut self, fencing_token: FencingToken, node: &NodeId) -> Result<(), String> {
        if fencing_token < self.highest_action_token {
            return Err(format!(
                "{node} acted with effect under fencing token {fencing_token} after {}",
                self.highest_action_token
            ));
        }
        self.highest_action_token = fencing_token;
        match self.actions.insert(fencing_token, node.clone()) {
            Some(other) if other != *node => {
                Err(format!("{other} and {node} both acted under fencing token {fencing_token}"))
            }
            _ => Ok(()),
        }
    }
}

/// A voter without a state may vote only if a logged voter set contains it, must claim no log, and must have its term on
/// its disk first (design 2.5).
pub fn check_blank_voter_message(
    msg: &Message,
    disk_state: Option<&DurableState>,
    logged: &[&VoterInfo],
) -> Result<(), String> {
    let (by, promised, holds_nothing) = match msg {
        Message::PreVoteGranted { by, .. } => (by, None, true),
        Message::Vote { by, term, tail } => {
            let empty = tail.last == Index(0) && tail.snapshot.is_none() && tail.entries.is_empty();
            (by, Some(*term), empty)
        }
        _ => return Ok(()),
    };
    let named = logged.iter().any(|voter| voter.incarnation == by.incarnation && voter.number == by.number);
    let durable =
        promised.is_none_or(|term| disk_state.is_some_and(|disk_state| disk_state.current_term >= term));
    if named && holds_nothing && durable {
        return Ok(());
    }
    Err(format!("votes without a state: {msg:?}, in a logged voter set: {named}"))
}

/// The term and the log that a voter claims in a message must be on its disk by then (design 2.4).
pub fn check_durable(msg: &Message, disk_state: Option<&DurableState>) -> Result<(), String> {
    let Some(disk_state) = disk_state.filter(|state| state.initialized) else { return Ok(()) };
    let last = disk_state.entries.last().map_or(disk_state.cluster_state.index, |entry| entry.index);
    let holds = |log_term, last_sent| disk_state.log_term == log_term && last >= last_sent;
    let is_durable = match msg {
        Message::AppendReply { term, installed, last, .. } => {
            disk_state.current_term >= *term && (!installed || holds(*term, *last))
        }
        Message::Vote { term, tail, .. } => {
            disk_state.current_term >= *term && holds(tail.log_term, tail.last)
        }
        _ => true,
    };
    if is_durable {
        return Ok(());
    }
    Err(format!(
        "a voter claims what its disk does not hold: {msg:?}, where the disk has term {}, log term {}, last {last}",
        disk_state.current_term, disk_state.log_term
    ))
}
