//! The state as the short log brings it forward: a start goes the way that the voter went (design 2.6).

use super::{DurableState, Record};
use common::Index;

impl DurableState {
    /// Whether a record can be one that was written right behind this state: its entries go on where the
    /// log ends, or where the record trims it.
    pub fn leads_to(&self, rec: &Record) -> bool {
        let last = self.entries.last().map_or(self.ledger.index, |e| e.index);
        let (base, entries) = match rec {
            Record::DurableState(_) | Record::Promise(_) => return true,
            Record::Install { cut, entries, .. } => (*cut, entries),
            Record::Append { entries, .. } => (last, entries),
        };
        let due = (base.0 + 1)..;
        base <= last && entries.iter().zip(due).all(|(e, due)| e.index.0 == due)
    }

    /// Brings the image forward by one record, as the voter did when it wrote it.
    pub fn replay(&mut self, rec: Record) {
        match rec {
            Record::DurableState(i) => *self = *i,
            Record::Promise(v) => self.promised = self.promised.max(v),
            Record::Install { term, cut, entries } => {
                self.promised = self.promised.max(term);
                self.log_term = term;
                self.entries.retain(|e| e.index <= cut);
                let from = self.entries.last().map(|e| e.index).unwrap_or(self.ledger.index);
                self.entries.extend(entries.into_iter().filter(|e| e.index > from));
                self.accept_to(cut);
            }
            Record::Append { accepted, entries } => {
                self.entries.extend(entries);
                self.accept_to(accepted);
            }
        }
    }

    fn accept_to(&mut self, to: Index) {
        let due = self.entries.iter().take_while(|e| e.index <= to).count();
        for e in self.entries.drain(..due) {
            self.ledger.fold(e.index, &e.change);
        }
    }
}
