//! Model test of the core's consensus: an exhaustive search over the product's own state machine,
//! `control_plane::consensus::Voter`, up to stated bounds. `docs/control/consensus.md` names the invariants
//! and what the bounds leave unproved.
//!
//! For a deeper search: `FOLDSHUNT_MODEL_STATES=N` bounds the states of each search, and
//! `FOLDSHUNT_MODEL_DEVIATIONS=N` sets the deviations of the scheduled ones.

mod describe;
mod digest;
mod history;
mod scenario;
mod schedule;
mod search;
mod variant;
mod world;

use common::{Incarnation, Index, Revision, Term};
use control_plane::{ApplyOutcome, ClusterState, types::LogEntry};
use history::History;
use rstest::rstest;
use scenario::Scenario;
use schedule::Schedule;
use search::{Counterexample, Report, explore};
use variant::Variant;
use world::World;

/// States of each search that is not carried to its end in CI.
const STATES: usize = 10_000;
/// States of all interleavings in which a broken machine is looked for first.
const STATES_OF_A_VARIANT: usize = 20_000;
/// A search that is carried to its end has fewer states than this.
const STATES_OF_A_WHOLE_SEARCH: usize = 160_000;
/// Deviations of the scheduled searches that are cut off in CI.
const DEVIATIONS: u8 = 2;
/// Length of a scheduled run, in times of a follower's election time-out.
const HORIZON: u64 = 3;
/// One in so many states is run on undisturbed.
const SAMPLE: u128 = 997;

fn setting(name: &str) -> Option<usize> {
    let value = std::env::var(name).ok()?;
    Some(value.parse().unwrap_or_else(|error| panic!("{name}={value}: {error}")))
}

fn most_states() -> usize {
    setting("FOLDSHUNT_MODEL_STATES").unwrap_or(STATES)
}

fn start_of(scenario: Scenario, variant: Option<Variant>) -> Result<World, Counterexample> {
    scenario.start(variant).map_err(|what| Counterexample { what, trace: Vec::new() })
}

/// All interleavings within the scenario's budget.
fn interleavings(
    scenario: Scenario,
    variant: Option<Variant>,
    most: usize,
) -> Result<Report, Counterexample> {
    let start = start_of(scenario, variant)?;
    let report = explore(&start, most, |_| {})?;
    println!("{scenario:?}, all interleavings: {report}");
    Ok(report)
}

/// A start from which only so many deviations from the ordinary schedule lead.
fn scheduled(mut start: World, scenario: Scenario, deviations: u8) -> World {
    let horizon = start.now + HORIZON * start.timing().election_timeout_ms();
    let gone = (0..start.size).find(|machine| start.voter(*machine).is_none());
    start.schedule = Some(Schedule::new(deviations, horizon, gone));
    start.budget = scenario.budget_of_deviations();
    start
}

/// All runs with so many deviations from the ordinary schedule.
fn deviations(
    scenario: Scenario,
    variant: Option<Variant>,
    deviations: u8,
    most: usize,
    visit: impl FnMut(&World),
) -> Result<Report, Counterexample> {
    let start = scheduled(start_of(scenario, variant)?, scenario, deviations);
    let report = explore(&start, most, visit)?;
    println!("{scenario:?}, {deviations} deviations: {report}");
    Ok(report)
}

fn holds(found: Result<Report, Counterexample>) -> Report {
    found.unwrap_or_else(|counterexample| panic!("{counterexample}"))
}

