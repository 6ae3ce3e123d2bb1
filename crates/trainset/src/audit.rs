//! The audit of a run (design 7.5): callers' answers against the replicas' own logs.

use crate::{
    acts::Act,
    caller::{Heard, Told},
    drive::Ride,
    fault::What,
    standin::{StandIn, by_job},
};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

#[derive(Debug, Default, Serialize)]
pub struct Audit {
    pub jobs: usize,
    pub done: usize,
    pub bounced: usize,
    pub unknown: usize,
    pub broken: usize,
    pub not_asked: usize,
    pub other: BTreeMap<u16, usize>,
    pub bounce_reasons: BTreeMap<String, usize>,
    pub unknown_reasons: BTreeMap<String, usize>,
    pub broken_reasons: BTreeMap<String, usize>,
    pub redirected: usize,
    /// Must be zero: jobs that may not be repeated and ran twice.
    pub doubled: usize,
    /// Must be zero: told as bounced, and ran.
    pub bounced_yet_run: usize,
    /// Must be zero: ran outside the homes.
    pub misrouted: usize,
    /// Must be zero: an answer that looked whole and was not the job's own.
    pub garbled: usize,
    /// Must be zero: whole answers without a run.
    pub done_not_run: usize,
    /// Must be zero: runs begun at a drained or removed replica later than 4 s after that.
    pub late_at_departed: usize,
    /// Must be zero: runs begun in an evacuated area later than 5 s after that.
    pub late_at_evacuated: usize,
    /// How long after a drain, removal or evacuation the last run began there.
    pub last_begun_after_ms: BTreeMap<String, u128>,
    pub bounced_without_retry_after: usize,
    pub slowest_bounce_ms: u128,
    pub model_runs: usize,
    pub prefix_hits: usize,
    pub prefix_hit_ratio: f64,
    pub most_open_at_a_replica: usize,
    pub runs_by_region: BTreeMap<String, usize>,
    /// Most runs open at a replica in each second after it came back cold.
    pub cold_open: BTreeMap<String, Vec<usize>>,
    pub placements: BTreeMap<String, f64>,
    pub passes: BTreeMap<String, f64>,
    pub extra_goes: f64,
    pub extra_share: f64,
    pub hops: f64,
    pub read_back_exact: Option<bool>,
    pub acts: Vec<String>,
    /// Longest time between the beginnings of two jobs that were done, by entry.
    pub longest_gap_ms: BTreeMap<String, u128>,
    pub p50_ms: BTreeMap<String, u128>,
    pub p99_ms: BTreeMap<String, u128>,
    pub examples: Vec<String>,
}

pub fn audit(ride: &Ride, backs: &[Arc<StandIn>], model: &str) -> Audit {
    let runs = by_job(backs);
    let mut a = Audit { jobs: ride.heard.len(), ..Audit::default() };
    for h in &ride.heard {
        one(&mut a, h, runs.get(&h.call.job).map(Vec::as_slice).unwrap_or(&[]));
    }
    for s in backs.iter().filter(|s| s.shape.service == model) {
        let runs = s.runs();
        a.model_runs += runs.len();
        a.prefix_hits += runs.iter().filter(|r| r.warm).count();
        *a.runs_by_region.entry(s.shape.region.clone()).or_default() += runs.len();
        a.most_open_at_a_replica =
            a.most_open_at_a_replica.max(runs.iter().map(|r| r.open).max().unwrap_or(0));
    }
    departures(&mut a, ride, backs);
    a.prefix_hit_ratio = a.prefix_hits as f64 / a.model_runs.max(1) as f64;
    let mut begun: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for h in ride.heard.iter().filter(|h| h.told == Told::Done) {
        begun.entry(h.call.entry).or_default().push(h.at);
    }
    for (k, mut v) in begun {
        v.sort();
        let gap = v.windows(2).map(|w| w[1].duration_since(w[0]).as_millis()).max();
        a.longest_gap_ms.insert(k.into(), gap.unwrap_or(0));
    }
    let mut took: BTreeMap<String, Vec<u128>> = BTreeMap::new();
    for h in ride.heard.iter().filter(|h| h.told == Told::Done) {
        took.entry(h.call.entry.into()).or_default().push(h.took.as_millis());
    }
    for (k, mut v) in took {
        v.sort();
        a.p50_ms.insert(k.clone(), v[v.len() / 2]);
        a.p99_ms.insert(k, v[v.len() * 99 / 100]);
    }
    a.acts =
        ride.acts.iter().map(|x| format!("{} ok={} governs_ms={:?}", x.what, x.ok, x.governs_ms)).collect();
    a
}

