//! Clients that read, race on one base revision, and resend operations at any member (design 7.1).
//!
//! Members answer them by the daemons' own `operation_status`. Answers are lost, operations reach the leader late,
//! and an operation may be resent after restarts and after many later changes.

use super::{
    Broken,
    clients::{Clients, Logged, Request},
    event::SimEvent,
    world::{LAST_CALL_MS, World},
};
use common::{OpId, Revision};
use control_plane::{
    ApplyOutcome, Change, ClusterState,
    consensus::{Effect, Event},
    state_machine::{AcceptedOperations, OperationStatus, operation_status},
    types::LogEntry,
};
use rand::Rng;

/// Time between two calls of the clients.
const CALL_INTERVAL_MS: std::ops::Range<u64> = 20..500;

impl World {
    /// Adds clients to this world.
    pub fn with_clients(mut self) -> Self {
        self.clients = Some(Clients::new(self.seed));
        self.push(3_000, SimEvent::ClientCall);
        self
    }

    /// A client sends a new operation, sends one again, or reads.
    pub fn client_call(&mut self) -> Result<(), String> {
        let Some(clients) = &mut self.clients else { return Ok(()) };
        let gap = clients.rng.random_range(CALL_INTERVAL_MS);
        let choice = clients.rng.random_range(0..10);
        if self.time_ms + gap < LAST_CALL_MS {
            self.push(gap, SimEvent::ClientCall);
        }
        match choice {
            0..3 => self.send_new(1),
            3 => self.send_new(2),
            4..7 => self.resend(),
            _ => self.read(),
        }
    }

    /// Sends new operations on top of the newest revision that a client has read, `at_once` of them on the same base.
    fn send_new(&mut self, at_once: usize) -> Result<(), String> {
        for _ in 0..at_once {
            let Some(clients) = &mut self.clients else { return Ok(()) };
            let op = OpId::new(format!("order{}", clients.sent.len()));
            let base = clients.newest_read;
            clients.sent.push(Request { op, base });
            let newest = clients.sent.len() - 1;
            self.send(newest)?;
        }
        Ok(())
    }

    /// Resends any earlier operation, whatever its sender was told.
    fn resend(&mut self) -> Result<(), String> {
        let Some(clients) = self.clients.as_mut().filter(|r| !r.sent.is_empty()) else { return Ok(()) };
        let n = clients.rng.random_range(0..clients.sent.len());
        self.send(n)
    }

    /// Sends an operation to a random member, which handles it as the daemons' operator service does: by the newest
    /// state, or not at all if it can't get that.
    fn send(&mut self, request: usize) -> Result<(), String> {
        let Some(clients) = &mut self.clients else { return Ok(()) };
        let member = clients.rng.random_range(0..self.voters.len());
        let Request { op, base } = clients.sent[request].clone();
        let Some((leader, mut cluster_state)) = self.leader_state_from(member) else {
            return self.count_unavailable();
        };
        if self.broken == Some(Broken::OutcomesForgotten) {
            cluster_state.accepted_operations = AcceptedOperations::default();
        }
        let text = || format!("document of {op}").into();
        let rebases = self.broken == Some(Broken::OutdatedBasesReplaced);
        let change = match operation_status(&cluster_state, &op, base.0, cluster_state.revision.0) {
            // Already accepted: it is logged again without content, which keeps the recorded outcome, and is
            // acknowledged when that entry commits. The base makes it conflict if the outcome was forgotten meanwhile.
            OperationStatus::Decided(ApplyOutcome::Accepted { .. }) => {
                Change::Apply { op, base: Revision(u64::MAX), text: "".into() }
            }
            OperationStatus::Open => Change::Apply { text: text(), op, base },
            OperationStatus::Superseded if rebases => {
                Change::Apply { text: text(), op, base: cluster_state.revision }
            }
            OperationStatus::Superseded | OperationStatus::Decided(_) => {
                // The refusal names the current revision.
                if let Some(clients) = &mut self.clients {
                    clients.newest_read = clients.newest_read.max(cluster_state.revision);
                }
                return self.clients.as_mut().map_or(Ok(()), |r| r.record_refused(&op));
            }
            OperationStatus::Forgotten => return Ok(()),
        };
        match self.forward_delay(member, leader) {
            Some(ms) => self.push(ms, SimEvent::Forward { to: leader, change: Box::new(change) }),
            None => self.count_unavailable()?,
        }
        Ok(())
    }

