//! Tests of `control_plane::operator::patch`.

use control_plane::operator::patch::{Patch, Replacement, apply};
use std::collections::BTreeMap;

/// A patch changes the named parts and nothing else; a text to replace that occurs twice is refused.
#[test]
fn patches_change_only_named_parts() {
    let source = "# kept\ncluster = 'c'\n[tuning]\nlend_share = 0.5 # why\n[[areas]]\nname = 'a'\n";
    let patch: Patch = serde_json::from_str(
        r#"{"set":{"tuning.lend_share":0.25,"areas.0.name":"b"},"replace":[{"find":"kept","with":"held"}]}"#,
    )
    .unwrap();
    let expected = "# held\ncluster = 'c'\n[tuning]\nlend_share = 0.25 # why\n[[areas]]\nname = \"b\"\n";
    assert_eq!(apply(source, &patch).unwrap(), expected);
    let ambiguous =
        Patch { set: BTreeMap::new(), replace: vec![Replacement { find: "a".into(), with: "b".into() }] };
    assert!(apply(source, &ambiguous).unwrap_err().to_string().contains("exactly once"));
}
