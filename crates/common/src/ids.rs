//! Newtypes for everything that is named or numbered (design 1.2).

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn new(s: impl AsRef<str>) -> Self {
                Self(Arc::from(s.as_ref()))
            }
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
    /// One process of the system.
    NodeId,
    /// A zone: machines that fail together.
    Zone,
    /// A group of zones that shares warm replicas.
    Region,
    /// A model, or an application that callers reach through an entry.
    Service,
    /// One back end.
    ReplicaId,
    /// Who a job belongs to.
    Tenant,
    /// One job, from the caller's edge to the replica's log.
    JobId,
    /// An operator's own name for one change, so that it can be repeated safely.
    OpId,
}

numbers! {
    /// Number of a term of the core (design 2.2).
    Term,
    /// Place of a change in the one order of changes.
    Index,
    /// Number of an accepted document (design 4.1).
    Revision,
    /// Number of a membership; rises with each join and expire (design 3.1).
    Epoch,
    /// Guards a singleton role: the higher one wins at each receiver (design 3.2).
    FencingToken,
    /// Drawn anew for each data folder and each start of a router.
    Incarnation,
}

/// Checks a name as it may stand in settings and documents.
pub fn is_valid_name(s: &str) -> bool {
    !s.is_empty()
        && s.len() <= 64
        && s.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}
