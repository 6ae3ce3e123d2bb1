//! Small changes to a document (design 4.7): everything that is not named stays byte for byte.

use serde::Deserialize;
use std::collections::BTreeMap;
use toml_edit::{DocumentMut, Item, Value};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Dotted path to new value, such as `"tuning.lend_share": 0.4`.
    #[serde(default)]
    pub set: BTreeMap<String, serde_json::Value>,
    /// Pieces of text that stand exactly once, and what replaces them.
    #[serde(default)]
    pub replace: Vec<Swap>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swap {
    pub find: String,
    pub with: String,
}

fn value(v: &serde_json::Value) -> Result<Value, String> {
    use serde_json::Value as J;
    Ok(match v {
        J::Bool(b) => (*b).into(),
        J::String(s) => s.as_str().into(),
        J::Number(n) => match n.as_i64() {
            Some(i) => i.into(),
            None => n.as_f64().ok_or("a number is out of range")?.into(),
        },
        J::Array(a) => {
            let vs: Result<Vec<Value>, String> = a.iter().map(value).collect();
            Value::Array(vs?.into_iter().collect())
        }
        J::Null | J::Object(_) => {
            return Err("allowed values: text, number, true, false, lists of these".into());
        }
    })
}

pub fn apply(text: &str, p: &Patch) -> Result<String, String> {
    let mut out = text.to_string();
    for s in &p.replace {
        let n = out.matches(&s.find).count();
        if s.find.is_empty() || n != 1 {
            return Err(format!("replace: {:?} stands {n} times; allowed: exactly once", s.find));
        }
        out = out.replacen(&s.find, &s.with, 1);
    }
    if p.set.is_empty() {
        return Ok(out);
    }
    let mut doc: DocumentMut = out.parse().map_err(|e| format!("the patched document: {e}"))?;
    for (path, v) in &p.set {
        let mut parts: Vec<&str> = path.split('.').collect();
        let leaf = parts.pop().unwrap_or_default();
        let mut at: &mut Item = doc.as_item_mut();
        for part in parts {
            let next = match part.parse::<usize>() {
                Ok(n) => at.get_mut(n),
                Err(_) => {
                    let t = at.as_table_like_mut().ok_or(format!("set: {path}: no such place"))?;
                    Some(t.entry(part).or_insert(toml_edit::table()))
                }
            };
            at = next.ok_or(format!("set: {path}: no such place"))?;
        }
        let t = at.as_table_like_mut().ok_or(format!("set: {path}: no such place"))?;
        let mut new = value(v).map_err(|e| format!("set: {path}: {e}"))?;
        if let Some(old) = t.get(leaf).and_then(Item::as_value) {
            *new.decor_mut() = old.decor().clone();
        }
        t.insert(leaf, Item::Value(new));
    }
    Ok(doc.to_string())
}
