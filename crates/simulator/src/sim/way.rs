//! The way of messages, writes and effects in the simulated world (design 7.1).

use super::{
    Broken,
    disk::Mood,
    nodes::{WIRE, addr, fits},
    world::{What, World},
};
use control_plane::{
    seat::{Ev, Fx, SeatMsg},
    tenure::Tenures,
};
use rand::Rng;

impl World {
    /// How long a message takes; none where it is lost.
    pub fn transit(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.cut.contains(&(from, to)) || self.rng.random_bool(0.01) {
            return None;
        }
        if let Some(distances) = self.distances {
            return Some(self.far(&distances, from, to));
        }
        let spike = self.rng.random_bool(0.02);
        Some(if spike { self.rng.random_range(50..600) } else { self.rng.random_range(1..15) })
    }

    pub fn deliver(&mut self, to: usize, from: usize, msg: SeatMsg) -> Result<(), String> {
        if self.seats[to].frozen_until > self.t {
            let wait = self.seats[to].frozen_until - self.t;
            self.push(wait, What::Seat { to, from, msg: Box::new(msg) });
            return Ok(());
        }
        self.seat_step(to, Ev::Msg(addr(from), msg))
    }

    pub fn synced(&mut self, n: usize, life: u64) -> Result<(), String> {
        if self.seats[n].life != life {
            return Ok(());
        }
        match self.seats[n].disk.mood {
            Mood::Stalled => {
                self.push(40, What::Synced { seat: n, life });
                Ok(())
            }
            Mood::Failing => self.seat_step(n, Ev::SyncFailed),
            _ => match self.seats[n].disk.sync_one() {
                Some(tok) => self.seat_step(n, Ev::Synced(tok)),
                None => Ok(()),
            },
        }
    }

    pub fn seat_step(&mut self, n: usize, ev: Ev) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.seats[n];
        if s.frozen_until > t && !matches!(ev, Ev::Synced(_) | Ev::SyncFailed) {
            return Ok(());
        }
        let Some(seat) = s.seat.as_mut() else { return Ok(()) };
        let fx = seat.step(ev, s.clock.at(t));
        fx.into_iter().try_for_each(|f| self.effect(n, f))
    }

    pub fn effect(&mut self, n: usize, f: Fx) -> Result<(), String> {
        match f {
            Fx::Send { to, msg } => {
                let to = usize::from(to.port() - 7000);
                let votes = matches!(msg, SeatMsg::Canvassed { .. } | SeatMsg::Stopped { .. });
                if votes && self.seats[n].seat.as_ref().is_some_and(|s| !s.formed) {
                    return Err(format!("s{n} votes and holds nothing"));
                }
                fits("a message", &msg, WIRE)?;
                if let Some(ms) = self.transit(n, to).filter(|_| to < self.seats.len()) {
                    self.push(ms, What::Seat { to, from: n, msg: Box::new(msg) });
                }
            }
            Fx::Persist { tok, rec } => {
                self.seats[n].disk.write(tok, rec)?;
                if self.broken == Some(Broken::LyingDisk) {
                    return self.seat_step(n, Ev::Synced(tok));
                }
                let newcomer = self.seats[n].disk.kept.as_ref().is_some_and(|k| !k.formed) && self.t > 4_000;
                if newcomer && self.broken == Some(Broken::EarlySnapshot) {
                    let life = self.seats[n].life;
                    self.push(2_000, What::Synced { seat: n, life });
                    return self.seat_step(n, Ev::Synced(tok));
                }
                let ms = match self.seats[n].disk.mood {
                    Mood::Slow => self.rng.random_range(100..900),
                    _ => self.rng.random_range(1..8),
                };
                let life = self.seats[n].life;
                self.push(ms, What::Synced { seat: n, life });
            }
            Fx::Accepted { entry, verdict } => self.on_accepted(n, &entry, &verdict)?,
            Fx::Lead { view } => {
                self.stats.views += 1;
                self.note(format!("s{n} leads view {view}"));
                let now = self.seats[n].clock.at(self.t);
                self.seats[n].tenures = Tenures::taken_over(now);
            }
            Fx::Out => self.note(format!("s{n} learns that it is out")),
            Fx::Logged { idx, change: control_plane::Change::Roster(_) } => self.swap_logged(idx),
            Fx::Framed | Fx::Logged { .. } | Fx::NotLogged { .. } => {}
        }
        Ok(())
    }
}
