//! Breadth-first search over all states within the budget, so that a counterexample is the shortest.

use super::{
    digest::Digest,
    world::{Action, World},
};
use std::{collections::HashSet, fmt};

/// States of one level that are expanded between two merges into the set of known states.
const BATCH: usize = 2_048;

/// Where a state came from.
#[derive(Clone, Copy, Debug)]
struct Origin {
    parent: usize,
    action: Action,
}

/// What a search saw.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub states: usize,
    pub transitions: usize,
    /// Actions of the longest way whose states were all expanded.
    pub depth: usize,
    /// All states within the budget were seen; else the search ended at its bound of states.
    pub complete: bool,
    /// Elections, acceptances and other things that happened in some state.
    pub reached: Reached,
}

/// What some explored state had gone through: a search that reaches nothing proves nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reached {
    pub terms: u64,
    pub committed: u64,
    pub told: usize,
    pub replaced: bool,
}

#[derive(Clone, Debug)]
pub struct Counterexample {
    pub what: String,
    pub trace: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after {} actions:", self.what, self.trace.len())?;
        self.trace.iter().enumerate().try_for_each(|(n, line)| writeln!(f, "  {:>2}. {line}", n + 1))
    }
}

struct LoadResult {
    origin: Origin,
    digest: Digest,
    world: Result<World, String>,
}

/// Explores from one state, up to so many states; hands each new state to `visit`.
pub fn explore(
    start: &World,
    most_states: usize,
    mut visit: impl FnMut(&World),
) -> Result<Report, Counterexample> {
    let mut known: HashSet<Digest> = HashSet::from([start.digest()]);
    let mut origins: Vec<Option<Origin>> = vec![None];
    let mut level: Vec<(usize, World)> = vec![(0, start.clone())];
    let mut report = Report::default();
    'levels: while !level.is_empty() {
        let mut next = Vec::new();
        for batch in level.chunks(BATCH) {
            for found in expand_all(batch, &known, &mut report.transitions) {
                let world = match found.world {
                    Ok(world) => world,
                    Err(what) => return Err(counterexample(start, &origins, found.origin, what)),
                };
                if !known.insert(found.digest) {
                    continue;
                }
                report.reached.add(&world);
                visit(&world);
                origins.push(Some(found.origin));
                next.push((origins.len() - 1, world));
            }
            if known.len() >= most_states {
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
        self.told = self.told.max(history.told_accepted.len());
        self.replaced |= history.voters.iter().any(|holder| holder.incarnation.0 > 12);
    }
}

/// Expands one batch on a few threads; the order of the results does not depend on them.
fn expand_all(batch: &[(usize, World)], known: &HashSet<Digest>, transitions: &mut usize) -> Vec<LoadResult> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(4);
    let share = batch.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let work = |part: &[(usize, World)]| -> (usize, Vec<LoadResult>) {
            let mut seen = 0;
            let all = part.iter().flat_map(|(id, world)| expand(*id, world)).inspect(|_| seen += 1);
            let new = all.filter(|found| found.world.is_err() || !known.contains(&found.digest)).collect();
            (seen, new)
        };
        let workers: Vec<_> = batch.chunks(share).map(|part| scope.spawn(move || work(part))).collect();
        let mut all = Vec::new();
        for worker in workers {
            let Ok((seen, found)) = worker.join() else { panic!("a search thread panicked") };
            *transitions += seen;
            all.extend(found);
        }
        all
    })
}

fn expand(parent: usize, world: &World) -> impl Iterator<Item = LoadResult> + '_ {
    world.actions().into_iter().map(move |action| {
        let after = world.after(action);
        let digest = after.as_ref().map_or(0, World::digest);
        LoadResult { origin: Origin { parent, action }, digest, world: after }
    })
}

fn counterexample(start: &World, origins: &[Option<Origin>], last: Origin, what: String) -> Counterexample {
    let mut actions = vec![last.action];
    let mut at = last.parent;
    while let Some(origin) = origins[at] {
        actions.push(origin.action);
        at = origin.parent;
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
    Counterexample { what, trace }
}
