//! Newtypes for identifiers and numbers (design 1.2).

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier of that text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }
            /// Its text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", &self.0)
            }
        }
        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self::new(s)
            }
        }
    )+};
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )+};
}

names! {
    /// A node: one process of the system.
    NodeId,
    /// A failure domain: machines that fail together.
    Zone,
    /// A group of zones that shares warm replicas.
    Region,
    /// A model, or an application that callers reach through an entry.
    Service,
    /// One replica of a service.
    ReplicaId,
    /// Who a request belongs to.
    Tenant,
    /// One request, from the client's router to the replica's log.
    RequestId,
    /// An operator's own name for one change, so that sending it again is idempotent.
    OpId,
}

numbers! {
    /// Number of a consensus term (design 2.2).
    Term,
    /// Position of an entry in the replicated log.
    Index,
    /// Number of an accepted document (design 4.1).
    Revision,
    /// Number of a membership; rises with each join and expire (design 3.1).
    Epoch,
    /// Fencing token of a singleton role: the higher one wins at each receiver (design 3.2).
    FencingToken,
    /// Drawn anew for each data folder and each start of a router.
    Incarnation,
}

/// Longest name in settings and documents, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// What [`is_valid_name`] allows, for error messages.
pub const NAME_RULE: &str = "allowed: 1 to 64 letters, digits, '-', '_' or '.'";

/// Whether a name may be used in settings and documents.
pub fn is_valid_name(s: &str) -> bool {
    !s.is_empty()
        && s.len() <= MAX_NAME_BYTES
        && s.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}
