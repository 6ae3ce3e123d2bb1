//! News (design 3.3): a snapshot, then changes by number; a gap means a new snapshot, and nothing
//! older than what was seen is ever installed.

use crate::{
    consensus::{LogEntry, Room},
    ledger::Ledger,
};
use common::Index;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum News {
    Same,
    Snapshot(Box<Ledger>),
    Changes(Vec<LogEntry>),
}

/// What to tell a follower that has `have`.
pub fn since(have: Index, ledger: &Ledger, log: &VecDeque<LogEntry>, base: Index, room: Room) -> News {
    if have >= ledger.index && have != Index(0) {
        return News::Same;
    }
    if have < base || have == Index(0) {
        return News::Snapshot(Box::new(ledger.clone()));
    }
    let due = || log.iter().filter(|e| e.index > have && e.index <= ledger.index);
    // Where the changes weigh more than one message should, a snapshot is the shorter way.
    if due().map(LogEntry::weight).sum::<usize>() > room.batch() {
        return News::Snapshot(Box::new(ledger.clone()));
    }
    News::Changes(due().cloned().collect())
}

#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    Newer,
    Nothing,
    /// Changes are missing in between: ask again for a snapshot.
    Gap,
    /// Another cluster's, or an older state than was seen.
    Rejected(&'static str),
}

/// Brings a follower's copy forward; never back.
pub fn take(own: &mut Ledger, cluster: &str, news: News) -> Taken {
    match news {
        News::Same => Taken::Nothing,
        News::Snapshot(f) if f.cluster != cluster => Taken::Rejected("foreign cluster"),
        News::Snapshot(f) if f.index < own.index => Taken::Rejected("older than what was seen"),
        News::Snapshot(f) => {
            let newer = f.index > own.index || own.cluster.is_empty();
            *own = *f;
            if newer { Taken::Newer } else { Taken::Nothing }
        }
        News::Changes(es) => {
            let had = own.index;
            for e in es.into_iter().filter(|e| e.index > had) {
                if e.index != own.index.next() {
                    return Taken::Gap;
                }
                own.fold(e.index, &e.change);
            }
            if own.index > had { Taken::Newer } else { Taken::Nothing }
        }
    }
}
