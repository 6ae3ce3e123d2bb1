//! The pure parts of the usage reports (design 9.10). Each safeguard is also tested with a mutation that disables it.

use crate::usage_cluster::{WINDOW_MS, duty, timing};
use common::{FencingToken, Tenant, Tick, runtime::Simulation};
use data_plane::serving::usage::{
    UsageReport,
    call::call_outcome,
    clock::{MedianClock, clock_offset},
    decisions::{KEPT_WINDOWS, KeepError, KeptDecisions},
    pacing::{Call, CallOutcome, CallPacing},
    plan::HolderPlan,
    recorder::StartRecorder,
    tenure::{HandoverSpans, TenureWatch},
};
use hyper::StatusCode;
use rstest::rstest;
use std::collections::BTreeMap;

/// Difference between the time of day and the ticks of these tests.
const OFFSET_MS: u64 = 1_800_000_000_000;
/// Time at which a window and the tenure begin.
const START: Tick = Tick(100_000);
const TOKEN: FencingToken = FencingToken(12);

fn report(window: u64, count: u64) -> UsageReport {
    UsageReport { window, counts: BTreeMap::from([("club".into(), count)]) }
}

fn clock() -> MedianClock {
    MedianClock::of(vec![OFFSET_MS as i64; 5], 5).expect("a clock")
}

fn window_at(at: Tick) -> u64 {
    (at.0 + OFFSET_MS) / WINDOW_MS
}

/// A holder that observes its tenure every 100 ms.
struct Holder {
    plan: HolderPlan,
    now: Tick,
}

impl Holder {
    fn new() -> Self {
        let mut holder = Self { plan: HolderPlan::new(duty(0), &timing()), now: START };
        holder.collect(vec![]);
        holder
    }

    fn collect(&mut self, reports: Vec<UsageReport>) {
        let tenure = self.plan.observe(Some(TOKEN), self.now).expect("a tenure");
        self.plan.record_collected(&tenure, reports, &clock());
    }

    fn advance_to(&mut self, at: Tick) {
        while self.now < at {
            self.now = self.now + 100;
            self.plan.observe(Some(TOKEN), self.now);
        }
    }

    fn tenure(&mut self) -> u64 {
        self.plan.observe(Some(TOKEN), self.now).expect("a tenure").number
    }

    fn decide(&mut self, window: u64, count: u64) -> bool {
        let tenure = self.tenure();
        self.plan.decide(tenure, report(window, count), &clock(), self.now)
    }

    fn next_call(&self) -> Option<Call> {
        self.plan.next_call(&clock(), self.now)
    }

    /// Counts the next window once it has ended, and marks it as copied. Returns the window.
    fn next_copied(&mut self) -> u64 {
        let window = loop {
            self.advance_to(self.now + 100);
            if let Some(window) = self.plan.next_to_count(&clock(), self.now) {
                break window;
            }
        };
        assert!(self.decide(window, 7));
        let tenure = self.tenure();
        self.plan.record_copied(tenure, window, true);
        window
    }
}

fn spans() -> HandoverSpans {
    HandoverSpans::of(&duty(0), &timing())
}

/// Windows that a former holder may have counted are not counted by the next one.
fn counts_only_its_own_windows() -> bool {
    let mut holder = Holder::new();
    holder.advance_to(START + spans().undecided_ms);
    let early = window_at(START + spans().undecided_ms) - 1;
    holder.plan.next_to_count(&clock(), holder.now).is_none() && !holder.decide(early, 7)
}

/// A node that did not observe its tenure for a while may have missed that another node held the duty.
fn a_gap_ends_a_tenure() -> bool {
    let mut watch = TenureWatch::default();
    let gap = spans().max_unwatched_ms;
    let observe =
        |watch: &mut TenureWatch, at| watch.observe(Some(TOKEN), gap, Tick(at)).expect("a tenure").number;
    (observe(&mut watch, 1_000), observe(&mut watch, 1_000 + gap), observe(&mut watch, 1_001 + 2 * gap))
        == (1, 1, 2)
}

/// A decision is never replaced.
fn a_decision_is_final() -> bool {
    let mut holder = Holder::new();
    let window = holder.next_copied();
    !holder.decide(window, 8)
}

/// A new holder waits, since a former one may have acted just before and may become the holder again soon.
fn a_new_holder_waits() -> bool {
    let mut holder = Holder::new();
    holder.collect(vec![report(window_at(START) - 1, 7)]);
    let tenure = holder.tenure();
    holder.plan.record_copied(tenure, window_at(START) - 1, true);
    holder.advance_to(START + spans().quiet_ms - 100);
    holder.next_call().is_none() && {
        holder.advance_to(START + spans().quiet_ms);
        holder.next_call().is_some()
    }
}

