//! What operators may rely on at any control node, by subject.

mod orders;
