//! Documents on disk and on the wire (design 2.8): compressed if that is shorter, decoded byte for byte, and encoded in
//! no more bytes than their size limit counts.

use common::wire;
use control_plane::{Document, MAX_DOCUMENT_BYTES, types::SizeLimits};
use rstest::rstest;

mod random_text;
use random_text::random_text;

fn encode_and_decode(document: &Document) -> Document {
    wire::decode(&wire::encode(document).unwrap()).unwrap()
}

#[rstest]
#[case::none("")]
#[case::short("a")]
#[case::letters(&"ñandú 东 \u{1F682} \u{0} ".repeat(50))]
#[case::repetitive(&"x".repeat(MAX_DOCUMENT_BYTES))]
#[case::incompressible(&random_text(3, 1 << 20))]
#[case::half_and_half(&(random_text(4, 70_000) + &"y".repeat(70_000)))]
fn documents_decode_to_the_same_text(#[case] text: &str) {
    let document = Document::from(text);
    let encoded = wire::encode(&document).unwrap();
    assert!(encoded.len() <= document.packed_len() + 16 && document.packed_len() <= text.len());
    let decoded = encode_and_decode(&document);
    assert_eq!((&*decoded, decoded.packed_len()), (text, document.packed_len()));
    assert_eq!(wire::encode(&decoded).unwrap(), encoded, "a decoded document is encoded to the same bytes");
    assert_eq!(decoded, document);
}

/// Text like that of operators' routes, `len` bytes long: names and numbers differ, the rest repeats.
fn routes(len: usize) -> String {
    let name = |route: usize, field: usize| {
        format!("{:016x}", (route * 31 + field).wrapping_mul(0x9E37_79B9_7F4A_7C15))
    };
    let mut text = String::new();
    let mut n = 0;
    while text.len() < len {
        n += 1;
        text += &format!(
            r#"{{"name":"r-{}","host":"{}.example","path-start":"/{}/","kind":"streaming","give-up-ms":{},"service":"{}","tries":2}},"#,
            &name(n, 1)[..7],
            &name(n / 50, 2)[..6],
            &name(n, 3)[..7],
            4_000 + n % 5,
            &name(n % 7, 4)[..7]
        );
    }
    text.truncate(len);
    text
}

/// A document of routes of the longest length fits the limit on compressed documents.
#[test]
fn four_mebibytes_of_routes_fit() {
    let document = Document::from(routes(MAX_DOCUMENT_BYTES));
    assert!(
        document.fits() && document.packed_len() < SizeLimits::default().document(),
        "{}",
        document.packed_len()
    );
    assert!(!Document::from(routes(MAX_DOCUMENT_BYTES + 1)).fits());
}

/// A document that can't be compressed has to be shorter.
#[rstest]
#[case(SizeLimits::default().document(), true)]
#[case(SizeLimits::default().document() + 1, false)]
fn incompressible_documents_have_a_lower_limit(#[case] len: usize, #[case] fits: bool) {
    assert_eq!(Document::from(random_text(5, len)).fits(), fits);
}

/// Corrupt bytes are an error, and no more memory is reserved for them than for the longest document.
#[rstest]
#[case::longer_than_the_limit(0, &[0xff, 0xff, 0xff, 0x7f], "allowed: 4194304")]
#[case::claimed_longer_than_the_text(0, &[0x59, 2, 0, 0], "601 were announced")]
#[case::claimed_shorter_than_the_text(0, &[1, 0, 0, 0], "")]
#[case::invalid_utf8(5, &[0xff], "utf-8")]
fn corrupt_bytes_are_an_error(#[case] at: usize, #[case] bytes: &[u8], #[case] why: &str) {
    let document = Document::from("z".repeat(600));
    let mut encoded = wire::encode(&document).unwrap();
    // The compressed bytes are at the end: the length of the text, then one block.
    let packed_at = encoded.len() - document.packed_len();
    assert_eq!(encoded[packed_at..packed_at + 4], [0x58, 2, 0, 0]);
    encoded[packed_at + at..][..bytes.len()].copy_from_slice(bytes);
    let error = wire::decode::<Document>(&encoded).unwrap_err().to_string();
    assert!(error.contains(why), "{error}");
    assert!(wire::decode::<Document>(&encoded[..encoded.len() - 1]).is_err());
}
