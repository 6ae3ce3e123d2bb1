//! Proposals at the leader (design 2.3, 4.6): a change is logged here, and answered once its outcome is known.

use super::{ControlNode, Inner, OUT_OF_CONTACT, PendingProposal};
use crate::{
    consensus::{Contact, Effect, Event, NotLogged},
    rpc::ProposalOutcome,
    types::{ApplyOutcome, Change, VoterInfo},
};
use common::{Index, NodeId};
use std::{fmt, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Why a proposal was not logged.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Refusal {
    /// This node is the leader but out of contact with a majority.
    OutOfContact,
    /// These members may miss the change, and are enough to keep serving by an older state.
    MembersAtRisk(Vec<NodeId>),
    /// The voter did not log the change.
    NotLogged(NotLogged),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::OutOfContact => f.write_str(OUT_OF_CONTACT),
            Refusal::NotLogged(why) => why.fmt(f),
            Refusal::MembersAtRisk(members) => {
                let names: Vec<&str> = members.iter().map(NodeId::as_str).collect();
                write!(
                    f,
                    "out of reach, and enough to keep serving by an older state: {}; restore their links, or confirm \
                     for each that is down: members/NAME/down",
                    names.join(", ")
                )
            }
        }
    }
}

impl std::error::Error for Refusal {}

/// A change that was logged here.
struct Logged {
    outcome: oneshot::Receiver<ProposalOutcome>,
    /// The members when the change was logged.
    members: Vec<NodeId>,
}

impl ControlNode {
    /// Proposes a change at this node, which logs it if it is the leader, and waits at most `timeout_ms` for the
    /// outcome.
    pub async fn propose_here(self: &Arc<Self>, change: Change, timeout_ms: u64) -> ProposalOutcome {
        let restricts = change.restricts_traffic();
        let Logged { outcome, members } = match self.log(change) {
            Ok(logged) => logged,
            Err((leader, why)) => return ProposalOutcome::NotLogged { leader, why: why.to_string() },
        };
        let until = self.clock.now() + timeout_ms;
        match tokio::time::timeout(Duration::from_millis(timeout_ms), outcome).await {
            Ok(Ok(ProposalOutcome::Committed {
                index,
                outcome: accepted @ ApplyOutcome::Accepted { .. },
            })) if restricts => {
                let reached = self.wait_for_majority(&members, index, until).await;
                let committed = ProposalOutcome::Committed { index, outcome: accepted };
                if reached { committed } else { ProposalOutcome::Undetermined }
            }
            Ok(Ok(outcome)) => outcome,
            _ => ProposalOutcome::Undetermined,
        }
    }

    /// Logs a change; the error is the reason why not, with the leader if it is known.
    fn log(self: &Arc<Self>, change: Change) -> Result<Logged, (Option<VoterInfo>, Refusal)> {
        let mut inner = self.lock();
        if let Some(members) = self.members_at_risk(&inner, &change) {
            return Err((inner.voter.leader(), Refusal::MembersAtRisk(members)));
        }
        let now = self.clock.now();
        if inner.voter.is_leader() && inner.voter.contact(now) == Contact::Lost {
            return Err((None, Refusal::OutOfContact));
        }
        let effects = inner.voter.step(Event::Propose(change.clone()), now);
        let logged = logged_index(&effects).map(|index| register(&mut inner, index, change));
        let why = not_logged(&effects);
        let members = Self::members(&inner);
        self.carry_out(&mut inner, effects);
        match logged {
            Some(outcome) => Ok(Logged { outcome, members }),
            None => Err((inner.voter.leader(), Refusal::NotLogged(why))),
        }
    }
}

fn register(inner: &mut Inner, index: Index, change: Change) -> oneshot::Receiver<ProposalOutcome> {
    let (outcome, receiver) = oneshot::channel();
    inner.pending.insert(index, PendingProposal { change, outcome });
    receiver
}

fn logged_index(effects: &[Effect]) -> Option<Index> {
    effects.iter().find_map(|effect| match effect {
        Effect::Logged { index, .. } => Some(*index),
        _ => None,
    })
}

fn not_logged(effects: &[Effect]) -> NotLogged {
    let why = effects.iter().find_map(|effect| match effect {
        Effect::NotLogged { why, .. } => Some(*why),
        _ => None,
    });
    why.unwrap_or(NotLogged::DiskFailed)
}
