//! What operators may rely on at any control node, by subject.

mod cut_off;
mod orders;
