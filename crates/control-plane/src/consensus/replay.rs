//! The state as the short log brings it forward: a start goes the way that the voter went (design 2.6).

use super::{DurableState, Record};
use common::Index;

impl DurableState {
    /// Whether a record can be one that was written right behind this state: its entries go on where the
    /// log ends, or where the record trims it.
    pub fn leads_to(&self, record: &Record) -> bool {
        let last = self.entries.last().map_or(self.cluster_state.index, |e| e.index);
        let (base, entries) = match record {
            Record::DurableState(_) | Record::Promise(_) => return true,
            Record::Install { cut, entries, .. } => (*cut, entries),
            Record::Append { entries, .. } => (last, entries),
        };
        let due = (base.0 + 1)..;
        base <= last && entries.iter().zip(due).all(|(e, due)| e.index.0 == due)
    }

    /// Brings the image forward by one record, as the voter did when it wrote it.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::DurableState(i) => *self = *i,
            Record::Promise(v) => self.current_term = self.current_term.max(v),
            Record::Install { term, cut, entries } => {
                self.current_term = self.current_term.max(term);
                self.log_term = term;
                self.entries.retain(|e| e.index <= cut);
                let from = self.entries.last().map(|e| e.index).unwrap_or(self.cluster_state.index);
                self.entries.extend(entries.into_iter().filter(|e| e.index > from));
                self.commit_to(cut);
            }
            Record::Append { accepted, entries } => {
                self.entries.extend(entries);
                self.commit_to(accepted);
            }
        }
    }

    fn commit_to(&mut self, to: Index) {
        let due = self.entries.iter().take_while(|e| e.index <= to).count();
        for e in self.entries.drain(..due) {
            self.cluster_state.fold(e.index, &e.change);
        }
    }
}
