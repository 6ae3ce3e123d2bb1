//! The router daemon (design 1.1): takes callers' jobs and carries them out.

use bpaf::Bpaf;
use common::{
    logging,
    settings::{Flags, Settings, flags, shutdown_signal},
};
use eyre::Result;

/// Router of a foldshunt cluster: serves callers by placements, homes and lending passes.
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
    data_plane::daemon::run(set, bound, shutdown_signal()?).await;
    Ok(())
}
