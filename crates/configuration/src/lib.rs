//! The operator's document: reading, checks, the small language and its compiler (design 4).
//! Pure: no input or output, the same result on every node.

/// Version of the language; a node that reads an older one is told by `foldshunt-check`.
pub const LANG: u32 = 1;

pub mod compile;
pub mod doc;
pub mod fleet;
pub mod lang;
pub mod lex;
pub mod place;
pub mod routes;
pub mod table;

pub use compile::compile;
pub use fleet::check_fleet;
pub use place::Flaw;
pub use routes::{Backend, Engine, Notation, RequestLimits, Route, RouteKind, RouteMap};
pub use table::{Entry, KeyPart, Kind, Policy, Table};
