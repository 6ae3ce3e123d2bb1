//! Operations for operators at a control node (design 4): changes of the document, evacuations and replicas.

pub mod api;
pub mod outcome;
pub mod patch;
pub mod service;

pub use outcome::{OperationOutcome, ServiceError};
pub use service::OperatorService;
