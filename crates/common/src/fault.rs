//! Errors that carry the step and the peer at which they arose (design 1.4).

use std::fmt;

/// A named step of a protocol or of a job.
pub type Step = &'static str;

#[derive(Debug)]
pub struct Fault {
    pub step: Step,
    pub peer: String,
    pub cause: String,
    /// A connection was refused: nothing listens at the peer.
    pub refused: bool,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for Fault {}

impl Fault {
    pub fn new(step: Step, peer: impl fmt::Display, cause: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_string(), cause: cause.to_string(), refused: false }
    }

    /// Whether it arose before anything of a request was sent.
    pub fn before_sending(&self) -> bool {
        self.step == "connect" || self.step == "hello"
    }
}

/// Adds step and peer to any error.
pub trait At<T> {
    fn at(self, step: Step, peer: impl fmt::Display) -> Result<T, Fault>;
}

impl<T, E: fmt::Display> At<T> for Result<T, E> {
    fn at(self, step: Step, peer: impl fmt::Display) -> Result<T, Fault> {
        self.map_err(|e| Fault::new(step, peer, e))
    }
}

/// Waits for a future no longer than `ms`; a time-out is a fault of its own, and any other keeps
/// the step at which it arose.
pub async fn within<T>(
    ms: u64,
    step: Step,
    peer: impl fmt::Display,
    fut: impl Future<Output = Result<T, Fault>>,
) -> Result<T, Fault> {
    match tokio::time::timeout(std::time::Duration::from_millis(ms), fut).await {
        Ok(r) => r,
        Err(_) => Err(Fault::new(step, peer, format!("no answer in {ms} ms"))),
    }
}

/// A program's end: one message on failure, and an exit code that says so.
pub fn ended(r: eyre::Result<()>) -> std::process::ExitCode {
    match r {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            std::process::ExitCode::FAILURE
        }
    }
}

/// Prints for a reader that may have gone: a closed pipe is no failure.
pub fn print(s: &str) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(s.as_bytes()).and_then(|()| out.flush());
}
