//! Newtypes for names and sequence numbers (design 1.2).

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier with this text.
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
            fn from(text: &str) -> Self {
                Self::new(text)
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
            /// The next number.
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
    /// Name of a node, which is one process of the system.
    NodeId,
    /// Name of a failure domain: machines that may fail together.
    Zone,
    /// Name of a region: a group of zones that share replicas with warm caches.
    Region,
    /// Name of a service: a model, or an application, that requests are routed to.
    Service,
    /// Name of one replica of a service.
    ReplicaId,
    /// Name of the tenant that a request belongs to.
    Tenant,
    /// Identifies one request, from the client's router to the replica's log.
    RequestId,
    /// Name that an operator gives to one change, which makes sending it again idempotent.
    OpId,
}

numbers! {
    /// Number of a consensus term (design 2.2).
    Term,
    /// Position of an entry in the replicated log.
    Index,
    /// Number of an accepted document (design 4.1).
    Revision,
    /// Number of the cluster membership; rises with each join and each expiry (design 3.1).
    Epoch,
    /// Fencing token of a singleton role: the holder with the higher token wins at each receiver (design 3.2).
    FencingToken,
    /// Random number that identifies one data folder, or one start of a router.
    Incarnation,
}

/// Longest name in settings and documents, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The rule of [`is_valid_name`], for error messages.
pub const NAME_RULE: &str = "allowed: 1 to 64 letters, digits, '-', '_' or '.'";

/// Whether a name is allowed in settings and documents.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}
