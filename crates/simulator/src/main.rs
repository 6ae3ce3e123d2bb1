//! `simulator`: runs fleets on one machine and the seeded simulations (design 7).

use bpaf::Bpaf;
use common::{
    logging,
    program::{self, Shutdown, Threads},
    settings::{Flags, Settings, flags},
};
use control_plane::{
    control_node::{Bootstrap, open_data_folder},
    daemon,
    operator::api,
};
use eyre::{Result, ensure, eyre};
use simulator::{
    chaos::draw_faults,
    deployment::{Firm, deployment},
    fault::Fault,
    fleet::Fleet,
    run::{print_audit, run},
    sim::{
        Broken,
        catch_up::{self, CatchUpPlan, catch_up_plan},
        sweep::{sweep, sweep_data},
    },
    soak::{SoakPlan, run_soak, soak_plan},
    traffic::Load,
    world::{BrokenVariant, WorldPlan, sweep_worlds},
};
use std::path::PathBuf;

/// Tests foldshunt on one machine: fleets of real processes, and seeded simulations.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Opts {
    /// Starts twelve nodes and their replicas, sends a deployment's traffic, and prints the audit
    #[bpaf(command)]
    Fleet {
        /// bitacora or rinaldi
        #[bpaf(argument("FIRM"), fallback(Firm::Bitacora))]
        firm: Firm,
        /// Seconds of traffic
        #[bpaf(argument("N"), fallback(60.0))]
        seconds: f64,
        /// Traffic, as a multiple of the deployment's own
        #[bpaf(argument("X"), fallback(1.0))]
        rate: f64,
        /// Seed of the traffic
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Seconds to wait before the traffic, for replicas to warm up
        #[bpaf(argument("N"), fallback(11.0))]
        settle: f64,
        /// Second octet of the addresses, 127.NET.x.y
        #[bpaf(argument("NET"), fallback(10))]
        net: u8,
        /// Folder for the nodes' settings, data and logs; must be new or empty
        #[bpaf(argument("DIR"), fallback("run/fleet".into()))]
        dir: PathBuf,
        /// SECOND:WHAT:WHOM, such as 20:kill:s1; may be given many times
        #[bpaf(long("fault"), argument("FAULT"))]
        faults: Vec<Fault>,
        /// Adds faults drawn by the seed
        chaos: bool,
        /// Region that all callers without a home region use
        #[bpaf(argument("REGION"))]
        crowd: Option<String>,
        /// FROM=>TO: replaces one piece of the document before the start; may be given many times
        #[bpaf(argument("FROM=>TO"))]
        replace: Vec<String>,
    },
    /// Runs whole fleets, with the daemons' own code, under virtual time over many seeds of faults
    #[bpaf(command)]
    World {
        /// bitacora or rinaldi; by default both in turn
        #[bpaf(argument("FIRM"))]
        firm: Option<Firm>,
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        from: u64,
        /// How many seeds
        #[bpaf(argument("N"), fallback(16))]
        seeds: u64,
        /// Seconds of traffic (virtual)
        #[bpaf(argument("N"), fallback(60.0))]
        seconds: f64,
        /// Traffic, as a multiple of the deployment's own
        #[bpaf(argument("X"), fallback(0.5))]
        rate: f64,
        /// Faults besides those drawn by the seed; may be given many times
        #[bpaf(long("fault"), argument("FAULT"))]
        faults: Vec<Fault>,
        /// Draws no faults by the seed
        calm: bool,
        /// Prints each run's audit
        verbose: bool,
        /// Continues after a violation, and lists all seeds that had one
        all: bool,
        /// Runs a deliberately broken variant, which a check must catch
        #[bpaf(argument("NAME"))]
        broken: Option<BrokenVariant>,
    },
    /// Measures, in virtual time, how long and how many bytes a control node takes to catch up
    #[bpaf(command("catch-up"))]
    CatchUp(#[bpaf(external(catch_up_plan))] CatchUpPlan),
    /// Disrupts real control nodes in overlapping series under operators and clients
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_plan))] SoakPlan),
    /// Runs a control node, as foldshunt-control does, of a cluster with a given number of voters
    #[bpaf(command("control-node"))]
    ControlNode {
        /// Number of voters in a new cluster
        #[bpaf(argument("N"))]
        voters: usize,
        #[bpaf(external(flags))]
        flags: Flags,
    },
    /// Runs a router of such a cluster
    #[bpaf(command("router"))]
    Router {
        #[bpaf(external(flags))]
        flags: Flags,
    },
    /// Simulates placement and capacity grants under virtual time over many seeds
    #[bpaf(command("sim-data"))]
    SimData {
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        from: u64,
        /// How many seeds
        #[bpaf(argument("N"), fallback(200))]
        seeds: u64,
    },
    /// Simulates the control nodes over many seeds; stops at a violation and prints its seed and trace
    #[bpaf(command)]
    Sim {
        /// Number of voters: 3, 5 or 6
        #[bpaf(argument("N"), fallback(3))]
        voters: usize,
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        from: u64,
        /// How many seeds
        #[bpaf(argument("N"), fallback(200))]
        seeds: u64,
        /// Adds disks that refuse writes for a while, under processes that keep running
        refusals: bool,
        /// Runs a deliberately broken variant, which a check must catch
        #[bpaf(argument("NAME"))]
        broken: Option<Broken>,
    },
}

