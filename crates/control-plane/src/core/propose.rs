//! Proposals at the leader (design 2.3, 4.6): logged here, and told once they are decided.

use super::{Core, OUT_OF_TOUCH};
use crate::{
    change::{Change, Verdict},
    rail::Proposed,
    seat::{Contact, Ev, Fx},
};
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

impl Core {
    /// Proposes here, where this seat leads; waits for the verdict for at most `ms`.
    pub async fn propose_here(self: &Arc<Self>, ch: Change, ms: u64) -> Proposed {
        let narrows = ch.narrows();
        let (rx, of) = {
            let mut g = self.lock();
            if let Some(why) = self.may_miss(&g, &ch) {
                return Proposed::NotLogged { leader: g.seat.leader(), why };
            }
            if g.seat.is_leader() && g.seat.contact(self.clock.now()) == Contact::Lost {
                return Proposed::NotLogged { leader: None, why: OUT_OF_TOUCH.into() };
            }
            let fx = g.seat.step(Ev::Propose(ch.clone()), self.clock.now());
            let idx = fx.iter().find_map(|f| match f {
                Fx::Logged { idx, .. } => Some(*idx),
                _ => None,
            });
            let (tx, rx) = oneshot::channel();
            if let Some(idx) = idx {
                g.waiting.insert(idx, (ch, tx));
            }
            if idx.is_none() {
                let why = not_logged(&fx);
                self.carry_out(&mut g, fx);
                return Proposed::NotLogged { leader: g.seat.leader(), why };
            }
            let of = Self::members(&g);
            self.carry_out(&mut g, fx);
            (rx, of)
        };
        let until = self.clock.now() + ms;
        match tokio::time::timeout(Duration::from_millis(ms), rx).await {
            Ok(Ok(Proposed::Settled { idx, verdict: v @ Verdict::Accepted { .. } })) if narrows => {
                let held = self.held_by_most(&of, idx, until).await;
                if held { Proposed::Settled { idx, verdict: v } } else { Proposed::Undetermined }
            }
            Ok(Ok(p)) => p,
            _ => Proposed::Undetermined,
        }
    }
}

fn not_logged(fx: &[Fx]) -> String {
    let why = fx.iter().find_map(|f| match f {
        Fx::NotLogged { why, .. } => Some(*why),
        _ => None,
    });
    why.unwrap_or("this seat's disk failed").into()
}
