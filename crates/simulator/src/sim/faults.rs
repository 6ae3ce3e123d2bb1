//! What fails, by seed (design 7.1).

use super::{
    Broken,
    disk::DiskCondition,
    nodes::{ROUTERS, SimVoter},
    world::{CALM_AT, CORE, What, World},
};
use common::Term;
use control_plane::consensus::DurableState;
use rand::Rng;

#[derive(Debug)]
pub enum Undo {
    Start(usize),
    Cut(Vec<(usize, usize)>),
    HealDisk(usize),
    Router(usize),
    Calm,
}

impl World {
    pub fn crash(&mut self, n: usize) {
        let s = &mut self.voters[n];
        s.voter = None;
        s.starts += 1;
        let reached =
            if s.disk.pending.is_empty() { 0 } else { self.rng.random_range(0..=s.disk.pending.len()) };
        let reached = if self.broken == Some(Broken::LyingDisk) { 0 } else { reached };
        self.voters[n].disk.crash(reached);
        self.waiting.retain(|k, _| k.0 != n);
    }

    pub fn start(&mut self, n: usize) {
        if self.voters[n].voter.is_none() && self.voters[n].there {
            let incarnation = self.number();
            let t = self.t;
            self.voters[n].start(t, incarnation);
            self.note(format!("s{n} starts"));
        }
    }

    /// All holders of the newest accepted voters hold a whole state, and no swap is under way:
    /// one more machine may be lost.
    pub fn whole(&self) -> bool {
        let initialized = self.voters.iter().filter_map(|s| s.voter.as_ref()).find(|s| s.initialized);
        let Some(first) = initialized.map(|s| s.cluster_state.voters.clone()) else { return false };
        let newest = self.book.voters.as_ref().unwrap_or(&first);
        let holds_state = |s: &SimVoter| s.disk.durable.as_ref().is_some_and(|k| k.initialized);
        newest.iter().all(|h| {
            self.voters.iter().filter(|s| holds_state(s)).filter_map(|s| s.voter.as_ref()).any(|x| {
                x.initialized
                    && x.me.incarnation == h.incarnation
                    && !x.disk_failed
                    && x.voters().iter().all(|r| newest.contains(r))
            })
        })
    }

    pub fn fault(&mut self) -> Result<(), String> {
        if self.t >= CALM_AT {
            self.push(0, What::Heal(Box::new(Undo::Calm)));
            return Ok(());
        }
        let gap = self.rng.random_range(300..4_000);
        self.push(gap, What::Fault);
        self.stats.faults += 1;
        let n = self.rng.random_range(0..self.voters.len());
        let ms = self.rng.random_range(50..6_000);
        match self.rng.random_range(0..14) {
            0 | 1 => {
                self.note(format!("crash s{n}"));
                self.crash(n);
                self.push(ms, What::Heal(Box::new(Undo::Start(n))));
            }
            2 => {
                self.note("herd crash".into());
                for n in 0..self.voters.len() {
                    self.crash(n);
                    let ms = self.rng.random_range(50..2_000);
                    self.push(ms, What::Heal(Box::new(Undo::Start(n))));
                }
            }
            3 | 4 => {
                self.note(format!("freeze s{n} for {ms}"));
                self.voters[n].frozen_until = self.t + ms;
            }
            5 => {
                let r = self.rng.random_range(0..ROUTERS);
                self.note(format!("freeze p{r} for {ms}"));
                self.routers[r].frozen_until = self.t + ms;
            }
            6 => {
                let m = self.rng.random_range(0..self.voters.len());
                self.cut_for(vec![(n, m)], ms, "one-way cut");
            }
            7 | 8 => {
                let pairs = (0..self.voters.len() + ROUTERS).flat_map(|m| [(n, m), (m, n)]).collect();
                self.cut_for(pairs, ms, "isolated");
            }
            9 => {
                self.note(format!("slow disk s{n} for {ms}"));
                self.voters[n].disk.condition = DiskCondition::Slow;
                self.push(ms, What::Heal(Box::new(Undo::HealDisk(n))));
            }
            10 => {
                self.note(format!("stalled disk s{n} for {ms}"));
                self.voters[n].disk.condition = DiskCondition::Stalled;
                self.push(ms, What::Heal(Box::new(Undo::HealDisk(n))));
            }
            11 if self.rng.random_bool(0.5) => {
                self.note(format!("failing disk s{n}, new process in {ms}"));
                self.voters[n].disk.condition = DiskCondition::Failing;
                self.push(ms, What::Heal(Box::new(Undo::Start(n))));
            }
            11 => {
                self.note(format!("planned stop of s{n}"));
                self.voter_step(n, control_plane::consensus::Event::StepDown)?;
                if self.rng.random_bool(0.7) {
                    self.crash(n);
                    self.push(ms, What::Heal(Box::new(Undo::Start(n))));
                }
            }
            12 => self.lose_disk(n, ms),
            13 => self.replace(n, ms),
            _ => {
                let r = self.rng.random_range(0..ROUTERS);
                self.note(format!("restart p{r}"));
                self.push(ms, What::Heal(Box::new(Undo::Router(r))));
            }
        }
        Ok(())
    }

