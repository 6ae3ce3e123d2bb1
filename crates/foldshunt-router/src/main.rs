//! The router daemon (design 1.1), which takes clients' requests and has replicas serve them.

use bpaf::Bpaf;
use common::{
    logging,
    program::{self, Signals, Threads},
    settings::{Flags, Settings, flags, warn_deprecated},
};
use eyre::Result;

/// Router of a foldshunt cluster: serves clients by placement, home regions and capacity grants
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
    data_plane::daemon::run(settings, listeners?, shutdown.requested()).await;
    Ok(())
}