#[rstest]
#[case::bootstrap_messages(Scenario::Founding)]
#[case::first_election(Scenario::FirstElection)]
#[case::racing_changes(Scenario::RacingChanges)]
#[case::logged_only_by_leader(Scenario::LoggedOnlyByLeader)]
#[case::half_replicated(Scenario::HalfReplicated)]
#[case::lease_ends(Scenario::LeaseEnds)]
#[case::restart(Scenario::Restart)]
#[case::wiped_voter_joins(Scenario::WipedVoterJoins)]
#[case::replacement_logged(Scenario::ReplacementLogged)]
#[case::spare_takes_place(Scenario::SpareTakesPlace)]
#[case::replaced_voter_returns(Scenario::ReplacedVoterReturns)]
#[case::replaced_voter_stands(Scenario::ReplacedVoterStands)]
#[case::second_loss(Scenario::SecondLoss)]
#[case::loss_during_replacement(Scenario::LossDuringReplacement)]
#[case::loss_after_admission(Scenario::LossAfterAdmission)]
#[case::follower_out_of_touch(Scenario::FollowerOutOfTouch)]
#[case::old_term_messages(Scenario::OldTermMessages)]
fn no_interleaving_breaks_an_invariant(#[case] scenario: Scenario) {
    let report = holds(interleavings(scenario, None, most_states()));
    assert!(report.complete || report.states >= most_states(), "{report}");
}

/// Each run with one deviation, to its end: elections, acceptances and replacements are all reached.
/// Of the states a sample is run on undisturbed: once the trouble ends, the core reads its newest
/// accepted state, and each voter has a state of its own again.
#[rstest]
#[case::bootstrap_messages(Scenario::Founding)]
#[case::first_election(Scenario::FirstElection)]
#[case::racing_changes(Scenario::RacingChanges)]
#[case::logged_only_by_leader(Scenario::LoggedOnlyByLeader)]
#[case::half_replicated(Scenario::HalfReplicated)]
#[case::lease_ends(Scenario::LeaseEnds)]
#[case::restart(Scenario::Restart)]
#[case::wiped_voter_joins(Scenario::WipedVoterJoins)]
#[case::replacement_logged(Scenario::ReplacementLogged)]
#[case::spare_takes_place(Scenario::SpareTakesPlace)]
#[case::replaced_voter_returns(Scenario::ReplacedVoterReturns)]
#[case::replaced_voter_stands(Scenario::ReplacedVoterStands)]
#[case::second_loss(Scenario::SecondLoss)]
#[case::loss_during_replacement(Scenario::LossDuringReplacement)]
#[case::loss_after_admission(Scenario::LossAfterAdmission)]
#[case::follower_out_of_touch(Scenario::FollowerOutOfTouch)]
#[case::old_term_messages(Scenario::OldTermMessages)]
fn no_single_deviation_breaks_an_invariant(#[case] scenario: Scenario) {
    let (mut runs, mut longest) = (0, 0);
    let found = deviations(scenario, None, 1, STATES_OF_A_WHOLE_SEARCH, |world| {
        if world.digest() % SAMPLE != 0 {
            return;
        }
        runs += 1;
        match world.comes_back() {
            Ok(after) => longest = longest.max(after.0),
            Err(what) => panic!("{what}\nfrom {:#?}", world.summary()),
        }
    });
    let report = holds(found);
    println!("{scenario:?}: {runs} runs come back, the longest after {longest} ms");
    assert!(report.complete && runs >= 10, "{report}, {runs} samples");
    let reached = report.reached;
    assert!(reached.terms > 8 && reached.committed > 0 && reached.told > 0 && reached.replaced, "{report}");
}

#[rstest]
#[case::bootstrap_messages(Scenario::Founding)]
#[case::first_election(Scenario::FirstElection)]
#[case::racing_changes(Scenario::RacingChanges)]
#[case::logged_only_by_leader(Scenario::LoggedOnlyByLeader)]
#[case::half_replicated(Scenario::HalfReplicated)]
#[case::lease_ends(Scenario::LeaseEnds)]
#[case::restart(Scenario::Restart)]
#[case::wiped_voter_joins(Scenario::WipedVoterJoins)]
#[case::replacement_logged(Scenario::ReplacementLogged)]
#[case::spare_takes_place(Scenario::SpareTakesPlace)]
#[case::replaced_voter_returns(Scenario::ReplacedVoterReturns)]
#[case::replaced_voter_stands(Scenario::ReplacedVoterStands)]
#[case::second_loss(Scenario::SecondLoss)]
#[case::loss_during_replacement(Scenario::LossDuringReplacement)]
#[case::loss_after_admission(Scenario::LossAfterAdmission)]
#[case::follower_out_of_touch(Scenario::FollowerOutOfTouch)]
#[case::old_term_messages(Scenario::OldTermMessages)]
fn no_few_deviations_break_an_invariant(#[case] scenario: Scenario) {
    let most = setting("FOLDSHUNT_MODEL_DEVIATIONS").map_or(DEVIATIONS, |n| n as u8);
    let report = holds(deviations(scenario, None, most, most_states(), |_| {}));
    assert!(report.complete || report.states >= most_states(), "{report}");
}

