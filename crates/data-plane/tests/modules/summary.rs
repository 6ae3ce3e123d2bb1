//! Tests of `data_plane::summary`.

use common::{ReplicaId, Revision, Tick, event_log::EventLog};
use data_plane::summary::{Event, EventKind, Summary};

#[test]
fn the_view_is_what_the_events_add_up_to() {
    let j = EventLog::new(Summary::default(), 2);
    let sick = |healthy| EventKind::Health { replica: "r1".into(), healthy };
    let all = [
        EventKind::Governs(Revision(3)),
        EventKind::Governs(Revision(2)),
        sick(false),
        EventKind::Rejected("no room".into()),
        EventKind::Rejected("no room".into()),
    ];
    for (n, what) in all.into_iter().enumerate() {
        j.append(Event { at: Tick(n as u64), what });
    }
    let d = j.view();
    assert_eq!((d.revision, d.rejected["no room"], d.last), (Revision(3), 2, Tick(4)));
    assert!(d.unhealthy.contains(&ReplicaId::new("r1")));
    j.append(Event { at: Tick(9), what: sick(true) });
    assert!(j.view().unhealthy.is_empty());
    assert_eq!(j.tail().len(), 2);
}
