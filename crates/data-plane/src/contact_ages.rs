//! The contacts of a router as it passes them on to another one (design 3.5). Pure.
//!
//! A contact with a node at a time says that this router's copy of the cluster state holds all that the node's copy held
//! then. So it can be passed on: whoever has the sender's copy, or a newer one, also holds all that the sender's contacts held.

use common::{Epoch, NodeId, Tick};
use control_plane::ClusterState;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// When each node was last contacted, on the own clock.
pub type LastContacts = HashMap<NodeId, Tick>;

/// Stands for a contact that is too old to matter, or for none.
const NO_CONTACT: u8 = u8::MAX;
/// The longest age that can be sent, in units.
const MAX_AGE_UNITS: u64 = NO_CONTACT as u64 - 1;

/// How long ago each member was last contacted, in the order of the members' names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactAges {
    /// The membership that the ages refer to.
    epoch: Epoch,
    /// Length of one unit of age, in milliseconds.
    unit_ms: u64,
    ages: Vec<u8>,
}

impl ContactAges {
    /// The ages of this node's contacts of at most `max_age_ms`. The node itself has age 0.
    pub fn new(
        state: &ClusterState,
        own: &NodeId,
        contacts: &LastContacts,
        now: Tick,
        max_age_ms: u64,
    ) -> Self {
        let unit_ms = max_age_ms.div_ceil(MAX_AGE_UNITS).max(1);
        let age_of = |node: &NodeId| {
            if node == own {
                return 0;
            }
            let age_ms = contacts.get(node).map(|at| now.since(*at)).filter(|age_ms| *age_ms <= max_age_ms);
            age_ms.map_or(NO_CONTACT, |age_ms| age_ms.div_ceil(unit_ms).min(MAX_AGE_UNITS) as u8)
        };
        Self { epoch: state.epoch, unit_ms, ages: state.members.keys().map(age_of).collect() }
    }

    /// Takes these contacts over into those of a node whose state is at least as new as the sender's; `sent` is a time
    /// before the sender answered. Ages that refer to another membership are ignored.
    pub fn merge_into(&self, contacts: &mut LastContacts, state: &ClusterState, sent: Tick) {
        if self.epoch != state.epoch || self.ages.len() != state.members.len() {
            return;
        }
        for (node, age) in state.members.keys().zip(&self.ages).filter(|(_, age)| **age != NO_CONTACT) {
            let at = sent - u64::from(*age) * self.unit_ms;
            match contacts.get_mut(node) {
                Some(known) => *known = at.max(*known),
                None => drop(contacts.insert(node.clone(), at)),
            }
        }
    }
}
