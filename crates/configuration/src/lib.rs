//! The operator's configuration document: parsing, checks, the routing language and its compiler (design 4).
//!
//! Everything here is pure: it does no input or output and gives the same result on every node.

#![warn(missing_docs)]

/// Version of the routing language that this build supports. `foldshunt-check` reports nodes that support only an older one.
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
