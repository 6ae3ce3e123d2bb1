//! The control daemon (design 1.1), which runs on each machine that keeps the cluster state on disk.

use bpaf::Bpaf;
use common::{
    logging,
    settings::{Flags, Settings, flags, shutdown_signal, warn_deprecated},
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
    let folder = open_data_folder(&settings)?;
    daemon::run(settings, Bootstrap::default(), listeners, folder, api::handle, shutdown_signal()?).await;
    Ok(())
}
