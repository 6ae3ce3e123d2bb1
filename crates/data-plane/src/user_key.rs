//! The user key (design 5.2): learned from what callers do send, in the order of the policy.

use crate::placement_table::UserKey;
use configuration::KeyPart;

/// Fields in which a prompt is looked for when its opening serves as the key.
const PROMPTS: &[&str] = &["prompt", "input", "messages", "text"];

pub fn user_key(
    parts: &[KeyPart],
    tenant: &str,
    header: &dyn Fn(&str) -> Option<String>,
    body: &[u8],
) -> Option<UserKey> {
    // Parsed only where a part needs it.
    let parsed = std::cell::OnceCell::new();
    let doc = || parsed.get_or_init(|| serde_json::from_slice::<serde_json::Value>(body).ok());
    parts.iter().find_map(|p| match p {
        KeyPart::Header(h) => {
            header(h).filter(|v| !v.is_empty()).map(|v| UserKey::of(tenant, h, v.as_bytes()))
        }
        KeyPart::Json(path) => doc()
            .as_ref()
            .and_then(|d| path.split('.').try_fold(d, |at, k| at.get(k)))
            .filter(|v| !v.is_null())
            .map(|v| UserKey::of(tenant, path, v.to_string().as_bytes())),
        KeyPart::Opening(n) => {
            let field = doc().as_ref().and_then(|d| PROMPTS.iter().find_map(|k| d.get(k)));
            let text = match field {
                Some(serde_json::Value::String(s)) => s.as_bytes().to_vec(),
                Some(v) => v.to_string().into_bytes(),
                None => body.to_vec(),
            };
            (text.len() >= *n).then(|| UserKey::of(tenant, "opening", &text[..*n]))
        }
    })
}
