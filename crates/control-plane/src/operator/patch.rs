//! Patches of a document (design 4.7): everything that a patch does not name stays byte for byte.

use serde::Deserialize;
use std::{collections::BTreeMap, fmt};
use toml_edit::{DocumentMut, Item, Value};

/// Changes of named parts of a document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// New values by dotted path, such as `"tuning.lend_share": 0.4`.
    #[serde(default)]
    pub set: BTreeMap<String, serde_json::Value>,
    /// Replacements of pieces of text; they come before `set`.
    #[serde(default)]
    pub replace: Vec<Replacement>,
}

/// Replacement of a piece of text that must occur exactly once.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// The text to replace.
    pub find: String,
    /// The new text.
    pub with: String,
}

/// Why a patch can't be applied.
#[derive(Debug)]
pub enum PatchError {
    /// A piece of text does not occur exactly once.
    NotUnique {
        /// The text to replace.
        find: String,
        /// Number of occurrences.
        count: usize,
    },
    /// The document is not valid TOML.
    Syntax(toml_edit::TomlError),
    /// An array position on the path does not exist, or a part of the path is neither a table nor an array.
    NoSuchPath(String),
    /// A value can't be written into a document.
    Value {
        /// Path of the value.
        path: String,
        /// Why it can't be written.
        why: ValueError,
    },
}

/// Why a value can't be written into a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueError {
    /// The number can't be represented in TOML.
    OutOfRange,
    /// The value is null or an object.
    Kind,
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ValueError::OutOfRange => "a number is out of range",
            ValueError::Kind => "allowed values: text, number, true, false, lists of these",
        })
    }
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatchError::NotUnique { find, count } => {
                write!(f, "replace: {find:?} occurs {count} times; allowed: exactly once")
            }
            PatchError::Syntax(e) => write!(f, "the patched document: {e}"),
            PatchError::NoSuchPath(path) => write!(f, "set: {path}: no such path in the document"),
            PatchError::Value { path, why } => write!(f, "set: {path}: {why}"),
        }
    }
}

impl std::error::Error for PatchError {}

/// Returns the document with the patch applied.
///
/// # Errors
/// See [`PatchError`]. A patch is applied as a whole or not at all.
pub fn apply(text: &str, patch: &Patch) -> Result<String, PatchError> {
    let mut text = text.to_string();
    for Replacement { find, with } in &patch.replace {
        let count = text.matches(find).count();
        if find.is_empty() || count != 1 {
            return Err(PatchError::NotUnique { find: find.clone(), count });
        }
        text = text.replacen(find, with, 1);
    }
    if patch.set.is_empty() {
        return Ok(text);
    }
    let mut document: DocumentMut = text.parse().map_err(PatchError::Syntax)?;
    for (path, value) in &patch.set {
        set(&mut document, path, value)?;
    }
    Ok(document.to_string())
}

fn set(document: &mut DocumentMut, path: &str, value: &serde_json::Value) -> Result<(), PatchError> {
    let no_such_path = || PatchError::NoSuchPath(path.into());
    let mut parts: Vec<&str> = path.split('.').collect();
    let leaf = parts.pop().unwrap_or_default();
    let mut item: &mut Item = document.as_item_mut();
    for part in parts {
        let next = match part.parse::<usize>() {
            Ok(position) => item.get_mut(position),
            Err(_) => {
                let table = item.as_table_like_mut().ok_or_else(no_such_path)?;
                Some(table.entry(part).or_insert(toml_edit::table()))
            }
        };
        item = next.ok_or_else(no_such_path)?;
    }
    let table = item.as_table_like_mut().ok_or_else(no_such_path)?;
    let mut new = toml_value(value).map_err(|why| PatchError::Value { path: path.into(), why })?;
    if let Some(old) = table.get(leaf).and_then(Item::as_value) {
        *new.decor_mut() = old.decor().clone();
    }
    table.insert(leaf, Item::Value(new));
    Ok(())
}

fn toml_value(value: &serde_json::Value) -> Result<Value, ValueError> {
    use serde_json::Value as Json;
    Ok(match value {
        Json::Bool(value) => (*value).into(),
        Json::String(value) => value.as_str().into(),
        Json::Number(number) => match number.as_i64() {
            Some(integer) => integer.into(),
            None => number.as_f64().ok_or(ValueError::OutOfRange)?.into(),
        },
        Json::Array(values) => {
            let values: Result<Vec<Value>, ValueError> = values.iter().map(toml_value).collect();
            Value::Array(values?.into_iter().collect())
        }
        Json::Null | Json::Object(_) => return Err(ValueError::Kind),
    })
}
