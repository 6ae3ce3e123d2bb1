//! The router daemon (design 1.1), which takes clients' requests and has replicas serve them.

use bpaf::Bpaf;
use common::{
    logging,
    settings::{Flags, Settings, flags, shutdown_signal, warn_deprecated},
};
use eyre::Result;

/// Router of a foldshunt cluster: serves clients by placement, home regions and capacity grants
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    #[bpaf(external(flags))]
    flags: Flags,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    common::error::exit_code(run().await)
}

async fn run() -> Result<()> {
    let flags = opts().run().flags;
    let settings = Settings::read(&flags)?;
    logging::start(&settings.node, &settings.log);
    warn_deprecated(&flags);
    let listeners = settings.bind().await?;
    data_plane::daemon::run(settings, listeners, shutdown_signal()?).await;
    Ok(())
}
