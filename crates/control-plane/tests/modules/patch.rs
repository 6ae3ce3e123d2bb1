//! Tests of `control_plane::operator::patch`.

use control_plane::operator::patch::{Patch, Replacement, apply};
use std::collections::BTreeMap;

#[test]
fn what_is_not_named_stays() {
    let src = "# kept\ncluster = 'c'\n[tuning]\nlend_share = 0.5 # why\n[[areas]]\nname = 'a'\n";
    let p: Patch = serde_json::from_str(
        r#"{"set":{"tuning.lend_share":0.25,"areas.0.name":"b"},"replace":[{"find":"kept","with":"held"}]}"#,
    )
    .unwrap();
    let want = "# held\ncluster = 'c'\n[tuning]\nlend_share = 0.25 # why\n[[areas]]\nname = \"b\"\n";
    assert_eq!(apply(src, &p).unwrap(), want);
    let twice =
        Patch { set: BTreeMap::new(), replace: vec![Replacement { find: "a".into(), with: "b".into() }] };
    assert!(apply(src, &twice).unwrap_err().to_string().contains("exactly once"));
}
