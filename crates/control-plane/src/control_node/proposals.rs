//! Proposals at the leader (design 2.3, 4.6): logged here, and answered once they are decided.

use super::{ControlNode, Inner, OUT_OF_CONTACT, PendingProposal};
use crate::{
    consensus::{Contact, Effect, Event, NotLogged},
    rpc::ProposalOutcome,
    types::{ApplyOutcome, Change, VoterInfo},
};
use common::{Index, NodeId};
use std::{fmt, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Why a proposal was refused before it was logged.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Refusal {
    /// This node leads, and has lost contact with a majority.
    OutOfContact,
    /// Members that the change may not reach could be serving on by an older state.
    MembersAtRisk(Vec<NodeId>),
    /// The voter did not log it.
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
                    "out of reach, and together enough to be serving on by an older state: {}; mend their links, or \
                     say of each that is down: members/NAME/down",
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
    /// Who were members at that moment.
    members: Vec<NodeId>,
}

impl ControlNode {
    /// Proposes here, where this node leads; waits for the outcome for at most `timeout_ms`.
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
                let held = self.held_by_most(&members, index, until).await;
                let committed = ProposalOutcome::Committed { index, outcome: accepted };
                if held { committed } else { ProposalOutcome::Undetermined }
            }
            Ok(Ok(outcome)) => outcome,
            _ => ProposalOutcome::Undetermined,
        }
    }

    /// Logs a change, or says why not, with the leader as far as it is known.
    fn log(self: &Arc<Self>, change: Change) -> Result<Logged, (Option<VoterInfo>, Refusal)> {
        let mut inner = self.lock();
        if let Some(members) = self.members_at_risk(&inner, &change) {
            return Err((inner.voter.leader(), Refusal::MembersAtRisk(members)));
        }
        let now = self.clock.now();
        if inner.voter.is_leader() && inner.voter.contact(now) == Contact::Isolated {
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