/// Runs that began where nothing new may begin any more.
fn departures(a: &mut Audit, ride: &Ride, backs: &[Arc<StandIn>]) {
    for act in ride.acts.iter().filter(|x| x.ok) {
        let whom = act.fault.whom.as_str();
        let back = |w: &What| {
            let later =
                ride.acts.iter().filter(|x| x.at > act.at && x.fault.what == *w && x.fault.whom == whom);
            later.map(|x| x.at).min()
        };
        let (span, until) = match act.fault.what {
            What::Drain | What::Remove => (Duration::from_secs(4), None),
            What::Evacuate => (Duration::from_secs(5), back(&What::Restore)),
            What::Cold => {
                cold(a, act, backs);
                continue;
            }
            _ => continue,
        };
        let last = backs
            .iter()
            .filter(|b| b.shape.area == whom || b.id == whom)
            .flat_map(|b| b.runs())
            .filter(|r| r.at > act.at && until.is_none_or(|u| r.at < u))
            .map(|r| r.at.duration_since(act.at).as_millis())
            .max();
        a.last_begun_after_ms.insert(act.what.clone(), last.unwrap_or(0));
        let late = |s: &StandIn| {
            let from = act.at + span;
            s.runs().iter().filter(|r| r.at > from && until.is_none_or(|u| r.at < u)).count()
        };
        if act.fault.what == What::Evacuate {
            a.late_at_evacuated +=
                backs.iter().filter(|b| b.shape.area == whom).map(|b| late(b)).sum::<usize>();
        } else {
            a.late_at_departed += backs.iter().filter(|b| b.id == whom).map(|b| late(b)).sum::<usize>();
        }
    }
}

fn cold(a: &mut Audit, act: &Act, backs: &[Arc<StandIn>]) {
    for b in backs.iter().filter(|b| b.id == act.fault.whom) {
        let mut most = vec![0usize; 15];
        for r in b.runs() {
            let sec = r.at.saturating_duration_since(act.at).as_secs() as usize;
            if r.at > act.at && sec < most.len() {
                most[sec] = most[sec].max(r.open);
            }
        }
        a.cold_open.insert(b.id.clone(), most);
    }
}

fn one(a: &mut Audit, h: &Heard, runs: &[(Arc<StandIn>, crate::standin::Run)]) {
    let mut note = |what: &str| {
        if a.examples.len() < 12 {
            let at: Vec<String> = runs.iter().map(|r| r.0.id.clone()).collect();
            a.examples.push(format!("{what}: {} {:?} ran at {at:?}", h.call.job, h.told));
        }
    };
    if h.call.once && runs.len() > 1 {
        note("doubled");
        a.doubled += 1;
    }
    if runs.iter().any(|(s, _)| !h.call.homes.contains(&s.shape.region.as_str())) {
        note("misrouted");
        a.misrouted += 1;
    }
    a.redirected += usize::from(h.redirected);
    match &h.told {
        Told::Done if runs.is_empty() => {
            note("done, not run");
            a.done_not_run += 1;
        }
        Told::Done => a.done += 1,
        Told::Bounced(why) => {
            a.bounced += 1;
            *a.bounce_reasons.entry(why.clone()).or_default() += 1;
            a.slowest_bounce_ms = a.slowest_bounce_ms.max(h.took.as_millis());
            a.bounced_without_retry_after += usize::from(h.retry_after.is_none());
            if !runs.is_empty() {
                note("bounced, yet run");
                a.bounced_yet_run += 1;
            }
        }
        Told::Unknown(why) => {
            a.unknown += 1;
            *a.unknown_reasons.entry(why.clone()).or_default() += 1;
        }
        Told::Broken(why) => {
            a.broken += 1;
            *a.broken_reasons.entry(why.clone()).or_default() += 1;
        }
        Told::NotAsked => a.not_asked += 1,
        Told::Garbled(_) => {
            note("garbled");
            a.garbled += 1;
        }
        Told::Other(c) => {
            note("other");
            *a.other.entry(*c).or_default() += 1;
        }
    }
}

impl Audit {
    /// The never-points that this run can judge, by name.
    pub fn violations(&self) -> Vec<(&'static str, usize)> {
        [
            ("doubled", self.doubled),
            ("bounced, yet run", self.bounced_yet_run),
            ("misrouted", self.misrouted),
            ("garbled", self.garbled),
            ("done, not run", self.done_not_run),
            ("late at a departed replica", self.late_at_departed),
            ("late in an evacuated area", self.late_at_evacuated),
            ("read-back differs", usize::from(self.read_back_exact == Some(false))),
        ]
        .into_iter()
        .filter(|v| v.1 > 0)
        .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Each check is seen to fail: an audit that finds nothing in anything proves nothing.
    #[test]
    fn each_violation_is_named() {
        let bad = Audit {
            doubled: 1,
            bounced_yet_run: 2,
            misrouted: 3,
            garbled: 4,
            done_not_run: 5,
            late_at_departed: 6,
            late_at_evacuated: 7,
            read_back_exact: Some(false),
            ..Audit::default()
        };
        let counts: Vec<usize> = bad.violations().into_iter().map(|v| v.1).collect();
        assert_eq!(counts, [1, 2, 3, 4, 5, 6, 7, 1]);
        assert!(Audit { read_back_exact: Some(true), ..Audit::default() }.violations().is_empty());
    }
}
