//! Outcomes and errors of operators' operations.

use crate::control_node::ReadError;
use configuration::Diagnostic;
use std::fmt;

/// Outcome of an operation.
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub enum OperationOutcome {
    /// The operation took effect.
    Accepted,
    /// The operation is based on another version than the current one; it never takes effect.
    Conflict {
        /// Current version, if it is known.
        current: Option<u64>,
    },
    /// Nothing was logged, and a retry would fail the same way.
    Invalid(Vec<Diagnostic>),
    /// The body or the resulting document is too long.
    TooLarge,
    /// Nothing was logged; a retry may succeed.
    Unavailable(String),
    /// The operation may have taken effect or not; a retry returns the outcome.
    Undetermined,
}

/// Why the current document could not be read.
#[derive(Debug)]
pub enum ServiceError {
    /// The newest state could not be read.
    Read(ReadError),
    /// No leader answered in time.
    TimedOut,
    /// The current document can't be parsed.
    Unparsable(Vec<Diagnostic>),
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServiceError::Read(why) => why.fmt(f),
            ServiceError::TimedOut => f.write_str("no leader answered in time"),
            ServiceError::Unparsable(diagnostics) => {
                write!(f, "the current document can't be parsed: {diagnostics:?}")
            }
        }
    }
}

impl std::error::Error for ServiceError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ServiceError::Read(why) => Some(why),
            ServiceError::TimedOut | ServiceError::Unparsable(_) => None,
        }
    }
}

impl From<ServiceError> for OperationOutcome {
    fn from(why: ServiceError) -> Self {
        OperationOutcome::Unavailable(why.to_string())
    }
}
