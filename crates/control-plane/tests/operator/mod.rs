//! Guarantees for operators at any control node, by subject.

mod isolated_node;
mod retries;
