//! Verdicts, routers and singleton roles within the simulated world (design 7.1).

use super::{
    Broken,
    nodes::{WIRE, fits, timing},
    world::{END_AT, KNOWN_MS, What, World},
};
use common::{Epoch, FencingToken, Index, NodeId, Revision, Tick};
use control_plane::{
    ApplyOutcome, Change,
    consensus::Event,
    membership::Renewal,
    state_machine::singleton,
    state_machine::state_update::{self, InstallResult, StateUpdate},
    types::{LogEntry, NodeInfo},
};
use rand::Rng;

const DUTY: &str = "lender/north";

impl World {
    pub fn on_accepted(&mut self, n: usize, e: &LogEntry, v: &ApplyOutcome) -> Result<(), String> {
        let first = self.book.accepted(e, v)?;
        self.order_decided(n, e, v)?;
        if first {
            self.stats.accepted += 1;
            if self.t + KNOWN_MS <= END_AT {
                self.due_revision = self.book.newest.0;
            }
            match &e.change {
                Change::ReplaceVoter(h) => {
                    self.book.voters = self.voters[n].voter.as_ref().map(|s| s.cluster_state.voters.clone());
                    self.stats.readmitted += 1;
                    self.note(format!("{} readmitted as seat {}", h.node, h.number));
                }
                Change::Expire { node, incarnation, .. } => {
                    self.stats.expirations += 1;
                    let r = self
                        .routers
                        .iter()
                        .find(|r| r.info.node == *node && r.info.incarnation == *incarnation);
                    if let Some(r) = r.filter(|r| r.held.valid(r.clock.at(self.t))) {
                        return Err(format!("{} lapsed while it holds its tenure", r.info.node));
                    }
                }
                _ => {}
            }
            if let Some(calm) = self.calm_since.filter(|_| self.stats.back_ms == 0 && e.change.op().is_some())
            {
                self.stats.back_ms = (self.t - calm).max(1);
            }
        }
        if let Some(p) = self.waiting.remove(&(n, e.index))
            && p.starts == self.voters[p.voter].starts
        {
            if p.change != e.change {
                self.stats.undetermined += 1;
                return Ok(());
            }
            match v {
                ApplyOutcome::Accepted { .. } => {
                    self.stats.told_accepted += 1;
                    if self.broken != Some(Broken::EarlyAccept) {
                        self.book.told(&p.op, e.index, &p.change)?;
                    }
                }
                ApplyOutcome::Conflict { .. } => {
                    self.stats.told_conflict += 1;
                    self.book.told_refused.insert(p.op, ());
                }
                ApplyOutcome::Rejected { .. } => self.stats.told_refused += 1,
            }
        }
        Ok(())
    }

