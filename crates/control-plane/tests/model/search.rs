//! Breadth-first search over all states within the budget, so that a counterexample has as few actions as possible.

use super::{
    digest::Digest,
    world::{Action, World},
};
use std::{collections::HashSet, fmt};

/// Number of states that are expanded before their successors are added to the set of known states.
const BATCH: usize = 2_048;

/// How a state was reached first.
#[derive(Clone, Copy, Debug)]
struct Origin {
    parent: usize,
    action: Action,
}

/// The result of a search without a counterexample.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of explored states.
    pub states: usize,
    /// Number of actions performed in them.
    pub transitions: usize,
    /// Number of levels that were fully expanded: all runs with up to so many actions were explored.
    pub depth: usize,
    /// All states within the budget were explored; otherwise the search ended at its maximum number of states.
    pub complete: bool,
    /// What happened in some state.
    pub reached: Reached,
}

/// What happened in some explored state: a search that reaches no elections or commits proves nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reached {
    /// The highest term of a log.
    pub terms: u64,
    /// The highest committed index.
    pub committed: u64,
    /// The largest number of operations that were reported as accepted.
    pub acknowledged: usize,
    /// A voter was replaced.
    pub replaced: bool,
}

/// A run that violates an invariant.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The violated invariant.
    pub violation: String,
    /// One line for each action.
    pub trace: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after {} actions:", self.violation, self.trace.len())?;
        self.trace.iter().enumerate().try_for_each(|(n, line)| writeln!(f, "  {:>2}. {line}", n + 1))
    }
}

/// The state after an action, or the violation that the action causes.
struct Successor {
    origin: Origin,
    digest: Digest,
    world: Result<World, String>,
}

/// Explores up to `max_states` states from `start`, and calls `visit` with each new one.
pub fn explore(
    start: &World,
    max_states: usize,
    mut visit: impl FnMut(&World),
) -> Result<Report, Counterexample> {
    let mut known: HashSet<Digest> = HashSet::from([start.digest()]);
    let mut origins: Vec<Option<Origin>> = vec![None];
    let mut level: Vec<(usize, World)> = vec![(0, start.clone())];
    let mut report = Report::default();
    'levels: while !level.is_empty() {
        let mut next = Vec::new();
        for batch in level.chunks(BATCH) {
            for successor in expand_all(batch, &known, &mut report.transitions) {
                let world = match successor.world {
                    Ok(world) => world,
                    Err(violation) => {
                        return Err(counterexample(start, &origins, successor.origin, violation));
                    }
                };
                if !known.insert(successor.digest) {
                    continue;
                }
                report.reached.add(&world);
                visit(&world);
                origins.push(Some(successor.origin));
                next.push((origins.len() - 1, world));
            }
            if known.len() >= max_states {
                break 'levels;
            }
        }
        report.depth += 1;
        level = next;
        report.complete = level.is_empty();
    }
    report.states = known.len();
    Ok(report)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = if self.complete { "all" } else { "bound reached" };
        write!(f, "{} states ({end}), {} transitions, ", self.states, self.transitions)?;
        write!(f, "{} actions deep, {:?}", self.depth, self.reached)
    }
}

impl Reached {
    fn add(&mut self, world: &World) {
        let history = &world.history.value;
        let term = world.voters().map(|voter| voter.log_term.0).max().unwrap_or(0);
        self.terms = self.terms.max(term);
        self.committed = self.committed.max(history.newest().0);
        self.acknowledged = self.acknowledged.max(history.told_accepted.len());
        self.replaced |= history.voters.iter().any(|info| info.incarnation.0 > 12);
    }
}

/// Expands one batch on a few threads; the order of the results doesn't depend on their timing.
fn expand_all(batch: &[(usize, World)], known: &HashSet<Digest>, transitions: &mut usize) -> Vec<Successor> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(4);
    let share = batch.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let work = |part: &[(usize, World)]| -> (usize, Vec<Successor>) {
            let mut seen = 0;
            let all = part.iter().flat_map(|(id, world)| expand(*id, world)).inspect(|_| seen += 1);
            let new = all
                .filter(|successor| successor.world.is_err() || !known.contains(&successor.digest))
                .collect();
            (seen, new)
        };
        let workers: Vec<_> = batch.chunks(share).map(|part| scope.spawn(move || work(part))).collect();
        let mut all = Vec::new();
        for worker in workers {
            let Ok((seen, successors)) = worker.join() else { panic!("a search thread panicked") };
            *transitions += seen;
            all.extend(successors);
        }
        all
    })
}

fn expand(parent: usize, world: &World) -> impl Iterator<Item = Successor> + '_ {
    world.actions().into_iter().map(move |action| {
        let after = world.after(action);
        let digest = after.as_ref().map_or(0, World::digest);
        Successor { origin: Origin { parent, action }, digest, world: after }
    })
}

/// Replays the actions that led to a violation and describes them.
fn counterexample(
    start: &World,
    origins: &[Option<Origin>],
    last: Origin,
    violation: String,
) -> Counterexample {
    let mut actions = vec![last.action];
    let mut state = last.parent;
    while let Some(origin) = origins[state] {
        actions.push(origin.action);
        state = origin.parent;
    }
    let mut world = start.clone();
    let mut trace = Vec::new();
    for action in actions.into_iter().rev() {
        trace.push(world.describe(action));
        match world.after(action) {
            Ok(next) => world = next,
            Err(_) => break,
        }
    }
    Counterexample { violation, trace }
}