/// Nothing is sent that the next holder could not find.
fn only_what_is_copied_is_sent() -> bool {
    let mut holder = Holder::new();
    holder.next_copied();
    let sent = holder.next_call().expect("a call");
    holder.plan.record_outcome(&sent, CallOutcome::Accepted, holder.now);
    holder.advance_to(holder.now + 5_000);
    let window = holder.plan.next_to_count(&clock(), holder.now).expect("the next one");
    assert!(holder.decide(window, 7));
    holder.next_call().is_none()
}

/// The duty may pass on while a connection is opened, or while the node is frozen.
fn the_final_check_rejects_a_lost_tenure() -> bool {
    let mut holder = Holder::new();
    holder.next_copied();
    let call = holder.next_call().expect("a call");
    let allowed = holder.plan.may_send(&call, Some(TOKEN), holder.now);
    let passed_on = holder.plan.may_send(&call, None, holder.now);
    let mut holder = Holder::new();
    holder.next_copied();
    let call = holder.next_call().expect("a call");
    let thawed = holder.plan.may_send(&call, Some(TOKEN), holder.now + spans().max_unwatched_ms + 1);
    allowed && !passed_on && !thawed
}

/// Half of the clocks, or fewer, may all be wrong.
fn a_minority_of_clocks_is_no_clock() -> bool {
    MedianClock::of(vec![1, 1], 4).is_none() && MedianClock::of(vec![1, 1, 1], 4).is_some()
}

#[rstest]
#[case::margin("usage-no-margin", counts_only_its_own_windows)]
#[case::gap("usage-gap-unseen", a_gap_ends_a_tenure)]
#[case::final_decision("usage-decided-again", a_decision_is_final)]
#[case::wait("usage-acts-at-once", a_new_holder_waits)]
#[case::copied("usage-sent-uncopied", only_what_is_copied_is_sent)]
#[case::final_check("usage-no-last-look", the_final_check_rejects_a_lost_tenure)]
#[case::clocks("usage-any-clock", a_minority_of_clocks_is_no_clock)]
fn each_safeguard_holds_and_its_absence_is_detected(#[case] mutation: &str, #[case] holds: fn() -> bool) {
    assert!(Simulation::run(1, None, |_| async { holds() }));
    assert!(!Simulation::run(1, Some(mutation.into()), |_| async { holds() }), "{mutation}");
}

#[test]
fn a_collected_decision_is_sent_unchanged_unless_two_differ() {
    let (first, second) = (window_at(START) - 1, window_at(START) - 2);
    let mut holder = Holder::new();
    holder.collect(vec![report(first, 7), report(second, 3), report(second, 4), report(first, 7)]);
    assert_eq!(holder.plan.next_to_copy().map(|report| UsageReport::clone(&report)), Some(report(first, 7)));
    let tenure = holder.tenure();
    holder.plan.record_copied(tenure, first, true);
    holder.advance_to(START + spans().quiet_ms);
    let call = holder.next_call().expect("a call");
    assert_eq!((*call.report).clone(), report(first, 7));
    holder.plan.record_outcome(&call, CallOutcome::Unknown, holder.now);
    holder.advance_to(holder.now + 600);
    assert_eq!(
        holder.next_call().map(|again| again.report),
        Some(call.report.clone()),
        "exactly the same report again"
    );
    holder.plan.record_outcome(&call, CallOutcome::Accepted, holder.now);
    holder.advance_to(holder.now + 500);
    assert_eq!(holder.next_call(), None);
}

#[test]
fn an_expired_window_is_never_counted_again_even_if_the_clock_goes_back() {
    let mut holder = Holder::new();
    let window = holder.next_copied();
    let call = holder.next_call().expect("a call");
    holder.plan.record_outcome(&call, CallOutcome::Accepted, holder.now);
    holder.advance_to(holder.now + 11_000);
    assert!(!holder.plan.drop_expired(&clock(), holder.now).iter().any(|(missed, _)| *missed == window));
    let slower = MedianClock::of(vec![OFFSET_MS as i64 - 4_000; 5], 5).expect("a clock");
    assert!(holder.plan.next_to_count(&slower, holder.now).is_none_or(|next| next > window));
    let tenure = holder.tenure();
    assert!(!holder.plan.decide(tenure, report(window, 8), &slower, holder.now));
}

#[test]
fn a_window_is_counted_after_its_end_and_listed_if_unreported() {
    let mut holder = Holder::new();
    let window = holder.next_copied();
    assert!(!holder.decide(window + 1, 7), "it has not ended");
    holder.advance_to(holder.now + 20_000);
    let missed = holder.plan.drop_expired(&clock(), holder.now);
    assert_eq!(missed[0], (window, "not accepted in time"));
    assert_eq!(missed[1], (window + 1, "not counted in time"));
}

#[test]
fn a_collected_window_is_not_listed_as_unreported() {
    let mut holder = Holder::new();
    holder.collect(vec![report(window_at(START) - 1, 7)]);
    holder.advance_to(START + 20_000);
    let missed = holder.plan.drop_expired(&clock(), holder.now);
    assert!(!missed.iter().any(|(window, _)| *window < window_at(START)), "{missed:?}");
}