    /// The leader drops members whose lease must have expired.
    pub fn expire(&mut self, n: usize) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.voters[n];
        let now = s.clock.at(t);
        let Some(voter) = s.voter.as_ref().filter(|x| x.can_serve_reads(now) && s.frozen_until <= t) else {
            return Ok(());
        };
        let due = s.leases.expired_members(&voter.cluster_state, &timing(), now);
        due.into_iter().try_for_each(|ch| self.voter_step(n, Event::Propose(ch)))
    }

    pub fn router_wakeup(&mut self, r: usize) -> Result<(), String> {
        self.push(100, What::RouterWakeup(r));
        let t = self.t;
        if self.routers[r].frozen_until > t {
            return Ok(());
        }
        let now = self.routers[r].clock.at(t);
        if t >= self.routers[r].next_renew {
            self.routers[r].next_renew = t + timing().renew_interval_ms();
            let voter = self.routers[r].hint % self.voters.len();
            self.routers[r].hint = self.rng.random_range(0..self.voters.len());
            let info = self.routers[r].info.clone();
            let all = self.voters.len();
            for voter in (0..all - 1).map(|n| (voter + n) % all) {
                if let Some(ms) = self.transit(self.voters.len() + r, voter) {
                    let info = info.clone();
                    self.push(ms, What::Renew { voter, router: r, info, sent: now });
                }
            }
        }
        let voter = self.rng.random_range(0..self.voters.len());
        if let Some(ms) = self.transit(self.voters.len() + r, voter) {
            let have = self.routers[r].cluster_state.index;
            self.push(ms, What::AskNews { voter, router: r, have });
        }
        // A singleton role is acted on while the lease holds; the blow may land late.
        let me = &self.routers[r];
        let mine = singleton::holder_of(&me.cluster_state, DUTY, None).filter(|d| d.holder.info == me.info);
        if let Some(d) = mine.filter(|_| me.held.valid(now)) {
            let late = self.rng.random_range(1..400);
            let node = self.routers[r].info.node.clone();
            self.push(late, What::Act { fencing_token: d.fencing_token, node });
        }
        Ok(())
    }

    pub fn renew(&mut self, n: usize, r: usize, info: NodeInfo, sent: Tick) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.voters[n];
        let now = s.clock.at(t);
        let Some(voter) = s.voter.as_ref().filter(|x| x.can_serve_reads(now) && s.frozen_until <= t) else {
            return Ok(());
        };
        match s.leases.renew(&voter.cluster_state, &timing(), &info, now) {
            Renewal::Extended(epoch) => {
                if let Some(ms) = self.transit(n, self.voters.len() + r) {
                    self.push(ms, What::Renewed { router: r, incarnation: info.incarnation.0, epoch, sent });
                }
                Ok(())
            }
            Renewal::Pending(Some(ch)) => self.voter_step(n, Event::Propose(ch)),
            Renewal::Pending(None) => Ok(()),
        }
    }

    pub fn extend(&mut self, r: usize, incarnation: u64, epoch: Epoch, sent: Tick) -> Result<(), String> {
        let late = self.broken == Some(Broken::LateLease);
        let me = &mut self.routers[r];
        if me.info.incarnation.0 == incarnation {
            let now = me.clock.at(self.t);
            me.held.extend(epoch, if late { now } else { sent }, &timing());
        }
        Ok(())
    }

    pub fn tell_news(&mut self, n: usize, r: usize, have: Index) -> Result<(), String> {
        let Some(voter) =
            self.voters[n].voter.as_ref().filter(|s| s.initialized && self.voters[n].frozen_until <= self.t)
        else {
            return Ok(());
        };
        let back = self.broken == Some(Broken::NewsGoesBack);
        let state_update = if back {
            StateUpdate::Snapshot(Box::new(voter.cluster_state.clone()))
        } else {
            state_update::update_since(
                have,
                &voter.cluster_state,
                &voter.log,
                voter.snapshot_index,
                voter.size_limits,
            )
        };
        fits("news", &state_update, WIRE)?;
        if let Some(ms) = self.transit(n, self.voters.len() + r) {
            self.push(ms, What::StateUpdate { router: r, state_update: Box::new(state_update) });
        }
        Ok(())
    }

    pub fn take_news(&mut self, r: usize, state_update: StateUpdate) -> Result<(), String> {
        let me = &mut self.routers[r];
        let had = (me.cluster_state.index, me.cluster_state.revision);
        if let (Some(Broken::NewsGoesBack), StateUpdate::Snapshot(f)) = (self.broken, &state_update) {
            me.cluster_state = (**f).clone();
        } else {
            let mut own = me.cluster_state.clone();
            if state_update::install(&mut own, "sim", state_update) == InstallResult::Advanced {
                me.cluster_state = own;
            }
        }
        let now: (Index, Revision) = (me.cluster_state.index, me.cluster_state.revision);
        if now.0 < had.0 || now.1 < had.1 {
            return Err(format!("{} went back from {had:?} to {now:?}", me.info.node));
        }
        Ok(())
    }

    pub fn act(&mut self, fencing_token: FencingToken, node: NodeId) -> Result<(), String> {
        let through =
            self.fencing_tokens.check(DUTY, fencing_token).is_ok() || self.broken == Some(Broken::NoFences);
        if through { self.book.acted(fencing_token, &node) } else { Ok(()) }
    }
}
