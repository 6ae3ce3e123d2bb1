//! For one window the platform is never told two different counts, whatever happens to the holders (design 9.10).

use crate::{
    usage_platform::{Mood, PLATFORM},
    usage_world::{ROUTERS, WINDOW_MS, World, ip},
};
use common::runtime::{Simulation, random};
use rstest::rstest;
use std::{collections::BTreeSet, net::IpAddr, time::Duration};
use tokio::time::sleep;

/// Until the first holder reports.
const SETTLED_MS: u64 = 25_000;
const FAULTS: usize = 30;

fn draw(below: u64) -> u64 {
    random::<u64>() % below
}

async fn pass(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// The holder, or now and then any router.
fn victim(world: &World) -> usize {
    let any = draw(ROUTERS as u64) as usize;
    if draw(4) == 0 { any } else { world.holder().unwrap_or(any) }
}

/// Waits until a little after a window's end, when its counts are fixed and sent.
async fn await_deciding(world: &World) {
    let past = world.simulation.time_of_day_ms() % WINDOW_MS;
    pass(WINDOW_MS - past + 250 + draw(400)).await;
}

/// One trouble, from its begin to its end.
async fn trouble(world: &mut World) -> &'static str {
    let n = victim(world);
    let platform = IpAddr::from(PLATFORM.0);
    if draw(2) == 0 {
        await_deciding(world).await;
    }
    let ms = [draw(1_500), draw(4_000), draw(12_000)][draw(3) as usize] + 1;
    let simulation = world.simulation.clone();
    match draw(10) {
        0 => {
            world.kill(n);
            pass(ms).await;
            world.start_router(n);
            "killed"
        }
        1 | 2 => {
            simulation.host(ip(n)).freeze();
            pass(ms).await;
            simulation.host(ip(n)).thaw();
            "frozen"
        }
        3 => {
            world.cut_from_core(n, true);
            pass(ms).await;
            world.cut_from_core(n, false);
            "cut from the core"
        }
        4 | 5 => {
            let links = world.cut_from_others(n, draw(2) == 0);
            pass(ms).await;
            simulation.heal(&links);
            "cut from the others"
        }
        6 => {
            let links = match draw(3) {
                0 => vec![(ip(n), platform)],
                1 => vec![(platform, ip(n))],
                _ => vec![(ip(n), platform), (platform, ip(n))],
            };
            simulation.partition(links.clone());
            pass(ms).await;
            simulation.heal(&BTreeSet::from_iter(links));
            "cut from the platform"
        }
        7 => {
            let moods =
                [Mood::Says(429), Mood::Says(503), Mood::AnswersLost, Mood::Slow(1_500), Mood::Slow(3_500)];
            world.platform.mood(moods[draw(5) as usize]);
            pass(ms).await;
            world.platform.mood(Mood::Well);
            "platform"
        }
        8 => {
            let step = draw(20_000) as i64 - 10_000;
            simulation.host(ip(n)).step_clock(step);
            pass(ms).await;
            simulation.host(ip(n)).step_clock(0);
            "clock"
        }
        _ => {
            (0..ROUTERS).for_each(|n| world.kill(n));
            pass(ms.min(1_000)).await;
            (0..ROUTERS).for_each(|n| world.start_router(n));
            "all killed"
        }
    }
}

/// What is broken in a day of troubles, and how many windows were reported well of how many.
fn play(seed: u64, mutation: Option<&str>, checks_fence: bool) -> (Vec<String>, usize, usize) {
    Simulation::run(seed, mutation.map(String::from), |simulation| async move {
        let mut world = World::start(simulation).await;
        world.platform.checks_fence(checks_fence);
        pass(SETTLED_MS).await;
        let first = world.newest_ended();
        for _ in 0..FAULTS {
            trouble(&mut world).await;
            pass(draw(4_000)).await;
        }
        pass(40_000).await;
        let calm = world.newest_ended() - 4;
        let mut broken = world.platform.broken();
        if !(calm..calm + 2).all(|window| world.reported_well(window, 0.05)) {
            broken.push("no reports in time once all is well".into());
        }
        let well = (first..calm).filter(|window| world.reported_well(*window, 0.05)).count();
        (broken, well, (calm - first) as usize)
    })
}

#[test]
fn each_window_is_reported_within_its_error_when_nothing_happens() {
    Simulation::run(1, None, |simulation| async move {
        let world = World::start(simulation).await;
        pass(SETTLED_MS).await;
        let (first, calls) = (world.newest_ended(), world.platform.calls());
        pass(20 * WINDOW_MS).await;
        for window in first..first + 18 {
            assert!(
                world.reported_well(window, 0.05),
                "window {window}: {:?}",
                world.platform.accepted(window)
            );
        }
        assert_eq!(world.platform.broken(), Vec::<String>::new());
        assert!(world.platform.calls() - calls <= 21, "one call for each window");
    });
}

#[rstest]
fn no_window_is_reported_twice_with_other_counts(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values(true, false)] checks_fence: bool,
) {
    let (broken, well, all) = play(seed, None, checks_fence);
    println!("seed {seed}: {well} of {all} windows well");
    assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
}

/// The days of troubles see it when a new holder acts at once. Without the margin alone nothing breaks, since routers
/// refuse to keep decisions of former holders; `usage.rs` sees each guard.
#[test]
fn a_holder_that_acts_at_once_breaks_some_day() {
    let broken = (1..=40).any(|seed| !play(seed, Some("usage-acts-at-once"), true).0.is_empty());
    assert!(broken, "it was never seen");
}