#[test]
fn a_new_tenure_starts_without_state() {
    let mut holder = Holder::new();
    let window = holder.next_copied();
    let before = holder.tenure();
    assert_eq!(holder.plan.observe(None, holder.now), None);
    assert_ne!(holder.tenure(), before);
    assert!(holder.plan.needs_collection());
    assert!(!holder.plan.decide(before, report(window + 1, 7), &clock(), holder.now + 10_000));
}

#[test]
fn a_refused_fencing_token_is_not_reused_and_failures_slow_calls_down() {
    let mut pacing = CallPacing::new(50.0);
    pacing.record_outcome(TOKEN, CallOutcome::Superseded, Tick(0));
    assert!(!pacing.may_call(TOKEN, Tick(60_000)));
    assert!(pacing.may_call(TOKEN.next(), Tick(60_000)));
    let mut pauses = Vec::new();
    for _ in 0..6 {
        pacing.record_outcome(TOKEN.next(), CallOutcome::Unknown, Tick(0));
        pauses.push((0..).find(|ms| pacing.may_call(TOKEN.next(), Tick(*ms))).expect("an end"));
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 2_000, 2_000, 2_000]);
}

#[rstest]
#[case(200, CallOutcome::Accepted)]
#[case(409, CallOutcome::Superseded)]
#[case(429, CallOutcome::Unknown)]
#[case(408, CallOutcome::Unknown)]
#[case(503, CallOutcome::Unknown)]
#[case(400, CallOutcome::Refused)]
#[case(404, CallOutcome::Refused)]
fn status_maps_to_outcome(#[case] status: u16, #[case] outcome: CallOutcome) {
    assert_eq!(call_outcome(StatusCode::from_u16(status).expect("a status")), outcome);
}

#[test]
fn the_first_decision_of_a_window_is_kept_and_former_holders_are_rejected() {
    let mut kept = KeptDecisions::default();
    assert_eq!(kept.keep(TOKEN, &report(5, 7)), Ok(()));
    assert_eq!(kept.keep(TOKEN, &report(5, 7)), Ok(()));
    assert_eq!(kept.keep(TOKEN, &report(5, 8)), Err(KeepError::Differs));
    assert_eq!(kept.collect(TOKEN.next()), Ok(vec![report(5, 7)]));
    assert_eq!(kept.keep(TOKEN, &report(6, 1)), Err(KeepError::Superseded(TOKEN.next())));
    assert_eq!(kept.collect(TOKEN), Err(TOKEN.next()));
    for window in 6..40 {
        assert_eq!(kept.keep(TOKEN.next(), &report(window, 1)), Ok(()));
    }
    let newest: Vec<u64> = kept.collect(TOKEN.next()).expect("all").iter().map(|kept| kept.window).collect();
    assert_eq!(newest, (40 - KEPT_WINDOWS as u64..40).collect::<Vec<_>>());
}

#[test]
fn each_start_is_counted_in_one_window_and_dropped_after_the_retention_time() {
    let (club, guild): (Tenant, Tenant) = ("club".into(), "guild".into());
    let mut starts = StartRecorder::default();
    starts.record(&club, Tick(1_000), Tick(1_000));
    assert!(
        starts.counts_between(Tick(0), Tick(5_000)).is_empty(),
        "nothing is recorded before a retention time is set"
    );
    starts.set_retention(20_000);
    for at in (1_000..11_000).step_by(7) {
        starts.record(&club, Tick(at), Tick(at));
    }
    starts.record(&guild, Tick(3_000), Tick(11_000));
    let all: u64 = (0..12)
        .filter_map(|n| starts.counts_between(Tick(n * 1_003), Tick((n + 1) * 1_003)).get(&club).copied())
        .sum();
    assert_eq!(all, 1_429);
    assert_eq!(starts.counts_between(Tick(2_990), Tick(3_010)).get(&guild), Some(&1));
    starts.record(&guild, Tick(40_000), Tick(40_000));
    assert_eq!(starts.counts_between(Tick(0), Tick(39_000)), BTreeMap::new());
}

#[test]
fn clocks_that_jumped_do_not_move_the_median() {
    let right = |n: i64| OFFSET_MS as i64 + n;
    let clock = MedianClock::of(vec![right(3), right(-8_000), right(0), right(9_000), right(-2)], 5)
        .expect("a clock");
    assert_eq!(clock.time_of_day(Tick(5)), OFFSET_MS + 5);
    assert_eq!(clock.tick_at(OFFSET_MS + 5), Tick(5));
    assert_eq!(clock_offset(OFFSET_MS + 70, Tick(50)), OFFSET_MS as i64 + 20);
    let single = MedianClock::of(vec![right(0)], 1).expect("a clock");
    assert!(single.error_ms() > clock.error_ms());
}