    fn cut_for(&mut self, pairs: Vec<(usize, usize)>, ms: u64, what: &str) {
        self.note(format!("{what}: {:?} for {ms}", pairs.first()));
        self.cut.extend(pairs.iter().copied());
        self.push(ms, What::Heal(Box::new(Undo::Cut(pairs))));
    }

    fn lose_disk(&mut self, n: usize, ms: u64) {
        if !self.whole() || !self.voters[n].there {
            return;
        }
        // A core of more than three bears the loss of two at once.
        let other = (n + 1) % self.voters.len();
        if self.voters.len() > CORE + 1 && self.voters[other].there && self.rng.random_bool(0.5) {
            self.blank(other, ms / 2);
        }
        self.blank(n, ms);
    }

    fn blank(&mut self, n: usize, ms: u64) {
        self.note(format!("s{n} loses its disk"));
        self.voters[n].lost = true;
        let was = self.voters[n].disk.durable.clone();
        self.crash(n);
        self.voters[n].disk.wipe();
        if let (Some(Broken::BlankVotes), Some(i)) = (self.broken, was.filter(|i| i.initialized)) {
            let cluster_state =
                control_plane::ClusterState::bootstrapped("sim", i.cluster_state.voters.clone());
            let image = DurableState {
                current_term: Term(0),
                log_term: Term(0),
                cluster_state,
                entries: Vec::new(),
                ..i
            };
            self.voters[n].disk.durable = Some(image);
        }
        self.push(ms, What::Heal(Box::new(Undo::Start(n))));
    }

    /// An empty machine at a new address takes over; the old one may come back later.
    fn replace(&mut self, n: usize, ms: u64) {
        let new = self.voters.len() - 1;
        if !self.whole() || self.voters[new].there || n == new {
            return;
        }
        self.note(format!("s{n} is gone, an empty s{new} comes up at another address"));
        self.crash(n);
        self.voters[new].there = true;
        self.push(200, What::Heal(Box::new(Undo::Start(new))));
        self.push(6_000 + 2 * ms, What::Heal(Box::new(Undo::Start(n))));
    }

    pub fn undo(&mut self, u: Undo) -> Result<(), String> {
        match u {
            Undo::Start(n) => {
                // A process with a failed disk is restarted by the platform.
                if self.voters[n].voter.as_ref().is_some_and(|s| s.disk_failed)
                    || self.voters[n].disk.condition == DiskCondition::Failing
                {
                    self.crash(n);
                }
                self.start(n);
            }
            Undo::Cut(pairs) => self.cut.retain(|p| !pairs.contains(p)),
            Undo::HealDisk(n) => self.voters[n].disk.condition = DiskCondition::Healthy,
            Undo::Router(r) => {
                let incarnation = self.number();
                let clock = self.routers[r].clock;
                self.routers[r] = super::nodes::SimRouter::new(r, incarnation, clock);
            }
            Undo::Calm => {
                self.note("calm".into());
                self.cut.clear();
                for n in 0..self.voters.len() {
                    self.voters[n].frozen_until = 0;
                    if self.voters[n].disk.condition == DiskCondition::Failing {
                        self.crash(n);
                    }
                    self.voters[n].disk.condition = DiskCondition::Healthy;
                    self.start(n);
                }
                self.routers.iter_mut().for_each(|r| r.frozen_until = 0);
                self.calm_since = Some(self.t);
            }
        }
        Ok(())
    }
}
