//! Errors that name the step that failed and the peer (design 1.4).

use std::{error::Error, fmt, io, sync::Arc};

/// Any error.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Name of a step of a protocol or request, as shown in logs and metrics.
pub type Step = &'static str;

/// The step that opens a connection.
pub const CONNECT: Step = "connect";
/// The step that exchanges the first messages on a connection.
pub const HANDSHAKE: Step = "handshake";

/// The kinds of failure that callers distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The connection was refused: nothing listens at the peer.
    Refused,
    /// The peer did not answer in time.
    TimedOut,
    /// Anything else.
    Other,
}

/// The failure of a step that involves a peer.
#[derive(Clone, Debug)]
pub struct PeerError {
    /// The step that failed.
    pub step: Step,
    /// Address or name of the peer.
    pub peer: String,
    /// The kind of failure.
    pub kind: ErrorKind,
    cause: Arc<dyn Error + Send + Sync>,
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
    /// A failure of kind [`ErrorKind::Other`].
    pub fn new(step: Step, peer: impl fmt::Display, cause: impl Into<BoxError>) -> Self {
        Self { step, peer: peer.to_string(), kind: ErrorKind::Other, cause: cause.into().into() }
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

    /// The message of the underlying error, for logs.
    pub fn cause(&self) -> String {
        self.cause.to_string()
    }

    /// Whether the peer refused the connection because nothing listens there.
    pub fn is_refused(&self) -> bool {
        self.kind == ErrorKind::Refused
    }

    /// Whether the peer did not answer in time.
    pub fn is_timed_out(&self) -> bool {
        self.kind == ErrorKind::TimedOut
    }

    /// Whether the failure happened before any part of a request was sent, so that the peer can't have acted on it.
    pub fn is_before_sending(&self) -> bool {
        self.step == CONNECT || self.step == HANDSHAKE
    }
}

/// Adds a step and a peer to any error.
pub trait AtPeer<T> {
    /// Turns the error into a [`PeerError`] for this step and peer.
    ///
    /// # Errors
    /// A [`PeerError`] with the original error as its cause.
    fn at_peer(self, step: Step, peer: impl fmt::Display) -> Result<T, PeerError>;
}

impl<T, E: Into<BoxError>> AtPeer<T> for Result<T, E> {
    fn at_peer(self, step: Step, peer: impl fmt::Display) -> Result<T, PeerError> {
        self.map_err(|error| PeerError::new(step, peer, error))
    }
}

/// Runs a future for at most `timeout_ms`. Only a timeout is reported under `step` and `peer`; errors of the future keep
/// their own step and peer.
///
/// # Errors
/// The future's error, or the timeout.
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

/// The exit code of a program with this result; a failure is printed to standard error.
pub fn exit_code(result: eyre::Result<()>) -> std::process::ExitCode {
    match result {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            std::process::ExitCode::FAILURE
        }
    }
}

/// Prints to standard output and ignores errors, so that a closed pipe is no failure.
pub fn print(text: &str) {
    use std::io::Write;
    let mut stdout = std::io::stdout().lock();
    let _ = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
}
