//! Tests of `data_plane::user_key`.

use configuration::KeyPart;
use data_plane::{placement_table::UserKey, user_key::user_key};
use rstest::rstest;

/// Conformance, design 5.2: the first part that yields something is used.
#[rstest]
#[case::header_first(Some("u1"), r#"{"user":"u2"}"#, Some(("x-user", "u1")))]
#[case::then_json(None, r#"{"user":"u2"}"#, Some(("user", "\"u2\"")))]
#[case::then_opening(None, r#"{"prompt":"abcdefghijklmnopqrst"}"#, Some(("opening", "abcdefghijklmnop")))]
#[case::too_short(None, r#"{"prompt":"abc"}"#, None)]
#[case::not_json(None, "abcdefghijklmnopqrst", Some(("opening", "abcdefghijklmnop")))]
#[case::nothing(None, "", None)]
fn first_that_yields(#[case] head: Option<&str>, #[case] body: &str, #[case] want: Option<(&str, &str)>) {
    let parts = [KeyPart::Header("x-user".into()), KeyPart::Json("user".into()), KeyPart::Opening(16)];
    let got = user_key(&parts, "t", &|_| head.map(str::to_string), body.as_bytes());
    assert_eq!(got, want.map(|(k, v)| UserKey::of("t", k, v.as_bytes())));
}
