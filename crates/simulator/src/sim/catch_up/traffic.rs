//! What the seats are sent: messages over their lines, and changes one after the other.

use super::{
    BrokenCatchUp, Documents,
    cluster::{Cluster, Event},
    member::{Member, SEATS},
};
use control_plane::{
    Change, Document,
    seat::{Body, Ev, Room, SeatMsg},
};
use rand::{Rng, rngs::SmallRng};

/// Bytes of a message beside the state that it carries.
const HEAD: usize = 128;
/// Lengths that growing documents go through.
const SIZES: u64 = 16;
const SMALL: usize = 200;

impl Cluster {
    pub(super) fn send(&mut self, from: usize, to: usize, mut msg: SeatMsg) -> Result<(), String> {
        if self.members[from].cut || self.members[to].cut || self.members[to].seat.is_none() {
            return Ok(());
        }
        let votes = matches!(msg, SeatMsg::Canvassed { .. } | SeatMsg::Stopped { .. });
        if votes && self.members[from].seat.as_ref().is_some_and(|s| !s.formed) {
            return Err(format!("s{from} votes and holds nothing"));
        }
        if self.broken == Some(BrokenCatchUp::CountsEarly) && self.watched == Some(from) {
            self.claim_all(&mut msg);
        }
        if self.watched == Some(to) {
            self.measured.bytes += msg.weight();
            let snapshot = matches!(&msg, SeatMsg::Feed { body: Body::Install { frame: Some(_), .. }, .. });
            self.measured.snapshots += usize::from(snapshot);
        }
        self.measured.longest = self.measured.longest.max(msg.weight());
        let line = self.lines.entry((from, to)).or_default();
        let arrives = line.send(self.t, HEAD + msg.weight(), self.speed, &mut self.rng);
        self.push(arrives, Event::Message { from, to, msg: Box::new(msg) });
        Ok(())
    }

    /// The next change, once the one before it is accepted; one that was lost is given up.
    pub(super) fn propose(&mut self) -> Result<(), String> {
        let now = self.now();
        if self.accepted_changes() >= self.propose_until {
            return Ok(());
        }
        let current = |m: &Member| !m.cut && m.seat.as_ref().is_some_and(|s| s.current(now));
        let Some(n) = (0..SEATS).find(|n| current(&self.members[*n])) else { return Ok(()) };
        let Some(seat) = self.members[n].seat.as_ref() else { return Ok(()) };
        if self.waiting.is_some_and(|w| w <= seat.last() && w > seat.accepted()) {
            return Ok(());
        }
        self.proposed += 1;
        let size = self.accepted_changes() * self.documents.len() as u64 / self.changes.max(1);
        let text = self.documents[(size as usize).min(self.documents.len() - 1)].clone();
        let op = format!("change-{}", self.proposed).as_str().into();
        let change = Change::Apply { op, base: seat.ledger.revision, text };
        self.waiting = Some(seat.last().next());
        self.step(n, Ev::Propose(change))
    }
}

/// Documents that don't pack, in the order in which the changes bring them.
pub(super) fn documents(kind: Documents, rng: &mut SmallRng) -> Vec<Document> {
    let mut text = |len: usize| -> Document {
        let letters: String = (0..len).map(|_| char::from(rng.random_range(b' '..=b'~'))).collect();
        letters.into()
    };
    match kind {
        Documents::Small => vec![text(SMALL)],
        Documents::Growing => {
            let longest = Room::default().doc() as u64;
            (1..=SIZES).map(|n| text((longest * n / SIZES) as usize)).collect()
        }
    }
}
