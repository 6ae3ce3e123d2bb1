//! Errors that carry the step and the peer at which they arose (design 1.4).

use std::{error::Error, fmt, io};

/// Any error, for causes.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// A named step of a protocol or of a request, as logs and metrics show it.
pub type Step = &'static str;

/// Opening a connection.
pub const CONNECT: Step = "connect";
/// The first messages on a connection between nodes.
pub const HANDSHAKE: Step = "handshake";

/// What kind of failure it was, as far as callers decide by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The connection was refused: nothing listens at the peer.
    Refused,
    /// There was no answer in time.
    TimedOut,
    /// Anything else.
    Other,
}

/// A failure at a peer.
#[derive(Debug)]
pub struct PeerError {
    /// What was tried.
    pub step: Step,
    /// Address or name of the peer.
    pub peer: String,
    /// What kind of failure it was.
    pub kind: ErrorKind,
    cause: BoxError,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.cause)
    }
}

impl Error for PeerError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.cause)
    }
}

/// The peer did not answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TimedOut {
    timeout_ms: u64,
}

impl fmt::Display for TimedOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no answer in {} ms", self.timeout_ms)
    }
}

impl Error for TimedOut {}

impl PeerError {
    /// A failure of no particular kind.
    pub fn new(step: Step, peer: impl fmt::Display, cause: impl Into<BoxError>) -> Self {
        Self { step, peer: peer.to_string(), kind: ErrorKind::Other, cause: cause.into() }
    }

    /// A connection that could not be opened.
    pub fn connect_failed(peer: impl fmt::Display, error: io::Error) -> Self {
        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
        let kind = if refused { ErrorKind::Refused } else { ErrorKind::Other };
        Self { kind, ..Self::new(CONNECT, peer, error) }
    }

    /// No answer within `timeout_ms`.
    pub fn timed_out(step: Step, peer: impl fmt::Display, timeout_ms: u64) -> Self {
        Self { kind: ErrorKind::TimedOut, ..Self::new(step, peer, TimedOut { timeout_ms }) }
    }

    /// What went wrong, for logs.
    pub fn cause(&self) -> String {
        self.cause.to_string()
    }

    /// Whether nothing listens at the peer.
    pub fn is_refused(&self) -> bool {
        self.kind == ErrorKind::Refused
    }

    /// Whether it arose before anything of a request was sent.
    pub fn is_before_sending(&self) -> bool {
        self.step == CONNECT || self.step == HANDSHAKE
    }
}

/// Adds the step and the peer to any error.
pub trait AtPeer<T> {
    /// The same result, with an error that names where it arose.
    ///
    /// # Errors
    /// The original error as the cause.
    fn at_peer(self, step: Step, peer: impl fmt::Display) -> Result<T, PeerError>;
}

impl<T, E: Into<BoxError>> AtPeer<T> for Result<T, E> {
    fn at_peer(self, step: Step, peer: impl fmt::Display) -> Result<T, PeerError> {
        self.map_err(|error| PeerError::new(step, peer, error))
    }
}

/// Waits for a future no longer than `timeout_ms`. A time-out is an error of its own; any other error keeps the step at
/// which it arose.
///
/// # Errors
/// The future's, or the time-out.
pub async fn with_timeout<T>(
    timeout_ms: u64,
    step: Step,
    peer: impl fmt::Display,
    future: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    match tokio::time::timeout(std::time::Duration::from_millis(timeout_ms), future).await {
        Ok(result) => result,
        Err(_) => Err(PeerError::timed_out(step, peer, timeout_ms)),
    }
}

/// How a program ends: one message on failure, and an exit code that says so.
pub fn exit_code(result: eyre::Result<()>) -> std::process::ExitCode {
    match result {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            std::process::ExitCode::FAILURE
        }
    }
}

/// Prints for a reader that may have gone: a closed pipe is no failure.
pub fn print(text: &str) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}
