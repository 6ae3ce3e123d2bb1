//! Tests of `data_plane::digest`.

use common::{ReplicaId, Revision, Tick, event_log::EventLog};
use data_plane::digest::{Digest, Event, Happened};

#[test]
fn the_view_is_what_the_events_add_up_to() {
    let j = EventLog::new(Digest::default(), 2);
    let sick = |healthy| Happened::Health { replica: "r1".into(), healthy };
    let all = [
        Happened::Governs(Revision(3)),
        Happened::Governs(Revision(2)),
        sick(false),
        Happened::Rejected("no room".into()),
        Happened::Rejected("no room".into()),
    ];
    for (n, what) in all.into_iter().enumerate() {
        j.append(Event { at: Tick(n as u64), what });
    }
    let d = j.view();
    assert_eq!((d.revision, d.rejected["no room"], d.last), (Revision(3), 2, Tick(4)));
    assert!(d.unwell.contains(&ReplicaId::new("r1")));
    j.append(Event { at: Tick(9), what: sick(true) });
    assert!(j.view().unwell.is_empty());
    assert_eq!(j.tail().len(), 2);
}
