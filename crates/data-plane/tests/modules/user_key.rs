//! Tests of `data_plane::user_key`.

use configuration::KeyPart;
use data_plane::{placement_table::UserKey, user_key::user_key};
use rstest::rstest;

/// The key comes from the first part of the policy that the request has (design 5.2).
#[rstest]
#[case::header_first(Some("u1"), r#"{"user":"u2"}"#, Some(("x-user", "u1")))]
#[case::then_json(None, r#"{"user":"u2"}"#, Some(("user", "\"u2\"")))]
#[case::then_opening(None, r#"{"prompt":"abcdefghijklmnopqrst"}"#, Some(("opening", "abcdefghijklmnop")))]
#[case::too_short(None, r#"{"prompt":"abc"}"#, None)]
#[case::not_json(None, "abcdefghijklmnopqrst", Some(("opening", "abcdefghijklmnop")))]
#[case::nothing(None, "", None)]
fn first_part_found(
    #[case] header: Option<&str>,
    #[case] body: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let parts = [KeyPart::Header("x-user".into()), KeyPart::Json("user".into()), KeyPart::PromptStart(16)];
    let key = user_key(&parts, "t", &|_| header.map(str::to_string), body.as_bytes());
    assert_eq!(key, expected.map(|(kind, value)| UserKey::of("t", kind, value.as_bytes())));
}
