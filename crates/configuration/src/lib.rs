//! The operator's document: reading, checks, the small language and its compiler (design 4).
//! Pure: no input or output, the same result on every node.

#![warn(missing_docs)]

/// Version of the language; a node that reads an older one is reported by `foldshunt-check`.
pub const LANGUAGE_VERSION: u32 = 1;

pub mod compile;
pub mod diagnostic;
pub mod document;
pub mod fleet_check;
pub mod lexer;
pub mod parser;
pub mod routes;
pub mod routing_table;
pub mod tenants;

pub use compile::compile;
pub use diagnostic::Diagnostic;
pub use fleet_check::check_fleet;
pub use routes::{Backend, BatchEngine, DocumentFormat, RequestLimits, Route, RouteKind, RouteMap};
pub use routing_table::{Entry, KeyPart, Policy, RoutingTable, ServiceKind};
pub use tenants::{ApiKey, DuplicateKey, TenantPolicy, Tenants, home_regions};
