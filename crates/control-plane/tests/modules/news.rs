//! Tests of `control_plane::news`.

use common::{Index, OpId, Zone};
use control_plane::{
    Change, Ledger,
    consensus::LogEntry,
    news::{News, Taken, take},
};

fn evac(n: u64) -> LogEntry {
    let change = Change::Evacuate {
        op: OpId::new(format!("o{n}")),
        zone: Zone::new(format!("a{n}")),
        on: true,
        seen: Index(u64::MAX),
    };
    LogEntry { index: Index(n), change }
}

#[test]
fn a_gap_is_told_and_older_frames_bounce() {
    let mut own = Ledger::founded("c", vec![]);
    assert_eq!(take(&mut own, "c", News::Changes(vec![evac(1), evac(2)])), Taken::Newer);
    assert_eq!(take(&mut own, "c", News::Changes(vec![evac(4)])), Taken::Gap);
    let old = News::Snapshot(Box::new(Ledger::founded("c", vec![])));
    assert_eq!(take(&mut own, "c", old), Taken::Rejected("older than what was seen"));
    let foreign = Ledger { index: Index(9), ..Ledger::founded("d", vec![]) };
    let foreign = News::Snapshot(Box::new(foreign));
    assert_eq!(take(&mut own, "c", foreign), Taken::Rejected("foreign cluster"));
    assert_eq!((own.index, own.evacuated.len()), (Index(2), 2));
}
