//! Faults with their line and column (design 4.2).

use serde::{Deserialize, Serialize};
use std::fmt;

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostic {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Line and column, both from one, of a byte offset.
pub fn line_col(src: &str, off: usize) -> (usize, usize) {
    let head = src.get(..off.min(src.len())).unwrap_or(src);
    let line = head.matches('\n').count() + 1;
    let col = head.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, col)
}

/// A diagnostic at a byte offset of the source.
pub fn diagnostic_at(src: &str, off: usize, message: impl Into<String>) -> Diagnostic {
    let (line, column) = line_col(src, off);
    Diagnostic { line, column, message: message.into() }
}

/// Top-level fields of a document that have another name in earlier releases.
const RENAMED: [(&str, &str); 2] = [("areas", "zones"), ("timetable", "routing")];

fn standard_name(old: &str) -> Option<&'static str> {
    RENAMED.iter().find(|(name, _)| *name == old).map(|(_, standard)| *standard)
}

/// Finds where a dotted path such as `zones.2.region` stands in the TOML source; falls back to
/// the nearest part of it that is there.
pub fn locate(src: &str, path: &[String]) -> usize {
    use toml::de::{DeTable, DeValue};
    let Ok(root) = DeTable::parse(src) else {
        return 0;
    };
    let mut off = 0;
    let mut here: Option<&DeValue> = None;
    for (n, part) in path.iter().enumerate() {
        let next = match (n, here) {
            (0, _) => {
                let root = root.get_ref();
                root.get(part.as_str()).or_else(|| root.get(standard_name(part)?))
            }
            (_, Some(DeValue::Table(t))) => t.get(part.as_str()),
            (_, Some(DeValue::Array(a))) => part.parse::<usize>().ok().and_then(|i| a.get(i)),
            _ => None,
        };
        match next {
            Some(v) => {
                off = v.span().start;
                here = Some(v.get_ref());
            }
            None => break,
        }
    }
    off
}
