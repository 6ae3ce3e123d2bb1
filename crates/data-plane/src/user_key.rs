//! The user key (design 5.2): which part of a request identifies its user, by the policy's order.

use crate::placement_table::UserKey;
use configuration::KeyPart;

/// JSON fields that may hold the prompt, whose opening can serve as the key.
const PROMPT_FIELDS: &[&str] = &["prompt", "input", "messages", "text"];

/// The key by the first part of the policy that the request has.
pub fn user_key(
    parts: &[KeyPart],
    tenant: &str,
    header: &dyn Fn(&str) -> Option<String>,
    body: &[u8],
) -> Option<UserKey> {
    // The body is parsed only where a part needs it.
    let parsed = std::cell::OnceCell::new();
    let document = || parsed.get_or_init(|| serde_json::from_slice::<serde_json::Value>(body).ok());
    parts.iter().find_map(|part| match part {
        KeyPart::Header(name) => {
            header(name).filter(|v| !v.is_empty()).map(|v| UserKey::of(tenant, name, v.as_bytes()))
        }
        KeyPart::Json(path) => document()
            .as_ref()
            .and_then(|d| path.split('.').try_fold(d, |value, field| value.get(field)))
            .filter(|v| !v.is_null())
            .map(|v| UserKey::of(tenant, path, v.to_string().as_bytes())),
        KeyPart::PromptStart(length) => {
            let prompt = document().as_ref().and_then(|d| PROMPT_FIELDS.iter().find_map(|k| d.get(k)));
            let text = match prompt {
                Some(serde_json::Value::String(s)) => s.as_bytes().to_vec(),
                Some(v) => v.to_string().into_bytes(),
                None => body.to_vec(),
            };
            (text.len() >= *length).then(|| UserKey::of(tenant, "opening", &text[..*length]))
        }
    })
}
