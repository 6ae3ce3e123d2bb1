//! The frame of a daemon's program: its runtime, the signals that it handles, and its exit code (design 1.11).

use crate::error::exit_code;
use eyre::{Result, WrapErr};
use nix::sys::signal::{SigSet, Signal as SignalNumber};
use std::process::ExitCode;
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

/// How many threads run a daemon's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Threads {
    /// One.
    One,
    /// One for each processor.
    OnePerProcessor,
}

/// The signals that a daemon handles. No other way of handling them would let the process end in its first moments.
pub struct Signals {
    /// SIGHUP: settings are to be read again.
    pub hangup: Signal,
    /// SIGTERM, or an interrupt from the terminal.
    pub shutdown: Shutdown,
}

/// Tells whether the process was asked to stop.
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<bool>);

impl Shutdown {
    /// Resolves once the process was asked to stop.
    pub async fn requested(mut self) {
        let _ = self.0.wait_for(|requested| *requested).await;
    }

    /// Runs a future until it resolves; `None` if the process is asked to stop before.
    pub async fn unless_requested<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            output = future => Some(output),
            () = self.clone().requested() => None,
        }
    }
}

fn handled_signals() -> SigSet {
    [SignalNumber::SIGHUP, SignalNumber::SIGTERM, SignalNumber::SIGINT].into_iter().collect()
}

impl Signals {
    fn install() -> Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (sender, requested) = watch::channel(false);
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            sender.send_replace(true);
            // Further requests change nothing, and the receivers stay valid.
            std::future::pending::<()>().await;
        });
        Ok(Self { hangup, shutdown: Shutdown(requested) })
    }
}

/// Runs a daemon: calls `daemon` in a runtime, with the signals that arrived since this function was called, and returns
/// the exit code for its result. To be called first in `main`: until then a signal ends the process.
pub fn run<F>(threads: Threads, daemon: impl FnOnce(Signals) -> F) -> ExitCode
where
    F: Future<Output = Result<()>>,
{
    exit_code(try_run(threads, daemon))
}

fn try_run<F>(threads: Threads, daemon: impl FnOnce(Signals) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    // Signals wait until their handlers are installed. Threads that start later never receive them.
    let signals = handled_signals();
    signals.thread_block().wrap_err("signals")?;
    let mut builder = match threads {
        Threads::One => Builder::new_current_thread(),
        Threads::OnePerProcessor => Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build().wrap_err("runtime")?;
    runtime.block_on(async {
        let installed = Signals::install().wrap_err("signals")?;
        signals.thread_unblock().wrap_err("signals")?;
        daemon(installed).await
    })
}