/// Each broken machine is found out, by the invariant that is meant for it.
#[rstest]
#[case::early_acknowledgement(
    Variant::AcknowledgesBeforeSync,
    Scenario::ReplacementLogged,
    "acknowledged-is-durable"
)]
#[case::blank_vote(Variant::BlankVotesAsFormerSelf, Scenario::LoggedOnlyByLeader, "blank-never-votes")]
#[case::forgotten_promise(Variant::ForgetsPromise, Scenario::OldTermMessages, "promise-is-kept")]
#[case::no_lease(Variant::ReadsWithoutLease, Scenario::LoggedOnlyByLeader, "one-lease")]
#[case::replaced_voter(
    Variant::CountsReplacedVoter,
    Scenario::ReplacedVoterReturns,
    "acknowledged-is-durable"
)]
#[case::no_wait_after_restart(Variant::VotesRightAfterRestart, Scenario::FollowerOutOfTouch, "one-lease")]
#[case::own_log_only(Variant::IgnoresVotersLogsAndReplies, Scenario::HalfReplicated, "reads-are-newest")]
#[case::own_log_only_after_acceptance(Variant::IgnoresVotersLogs, Scenario::HalfReplicated, "accepted-stays")]
#[case::voters_by_seat(Variant::KnowsVotersBySeatOnly, Scenario::ReplacedVoterStands, "votes-of-voters")]
#[case::told_too_early(Variant::AcknowledgesOnceLogged, Scenario::FirstElection, "told-is-kept")]
#[case::told_as_not_logged(Variant::RefusesWhatWasLogged, Scenario::HalfReplicated, "not-logged-is-final")]
#[case::rebased(Variant::RebasesChanges, Scenario::RacingChanges, "one-change-per-base")]
fn a_broken_machine_is_found_out(
    #[case] variant: Variant,
    #[case] scenario: Scenario,
    #[case] invariant: &str,
) {
    let found = interleavings(scenario, Some(variant), STATES_OF_A_VARIANT)
        .and_then(|_| deviations(scenario, Some(variant), 1, STATES_OF_A_WHOLE_SEARCH, |_| {}))
        .and_then(|_| deviations(scenario, Some(variant), 2, STATES_OF_A_WHOLE_SEARCH, |_| {}));
    match found {
        Ok(report) => panic!("{variant:?} passes: {report}"),
        Err(counterexample) => {
            println!("{variant:?}: {counterexample}");
            assert!(counterexample.what.starts_with(invariant), "{counterexample}");
        }
    }
}

