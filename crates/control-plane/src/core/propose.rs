//! Proposals at the leader (design 2.3, 4.6): logged here, and told once they are decided.

use super::{Core, OUT_OF_TOUCH};
use crate::{
    change::{ApplyOutcome, Change},
    consensus::{Contact, Effect, Event},
    rpc::ProposalOutcome,
};
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

impl Core {
    /// Proposes here, where this voter leads; waits for the outcome for at most `ms`.
    pub async fn propose_here(self: &Arc<Self>, ch: Change, ms: u64) -> ProposalOutcome {
        let narrows = ch.narrows();
        let (rx, of) = {
            let mut g = self.lock();
            if let Some(why) = self.may_miss(&g, &ch) {
                return ProposalOutcome::NotLogged { leader: g.voter.leader(), why };
            }
            if g.voter.is_leader() && g.voter.contact(self.clock.now()) == Contact::Isolated {
                return ProposalOutcome::NotLogged { leader: None, why: OUT_OF_TOUCH.into() };
            }
            let effects = g.voter.step(Event::Propose(ch.clone()), self.clock.now());
            let index = effects.iter().find_map(|f| match f {
                Effect::Logged { index, .. } => Some(*index),
                _ => None,
            });
            let (tx, rx) = oneshot::channel();
            if let Some(index) = index {
                g.waiting.insert(index, (ch, tx));
            }
            if index.is_none() {
                let why = not_logged(&effects);
                self.carry_out(&mut g, effects);
                return ProposalOutcome::NotLogged { leader: g.voter.leader(), why };
            }
            let of = Self::members(&g);
            self.carry_out(&mut g, effects);
            (rx, of)
        };
        let until = self.clock.now() + ms;
        match tokio::time::timeout(Duration::from_millis(ms), rx).await {
            Ok(Ok(ProposalOutcome::Committed { index, outcome: v @ ApplyOutcome::Accepted { .. } }))
                if narrows =>
            {
                let held = self.held_by_most(&of, index, until).await;
                if held {
                    ProposalOutcome::Committed { index, outcome: v }
                } else {
                    ProposalOutcome::Undetermined
                }
            }
            Ok(Ok(p)) => p,
            _ => ProposalOutcome::Undetermined,
        }
    }
}

fn not_logged(effects: &[Effect]) -> String {
    let why = effects.iter().find_map(|f| match f {
        Effect::NotLogged { why, .. } => Some(*why),
        _ => None,
    });
    why.unwrap_or("this seat's disk failed").into()
}
