//! Replay protection for signed forwarded requests (design 5.6): no input or output, and no clock. Each router
//! numbers its forwarded requests within its membership; who is asked keeps a sliding window of the numbers it
//! took from each member, as IPsec does (RFC 4303, 3.4.3).

use common::{Epoch, NodeId};
use std::collections::HashMap;

/// Hops of one sender that may overtake another one of its: 2 KiB for each member.
pub const WINDOW: u64 = 1 << 14;

#[derive(Debug)]
struct Window {
    epoch: Epoch,
    highest: u64,
    taken: Box<[u64]>,
}

impl Window {
    fn new(epoch: Epoch) -> Self {
        Self { epoch, highest: 0, taken: vec![0; (WINDOW / 64) as usize].into() }
    }

    fn take(&mut self, number: u64) -> Result<(), &'static str> {
        if self.highest.saturating_sub(number) >= WINDOW {
            return Err("hop out of date");
        }
        let at = |n: u64| ((n % WINDOW / 64) as usize, 1u64 << (n % 64));
        if number.saturating_sub(self.highest) >= WINDOW {
            self.taken.fill(0);
        } else {
            for (word, bit) in (self.highest..number).map(|n| at(n + 1)) {
                self.taken[word] &= !bit;
            }
        }
        self.highest = self.highest.max(number);
        let (word, bit) = at(number);
        if self.taken[word] & bit != 0 {
            return Err("hop used before");
        }
        self.taken[word] |= bit;
        Ok(())
    }
}

/// What was taken from each member, for as long as it is one.
#[derive(Debug, Default)]
pub struct ReplayGuard(HashMap<NodeId, Window>);

impl ReplayGuard {
    /// Takes a forwarded request once. `member` tells the epoch of a node's membership as it is known here: a
    /// membership that ended never comes back, so its numbers need not be kept.
    pub fn take(
        &mut self,
        from: &NodeId,
        epoch: Epoch,
        number: u64,
        member: &dyn Fn(&NodeId) -> Option<Epoch>,
    ) -> Result<(), &'static str> {
        if member(from) != Some(epoch) {
            return Err("sender not a member here");
        }
        if self.0.get(from).is_none_or(|w| w.epoch != epoch) {
            self.0.retain(|n, w| member(n) == Some(w.epoch));
            self.0.insert(from.clone(), Window::new(epoch));
        }
        self.0.get_mut(from).map_or(Ok(()), |w| w.take(number))
    }

    /// Members whose numbers are kept.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