fn main() -> std::process::ExitCode {
    match opts().run() {
        Opts::ControlNode { voters, flags } => program::run(Threads::OnePerProcessor, |signals| {
            run_control_node(voters, flags, signals.shutdown)
        }),
        Opts::Router { flags } => {
            program::run(Threads::OnePerProcessor, |signals| run_router(flags, signals.shutdown))
        }
        command => common::error::exit_code(run_command(command)),
    }
}

#[tokio::main]
async fn run_command(command: Opts) -> Result<()> {
    match command {
        Opts::Fleet { firm, seconds, rate, seed, settle, net, dir, mut faults, chaos, crowd, replace } => {
            ensure!((1.0..=86_400.0).contains(&seconds), "--seconds: {seconds}; allowed: 1 to 86400");
            ensure!((0.01..=100.0).contains(&rate), "--rate: {rate}; allowed: 0.01 to 100");
            ensure!((0.0..=600.0).contains(&settle), "--settle: {settle}; allowed: 0 to 600");
            ensure!((1..=254).contains(&net), "--net: {net}; allowed: 1 to 254");
            let in_use = std::fs::read_dir(&dir).is_ok_and(|mut files| files.next().is_some());
            ensure!(!in_use, "--dir: {dir:?} is not empty; allowed: a new or empty folder");
            let mut deployment = deployment(firm);
            replace
                .iter()
                .try_for_each(|rule| deployment.replace(rule))
                .map_err(|e| eyre!("--replace: {e}"))?;
            let crowd_known =
                crowd.as_ref().is_none_or(|region| deployment.regions().contains(&region.as_str()));
            ensure!(crowd_known, "--crowd: {crowd:?}; allowed: {}", deployment.regions().join(", "));
            let mut fleet = Fleet::start(deployment, &dir, net).await?;
            if chaos {
                faults.extend(draw_faults(seed, seconds, &fleet.deployment, false));
            }
            let load = Load { seconds, rate, seed, crowd };
            let result = run(&mut fleet, &load, settle, &faults).await;
            fleet.stop().await;
            print_audit(&result?)
        }
        Opts::World { firm, from, seeds, seconds, rate, faults, calm, verbose, all, broken } => {
            ensure!((1..=10_000_000).contains(&seeds), "--seeds: {seeds}; allowed: 1 to 10000000");
            ensure!((20.0..=3_600.0).contains(&seconds), "--seconds: {seconds}; allowed: 20 to 3600");
            ensure!((0.01..=100.0).contains(&rate), "--rate: {rate}; allowed: 0.01 to 100");
            let plan = WorldPlan { firm, seconds, rate, faults, calm, broken };
            tokio::task::spawn_blocking(move || sweep_worlds(&plan, from, seeds, verbose, all)).await?
        }
        Opts::CatchUp(plan) => tokio::task::spawn_blocking(move || catch_up::print_table(&plan)).await?,
        Opts::Soak(plan) => run_soak(&plan, &programs_folder()?).await,
        Opts::ControlNode { .. } | Opts::Router { .. } => unreachable!("main runs the daemons"),
        Opts::SimData { from, seeds } => {
            ensure!((1..=10_000_000).contains(&seeds), "--seeds: {seeds}; allowed: 1 to 10000000");
            sweep_data(from, seeds)
        }
        Opts::Sim { voters, from, seeds, refusals, broken } => {
            ensure!([3, 5, 6].contains(&voters), "--voters: {voters}; allowed: 3, 5, 6");
            ensure!((1..=10_000_000).contains(&seeds), "--seeds: {seeds}; allowed: 1 to 10000000");
            sweep(from, seeds, voters, broken, refusals)
        }
    }
}

/// Runs a control node until it is asked to stop.
async fn run_control_node(voters: usize, flags: Flags, shutdown: Shutdown) -> Result<()> {
    let settings = Settings::read(&flags)?;
    logging::start(&settings.node, &settings.log);
    let Some(listeners) = shutdown.unless_requested(settings.bind()).await else { return Ok(()) };
    let listeners = listeners?;
    let folder = open_data_folder(&settings)?;
    let bootstrap = Bootstrap { expected_voters: voters, ..Bootstrap::default() };
    daemon::run(settings, bootstrap, listeners, folder, api::handle, shutdown.requested()).await;
    Ok(())
}

/// Runs a router until it is asked to stop.
async fn run_router(flags: Flags, shutdown: Shutdown) -> Result<()> {
    let settings = Settings::read(&flags)?;
    logging::start(&settings.node, &settings.log);
    let Some(listeners) = shutdown.unless_requested(settings.bind()).await else { return Ok(()) };
    data_plane::daemon::run(settings, listeners?, shutdown.requested()).await;
    Ok(())
}

/// The folder of this program, in which the others are too.
fn programs_folder() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.parent().map(PathBuf::from).unwrap_or_default())
}
