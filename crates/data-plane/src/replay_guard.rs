//! Replay protection for signed forwarded requests (design 5.6), without input, output or a clock. Each router numbers
//! the requests that it forwards within its membership. The receiver keeps a sliding window of the numbers that it
//! accepted from each member, as IPsec does (RFC 4303, 3.4.3).

use common::{Epoch, NodeId};
use std::collections::HashMap;

/// How far a number may lag behind the highest one of its sender. The window takes 2 KiB for each member.
pub const WINDOW: u64 = 1 << 14;

#[derive(Debug)]
struct Window {
    epoch: Epoch,
    highest: u64,
    /// One bit for each number of the window.
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
        let bit_of = |n: u64| ((n % WINDOW / 64) as usize, 1u64 << (n % 64));
        if number.saturating_sub(self.highest) >= WINDOW {
            self.taken.fill(0);
        } else {
            for (word, bit) in (self.highest..number).map(|n| bit_of(n + 1)) {
                self.taken[word] &= !bit;
            }
        }
        self.highest = self.highest.max(number);
        let (word, bit) = bit_of(number);
        if self.taken[word] & bit != 0 {
            return Err("hop used before");
        }
        self.taken[word] |= bit;
        Ok(())
    }
}

/// The numbers that were accepted from each member, kept as long as it is one.
#[derive(Debug, Default)]
pub struct ReplayGuard(HashMap<NodeId, Window>);

impl ReplayGuard {
    /// Accepts each number of a sender once. `epoch_of` returns the epoch of a node's membership as it is known here. A
    /// membership that ended never comes back, so its numbers are dropped.
    pub fn take(
        &mut self,
        from: &NodeId,
        epoch: Epoch,
        number: u64,
        epoch_of: &dyn Fn(&NodeId) -> Option<Epoch>,
    ) -> Result<(), &'static str> {
        if epoch_of(from) != Some(epoch) {
            return Err("sender not a member here");
        }
        if self.0.get(from).is_none_or(|window| window.epoch != epoch) {
            self.0.retain(|node, window| epoch_of(node) == Some(window.epoch));
            self.0.insert(from.clone(), Window::new(epoch));
        }
        self.0.get_mut(from).map_or(Ok(()), |window| window.take(number))
    }

    /// Number of members whose numbers are kept.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no numbers are kept.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
