//! The control daemon (design 1.1), which runs on each machine that keeps the cluster state on disk.

use bpaf::Bpaf;
use common::{
    logging,
    program::{self, Signals, Threads},
    settings::{Flags, Settings, flags, warn_deprecated},
};
use control_plane::{
    control_node::{Bootstrap, open_data_folder},
    daemon,
    operator::api,
};
use eyre::Result;

/// Control node of a foldshunt cluster: keeps the replicated log on disk and serves operators
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    #[bpaf(external(flags))]
    flags: Flags,
}

fn main() -> std::process::ExitCode {
    program::run(Threads::OnePerProcessor, run)
}

async fn run(signals: Signals) -> Result<()> {
    let flags = opts().run().flags;
    let settings = Settings::read(&flags)?;
    logging::start(&settings.node, &settings.log);
    warn_deprecated(&flags);
    let shutdown = signals.shutdown;
    let Some(listeners) = shutdown.unless_requested(settings.bind()).await else { return Ok(()) };
    let (listeners, folder) = (listeners?, open_data_folder(&settings)?);
    let stop = shutdown.requested();
    daemon::run(settings, Bootstrap::default(), listeners, folder, api::handle, stop).await;
    Ok(())
}