/// What the sequence of effects of one machine can't bring about is shown to the checks directly.
#[test]
fn the_checks_over_the_past_can_fail() {
    let starts_with = |found: Result<(), String>, invariant: &str| {
        assert!(found.as_ref().is_err_and(|what| what.starts_with(invariant)), "{invariant}: {found:?}");
    };
    let mut history = History::default();
    assert_eq!(history.has_leadership(Term(8), Incarnation(10)), Ok(()));
    starts_with(history.has_leadership(Term(8), Incarnation(11)), "one-leader-per-term");
    let entry = |index, text| LogEntry { index: Index(index), change: world::apply(text, 0, text) };
    let outcome = ApplyOutcome::Accepted { revision: Revision(1) };
    ["a", "b"].iter().for_each(|text| history.logged(&entry(1, text).change));
    assert_eq!(history.accepts(&entry(1, "a"), &outcome), Ok(true));
    assert_eq!(history.accepts(&entry(1, "a"), &outcome), Ok(false));
    starts_with(history.accepts(&entry(1, "b"), &outcome).map(drop), "one-order");
    starts_with(history.accepts(&entry(3, "b"), &outcome).map(drop), "one-order");
    let state =
        |cluster: &str| ClusterState { cluster: cluster.into(), index: Index(1), ..ClusterState::default() };
    assert_eq!(history.holds(&state("a")), Ok(()));
    starts_with(history.holds(&state("b")), "one-state");
}

/// Two losses overlap with a replacement, and two disks hold everything: the core comes back. Seen to fail for both: the
/// leader barred the returned voter for good, and the newcomer that was admitted could not vote.
#[rstest]
#[case::replacement_logged_only(Scenario::LossDuringReplacement)]
#[case::newcomer_without_a_state(Scenario::LossAfterAdmission)]
fn a_core_comes_back_from_overlapping_losses(#[case] scenario: Scenario) {
    let start = start_of(scenario, None).unwrap_or_else(|e| panic!("{e}"));
    if let Err(what) = start.comes_back() {
        panic!("{what}\nfrom {:#?}", start.summary());
    }
}

/// Six voters, of whom four are a majority: no interleaving and no single deviation breaks an invariant, up to the bound
/// of states.
#[rstest]
#[case::half_replicated(Scenario::HalfReplicated)]
#[case::wiped_voter_joins(Scenario::WipedVoterJoins)]
#[case::replacement_logged(Scenario::ReplacementLogged)]
#[case::spare_takes_place(Scenario::SpareTakesPlace)]
#[case::second_loss(Scenario::SecondLoss)]
#[case::old_term_messages(Scenario::OldTermMessages)]
fn an_even_number_of_voters_keeps_the_invariants(#[case] scenario: Scenario) {
    const EVEN: usize = 6;
    let start = scenario.start_with(EVEN, None).unwrap_or_else(|what| panic!("{what}"));
    let free = holds(explore(&start, most_states(), |_| {}));
    let report = holds(explore(&scheduled(start, scenario, 1), most_states(), |_| {}));
    println!("{scenario:?}, six voters: {free}; one deviation: {report}");
}

/// A control node without a disk beside three voters: it is told of any committed state at any time, late ones too, and
/// neither votes, nor founds, nor goes back.
#[rstest]
#[case::bootstrap_messages(Scenario::Founding)]
#[case::half_replicated(Scenario::HalfReplicated)]
#[case::replacement_logged(Scenario::ReplacementLogged)]
#[case::replaced_voter_returns(Scenario::ReplacedVoterReturns)]
#[case::second_loss(Scenario::SecondLoss)]
#[case::loss_after_admission(Scenario::LossAfterAdmission)]
fn a_learner_keeps_the_invariants(#[case] scenario: Scenario) {
    let mut start = start_of(scenario, None).unwrap_or_else(|e| panic!("{e}"));
    start.add_learner();
    let report = holds(explore(&start, most_states(), |world| {
        let learner = world.learner.and_then(|machine| world.voter(machine));
        assert!(learner.is_none_or(|learner| !learner.is_leader() && learner.last_index() <= world.newest()));
    }));
    println!("{scenario:?}, with a learner: {report}");
}

/// The liveness sample finds a core that doesn't readmit a wiped voter.
#[test]
fn a_core_that_does_not_come_back_is_found_out() {
    let start = |variant| start_of(Scenario::WipedVoterJoins, variant).unwrap_or_else(|e| panic!("{e}"));
    assert!(start(None).comes_back().is_ok());
    let found = start(Some(Variant::IgnoresJoinRequests)).comes_back();
    assert!(found.is_err_and(|what| what.starts_with("comes-back")));
}
