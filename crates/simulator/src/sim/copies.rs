//! Durable copies of acknowledged changes, counted after each step (design 7.1).
//!
//! A copy counts where a disk keeps it, synced, for a holder of the newest accepted set of voters.
//! Each acknowledged change has a majority of copies when it is accepted, and loses none of them but
//! by the disks that a fault wipes, until a majority is there again.

use super::{
    nodes::{SimSeat, addr},
    world::World,
};
use common::Index;
use control_plane::{Change, change::Holder, seat::Image};
use std::collections::BTreeMap;

/// What must hold of the copies of each accepted change.
#[derive(Debug, Default)]
pub struct Copies {
    /// Copies that each accepted change must have at least.
    required: BTreeMap<Index, usize>,
    /// What wiped disks kept: answers that tell of it may still be on their way.
    wiped: Vec<Image>,
    /// Accepted place at the time when a swap was first logged at a place.
    logged_swaps: BTreeMap<Index, Index>,
}

/// The last place of the accepted order that an image holds without a gap.
fn held_upto(image: &Image, order: &BTreeMap<Index, (Change, control_plane::Verdict)>) -> Index {
    let mut upto = image.ledger.idx;
    for entry in &image.entries {
        let same = order.get(&entry.idx).is_some_and(|(change, _)| *change == entry.change);
        if entry.idx == upto.next() && same {
            upto = entry.idx;
        }
    }
    upto
}

impl World {
    /// The newest accepted set of voters.
    pub fn voters(&self) -> Option<Vec<Holder>> {
        let founded = || {
            let formed = self.seats.iter().filter_map(|s| s.disk.kept.as_ref()).find(|k| k.formed);
            formed.map(|k| k.ledger.roster.clone())
        };
        self.book.roster.clone().or_else(founded)
    }

    /// The machine that holds a voter's seat, if it is the one of that incarnation.
    pub fn machine(&self, holder: &Holder) -> Option<&SimSeat> {
        let at = self.seats.iter().find(|s| s.me.rail == holder.rail)?;
        let kept = at.disk.kept.as_ref().filter(|k| k.formed && k.me.inc == holder.inc);
        kept.map(|_| at)
    }

    /// Up to which place each voter's disk holds the accepted order; voters without a copy are left out.
    fn held(&self, voters: &[Holder]) -> Vec<Index> {
        let disks = voters.iter().filter_map(|h| self.machine(h)).filter_map(|s| s.disk.kept.as_ref());
        disks.map(|k| held_upto(k, &self.book.order)).collect()
    }

    /// A swap was logged: what is accepted by then must be durable at the newcomer first.
    pub fn swap_logged(&mut self, at: Index) {
        let accepted = self.book.order.keys().next_back().copied().unwrap_or_default();
        self.copies.logged_swaps.insert(at, accepted);
    }

    /// A swap counts only once the newcomer holds, durably, all that was accepted when it was logged.
    pub fn swap_accepted(&mut self, at: Index, newcomer: &Holder) -> Result<(), String> {
        let Some(majority) = self.voters().map(|v| v.len() / 2 + 1) else { return Ok(()) };
        self.copies.required.values_mut().for_each(|r| *r = majority);
        let due = self.copies.logged_swaps.get(&at).copied().unwrap_or_default();
        // What was wiped after the newcomer had said that it holds it was held.
        let wiped = self.copies.wiped.iter().filter(|k| k.me.inc == newcomer.inc);
        let wiped = wiped.map(|k| held_upto(k, &self.book.order));
        let held = self.held(std::slice::from_ref(newcomer)).into_iter().chain(wiped).max();
        match held {
            Some(upto) if upto >= due => Ok(()),
            _ => Err(format!(
                "{} was swapped in at {at} and durably holds {held:?}, where {due} was accepted before",
                newcomer.node
            )),
        }
    }

    /// After each step: no acknowledged change has fewer copies than it must have.
    pub fn look_at_copies(&mut self) -> Result<(), String> {
        let Some(voters) = self.voters().filter(|_| self.checks_copies) else { return Ok(()) };
        let held = self.held(&voters);
        let majority = voters.len() / 2 + 1;
        for at in self.book.order.keys() {
            let copies = held.iter().filter(|upto| *upto >= at).count();
            let taken = || {
                let voted = |k: &&Image| voters.iter().any(|h| h.inc == k.me.inc);
                let wiped = self.copies.wiped.iter().filter(voted);
                wiped.filter(|k| held_upto(k, &self.book.order) >= *at).count()
            };
            let required =
                self.copies.required.entry(*at).or_insert_with(|| majority.saturating_sub(taken()));
            if copies < *required {
                return Err(format!(
                    "the change accepted at {at} has {copies} durable copies of {required} among {} voters",
                    voters.len()
                ));
            }
            *required = copies.min(majority);
        }
        Ok(())
    }

    /// A fault wipes a disk.
    pub fn wipe(&mut self, n: usize) {
        self.copies.wiped.extend(self.seats[n].disk.kept.take().filter(|k| k.formed));
        self.seats[n].disk.lose();
    }

    /// A fault has just wiped disks: the count may fall by what it took, and by no more.
    pub fn copies_wiped(&mut self) {
        let Some(voters) = self.voters() else { return };
        let held = self.held(&voters);
        for (at, required) in &mut self.copies.required {
            *required = (*required).min(held.iter().filter(|upto| *upto >= at).count());
        }
    }

    /// Whether a machine's seat is one of the newest set of voters.
    pub fn votes(&self, n: usize) -> bool {
        self.voters().is_some_and(|v| v.iter().any(|h| h.rail == addr(n)))
    }
}
