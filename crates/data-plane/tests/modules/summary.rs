//! Tests of `data_plane::summary`.

use common::{ReplicaId, Revision, Tick, event_log::EventLog};
use data_plane::summary::{Event, EventKind, Summary};

/// The summary counts every event, also those that the log no longer keeps; a revision never decreases.
#[test]
fn summary_of_all_events() {
    let log = EventLog::new(Summary::default(), 2);
    let health = |healthy| EventKind::Health { replica: "r1".into(), healthy };
    let events = [
        EventKind::Governs(Revision(3)),
        EventKind::Governs(Revision(2)),
        health(false),
        EventKind::Rejected("no room".into()),
        EventKind::Rejected("no room".into()),
    ];
    for (n, what) in events.into_iter().enumerate() {
        log.append(Event { at: Tick(n as u64), what });
    }
    let summary = log.view();
    assert_eq!((summary.revision, summary.rejected["no room"], summary.last), (Revision(3), 2, Tick(4)));
    assert!(summary.unhealthy.contains(&ReplicaId::new("r1")));
    log.append(Event { at: Tick(9), what: health(true) });
    assert!(log.view().unhealthy.is_empty());
    assert_eq!(log.tail().len(), 2);
}
