//! The pure parts of the reports of usage.
