//! Errors in a document, with line and column (design 4.2).

use serde::{Deserialize, Serialize};
use std::fmt;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostic {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Line and column of a byte offset, both counted from 1.
pub fn line_col(source: &str, offset: usize) -> (usize, usize) {
    let before = source.get(..offset.min(source.len())).unwrap_or(source);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

/// A diagnostic at a byte offset of the source.
pub fn diagnostic_at(source: &str, offset: usize, message: impl Into<String>) -> Diagnostic {
    let (line, column) = line_col(source, offset);
    Diagnostic { line, column, message: message.into() }
}

/// Names of top-level fields in earlier releases, each with the current name.
const RENAMED_FIELDS: [(&str, &str); 2] = [("areas", "zones"), ("timetable", "routing")];

fn current_name(old: &str) -> Option<&'static str> {
    RENAMED_FIELDS.iter().find(|(name, _)| *name == old).map(|(_, current)| *current)
}

/// Byte offset of the value at a path such as `zones`, `2`, `region` in a TOML source. If there is no such value, the
/// offset of its nearest parent.
pub fn locate(source: &str, path: &[String]) -> usize {
    use toml::de::{DeTable, DeValue};
    let Ok(root) = DeTable::parse(source) else {
        return 0;
    };
    let mut offset = 0;
    let mut current: Option<&DeValue> = None;
    for (depth, part) in path.iter().enumerate() {
        let next = match (depth, current) {
            (0, _) => {
                let root = root.get_ref();
                root.get(part.as_str()).or_else(|| root.get(current_name(part)?))
            }
            (_, Some(DeValue::Table(table))) => table.get(part.as_str()),
            (_, Some(DeValue::Array(array))) => part.parse::<usize>().ok().and_then(|index| array.get(index)),
            _ => None,
        };
        match next {
            Some(value) => {
                offset = value.span().start;
                current = Some(value.get_ref());
            }
            None => break,
        }
    }
    offset
}
