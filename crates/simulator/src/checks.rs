//! What must never happen, looked for in what callers heard and replicas logged (design 7.5).

use crate::{
    acts::Act,
    audit::Audit,
    caller::{Heard, Told},
    drive::Ride,
    fault::What,
    papers::DocumentOutcome,
    standin::StandIn,
    timeline::{Scene, Timeline},
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// The brief's bounds.
pub const GOVERNS: Duration = Duration::from_secs(3);
pub const BACK: Duration = Duration::from_secs(12);
pub const DEPARTED: Duration = Duration::from_secs(4);
pub const EVACUATED: Duration = Duration::from_secs(5);
pub const EXTRA: f64 = 0.2;
/// A reject may follow a wait for room of two checks, three connects and a node's joining.
pub const AT_ONCE: Duration = Duration::from_secs(5);
/// Three checks and the expire of a home.
const UNSEEN: Duration = Duration::from_millis(3_500);
/// As in the documents: the ramp of a replica that came up.
const WARM: f64 = 10.0;

pub fn checks(a: &mut Audit, ride: &Ride, scene: &Scene, backs: &[Arc<StandIn>]) {
    let t = Timeline::of(&ride.acts, scene, backs);
    documents(a, ride);
    rejections(a, ride, scene, &t);
    gaps(a, ride, scene, backs, &t);
    departures(a, ride, backs);
    ride.acts.iter().for_each(|x| cold(a, ride, x, backs));
    let planned = ride.acts.iter().all(|x| x.fault.what.planned());
    a.dropped_in_planned_work =
        if planned { a.broken + a.unknown + a.other.values().sum::<usize>() } else { 0 };
}

/// A job that began three seconds after a document was told as accepted goes by that one or a
/// newer; and no router answers by an older one than it did before.
fn documents(a: &mut Audit, ride: &Ride) {
    let told = |h: &Heard| h.revision;
    for p in ride.acts.iter().flat_map(|x| &x.papers) {
        let DocumentOutcome::Accepted(rev) = p.told else { continue };
        let late = |h: &&Heard| h.at > p.at + GOVERNS && told(h).is_some_and(|v| v < rev);
        let found: Vec<&Heard> = ride.responses.iter().filter(late).collect();
        a.governed_late += found.len();
        found
            .iter()
            .take(1)
            .for_each(|h| a.note("governed late", &format!("{} by {:?}, not {rev}", h.call.job, h.revision)));
    }
    let mut by: BTreeMap<SocketAddr, Vec<&Heard>> = BTreeMap::new();
    ride.responses
        .iter()
        .filter(|h| h.revision.is_some())
        .for_each(|h| by.entry(h.router).or_default().push(h));
    for v in by.values_mut() {
        v.sort_by_key(|h| h.at);
        let mut ends: Vec<(Instant, u64)> =
            v.iter().filter_map(|h| Some((h.at + h.took, h.revision?))).collect();
        ends.sort();
        let (mut n, mut high) = (0, 0);
        for h in v.iter() {
            while n < ends.len() && ends[n].0 < h.at {
                high = high.max(ends[n].1);
                n += 1;
            }
            a.went_back += usize::from(h.revision.is_some_and(|r| r < high));
        }
    }
}

/// Told at once, with when to come back; what a frozen or cut-off router holds up is no fault of its own.
fn rejections(a: &mut Audit, ride: &Ride, scene: &Scene, t: &Timeline) {
    for h in ride.responses.iter().filter(|h| matches!(h.told, Told::Rejected(_))) {
        if h.code == 503 && h.retry_after.is_none() {
            a.bounced_without_retry_after += 1;
        }
        let name = scene.routers.iter().find(|r| r.2 == h.router).map_or("", |r| r.0.as_str());
        // A hop may have waited at another router; then its fate is not known here.
        let frozen = scene.routers.iter().any(|r| t.touched(&r.0, h.at, h.at + h.took));
        if h.took > AT_ONCE && !frozen {
            a.bounced_late += 1;
            a.note("bounced late", &format!("{} at {name} after {:?}: {:?}", h.call.job, h.took, h.told));
        }
    }
}

/// For each entry and tenant: from the first job that failed where it could have been served, to one
/// that still fails, all the while servable, at most twelve seconds.
fn gaps(a: &mut Audit, ride: &Ride, scene: &Scene, backs: &[Arc<StandIn>], t: &Timeline) {
    let mut by: BTreeMap<(&str, &str), Vec<&Heard>> = BTreeMap::new();
    ride.responses.iter().for_each(|h| by.entry((h.call.entry, h.call.tenant)).or_default().push(h));
    for ((entry, tenant), v) in &mut by {
        v.sort_by_key(|h| h.at);
        let mut failing: Option<Instant> = None;
        for h in v.iter() {
            if h.told == Told::Done {
                failing = None;
                continue;
            }
            let since = t.servable_since(scene, backs, h.call.service, &h.call.homes, h.at, ride.began);
            let Some(since) = since else {
                failing = None;
                continue;
            };
            let first = *failing.get_or_insert(h.at);
            let gap = h.at.saturating_duration_since(first.max(since));
            a.longest_outage_ms = a.longest_outage_ms.max(gap.as_millis());
            if gap > BACK {
                a.not_back += 1;
                a.note(
                    "not back",
                    &format!("{entry} of {tenant}: {} ms, last {:?}", gap.as_millis(), h.told),
                );
                break;
            }
        }
    }
}

/// Runs that began where nothing new may begin any more.
fn departures(a: &mut Audit, ride: &Ride, backs: &[Arc<StandIn>]) {
    for act in ride.acts.iter().filter(|x| x.ok) {
        let whom = act.fault.whom.as_str();
        let later = |w: What| {
            let it = ride.acts.iter().filter(|x| x.at > act.at && x.fault.what == w && x.fault.whom == whom);
            it.map(|x| x.at).min()
        };
        let (span, until) = match act.fault.what {
            What::Drain | What::Remove | What::Lose | What::Take | What::Swap => (DEPARTED, None),
            What::Evacuate | What::EvacuateAndPatch => (EVACUATED, later(What::Restore)),
            _ => continue,
        };
        let evacuated = span == EVACUATED;
        let there = |b: &&Arc<StandIn>| if evacuated { b.shape.zone == whom } else { b.id == whom };
        let runs: Vec<Instant> = backs
            .iter()
            .filter(there)
            .flat_map(|b| b.runs())
            .map(|r| r.at)
            .filter(|at| *at > act.done && until.is_none_or(|u| *at < u))
            .collect();
        let last = runs.iter().map(|at| at.duration_since(act.done).as_millis()).max();
        a.last_begun_after_ms.insert(act.what.clone(), last.unwrap_or(0));
        let late = runs.iter().filter(|at| **at > act.done + span).count();
        if evacuated {
            a.late_at_evacuated += late;
        } else {
            a.late_at_departed += late;
        }
    }
}

/// What was open at a replica that came back cold, against the most that its ramp allows.
fn cold(a: &mut Audit, ride: &Ride, act: &Act, backs: &[Arc<StandIn>]) {
    let whom = act.fault.whom.as_str();
    let whose = |b: &&Arc<StandIn>| match act.fault.what {
        What::Cold => b.id == whom,
        What::StartArea => b.shape.zone == whom,
        _ => false,
    };
    // A zone that was lost with the home of its figures, and is back before three checks, was never
    // seen to be gone.
    let lost =
        ride.acts.iter().filter(|x| x.fault.what == What::KillArea && x.fault.whom == whom && x.at < act.at);
    let unseen = act.fault.what == What::StartArea
        && lost.map(|x| x.at).max().is_some_and(|at| act.at.duration_since(at) < UNSEEN);
    if unseen {
        return;
    }
    for b in backs.iter().filter(whose) {
        let gone = ride.acts.iter().filter(|x| x.at > act.at).find(|x| match x.fault.what {
            What::Crash | What::Mute | What::Lose | What::Take => x.fault.whom == b.id,
            What::KillArea => x.fault.whom == b.shape.zone,
            _ => false,
        });
        let mut most = vec![0usize; 15];
        for r in b.runs().iter().filter(|r| r.at > act.at && gone.is_none_or(|g| r.at < g.at)) {
            let up = r.at.duration_since(act.at).as_secs_f64();
            if (up as usize) < most.len() {
                most[up as usize] = most[up as usize].max(r.open);
            }
            let slots = b.shape.slots as f64;
            let allowed = (slots * (up / WARM).max(0.1)).floor().max(1.0) as usize;
            // A place changes hands with the membership: one job may end at the old holder while the
            // new one begins another.
            if up < WARM && r.open > allowed + 1 {
                a.cold_over_allowance += 1;
                a.note(
                    "cold",
                    &format!("{} had {} open {up:.1} s after its return, allowed {allowed}", b.id, r.open),
                );
            }
        }
        if b.shape.service == a.model {
            a.cold_open.insert(b.id.clone(), most);
        }
    }
}