    /// Delay in milliseconds of an operation to the leader, sometimes far longer than its sender waits; `None` if the
    /// link is cut.
    fn forward_delay(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.cut_links.contains(&(from, to)) {
            return None;
        }
        let rng = &mut self.clients.as_mut()?.rng;
        let late = rng.random_bool(0.1);
        Some(if late { rng.random_range(500..8_000) } else { rng.random_range(1..30) })
    }

    /// A forwarded change arrives at a voter, which proposes it.
    pub fn forwarded(&mut self, voter_id: usize, change: Change) -> Result<(), String> {
        if self.voters[voter_id].frozen_until_ms > self.time_ms {
            let wait = self.voters[voter_id].frozen_until_ms - self.time_ms;
            self.push(wait, SimEvent::Forward { to: voter_id, change: Box::new(change) });
            return Ok(());
        }
        let now = self.voters[voter_id].clock.at(self.time_ms);
        let starts = self.voters[voter_id].starts;
        let Some(voter) = self.voters[voter_id].voter.as_mut() else { return Ok(()) };
        let effects = voter.step(Event::Propose(change), now);
        for effect in &effects {
            if let (Effect::Logged { index, change }, Some(clients)) = (effect, &mut self.clients)
                && let Some(op) = change.op().cloned()
            {
                clients.waiting.insert((voter_id, *index), Logged { op, starts, change: change.clone() });
            }
        }
        effects.into_iter().try_for_each(|effect| self.effect(voter_id, effect))
    }

    /// A member committed an entry: the client is told the outcome, unless the answer is lost.
    pub fn client_outcome(
        &mut self,
        voter_id: usize,
        entry: &LogEntry,
        outcome: &ApplyOutcome,
    ) -> Result<(), String> {
        let starts = self.voters[voter_id].starts;
        let Some(clients) = &mut self.clients else { return Ok(()) };
        let known = entry.change.op().filter(|op| clients.sent.iter().any(|o| o.op == **op));
        if let (Some(op), ApplyOutcome::Accepted { revision }) = (known, outcome) {
            if clients.reported_refused.contains(op) {
                return Err(format!("{op}, which was reported as refused, is in force"));
            }
            clients.in_force.entry(op.clone()).or_insert(*revision);
        }
        let Some(logged) = clients.waiting.remove(&(voter_id, entry.index)) else { return Ok(()) };
        let lost = clients.rng.random_bool(0.2);
        if lost || logged.starts != starts || logged.change != entry.change {
            return Ok(());
        }
        let confirms = matches!(&entry.change, Change::Apply { base, .. } if *base == Revision(u64::MAX));
        match outcome {
            ApplyOutcome::Accepted { .. } => clients.record_acknowledged(&logged.op),
            ApplyOutcome::Conflict { .. } if !confirms => clients.record_refused(&logged.op),
            _ => Ok(()),
        }
    }

    /// Reads at a random member; the answer must not be older than what was acknowledged before.
    fn read(&mut self) -> Result<(), String> {
        let Some(clients) = &mut self.clients else { return Ok(()) };
        let member = clients.rng.random_range(0..self.voters.len());
        let before = clients.newest_acknowledged;
        let Some((_, cluster_state)) = self.leader_state_from(member) else {
            return self.count_unavailable();
        };
        if let Some(clients) = &mut self.clients {
            clients.reads += 1;
            clients.newest_read = clients.newest_read.max(cluster_state.revision);
        }
        if cluster_state.revision < before {
            return Err(format!(
                "s{member} answered a read with {} where {before} had been acknowledged",
                cluster_state.revision
            ));
        }
        Ok(())
    }

    /// The leader that a member can reach and its state, if that leader can serve reads.
    fn leader_state_from(&self, member: usize) -> Option<(usize, ClusterState)> {
        let awake = |node: usize| self.voters[node].frozen_until_ms <= self.time_ms;
        let process = self.voters[member].voter.as_ref().filter(|s| s.initialized && awake(member))?;
        if self.broken == Some(Broken::ReadsWithoutLease) {
            return Some((member, process.cluster_state.clone()));
        }
        let leader = process.leader().map_or(member, |h| usize::from(h.rpc_addr.port() - 7000));
        let linked =
            !self.cut_links.contains(&(member, leader)) && !self.cut_links.contains(&(leader, member));
        let voter = self.voters.get(leader)?.voter.as_ref().filter(|_| linked && awake(leader))?;
        let current = voter.can_serve_reads(self.voters[leader].clock.at(self.time_ms));
        current.then(|| (leader, voter.cluster_state.clone()))
    }

    fn count_unavailable(&mut self) -> Result<(), String> {
        if let Some(clients) = &mut self.clients {
            clients.unavailable += 1;
        }
        Ok(())
    }
}
