//! The control daemon (design 1.1): one on each machine that keeps the cluster state on disk.

use bpaf::Bpaf;
use common::{
    logging,
    settings::{Flags, Settings, flags, shutdown_signal},
};
use control_plane::{control_node::open_data_folder, daemon, operator::api};
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
    common::fault::ended(run().await)
}

async fn run() -> Result<()> {
    let set = Settings::read(&opts().run().flags)?;
    logging::start(&set.node, &set.log);
    let bound = set.bind().await?;
    let folder = open_data_folder(&set)?;
    daemon::run(set, 0, bound, folder, api::handle, shutdown_signal()?).await;
    Ok(())
}
