//! Documents on disk and on the wire (design 2.8): packed where that is shorter, back byte for byte,
//! and never longer than they are weighed.

use common::wire;
use control_plane::{Document, MAX_DOCUMENT_BYTES, types::SizeLimits};
use rstest::rstest;

mod random_text;
use random_text::random_text;

fn back(d: &Document) -> Document {
    wire::decode(&wire::encode(d).unwrap()).unwrap()
}

#[rstest]
#[case::none("")]
#[case::short("a")]
#[case::letters(&"ñandú 东 \u{1F682} \u{0} ".repeat(50))]
#[case::alike(&"x".repeat(MAX_DOCUMENT_BYTES))]
#[case::unlike(&random_text(3, 1 << 20))]
#[case::half_and_half(&(random_text(4, 70_000) + &"y".repeat(70_000)))]
fn texts_come_back_as_they_were(#[case] text: &str) {
    let d = Document::from(text);
    let told = wire::encode(&d).unwrap();
    assert!(told.len() <= d.packed_len() + 16 && d.packed_len() <= text.len());
    let b = back(&d);
    assert_eq!((&*b, b.packed_len()), (text, d.packed_len()));
    assert_eq!(wire::encode(&b).unwrap(), told, "what is passed on is what was taken");
    assert_eq!(b, d);
}

/// Routes as operators write them: names and numbers differ, the words around them do not.
fn routes(len: usize) -> String {
    let name = |n: usize, k: usize| format!("{:016x}", (n * 31 + k).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let mut out = String::new();
    let mut n = 0;
    while out.len() < len {
        n += 1;
        out += &format!(
            r#"{{"name":"r-{}","host":"{}.example","path-start":"/{}/","kind":"streaming","give-up-ms":{},"service":"{}","tries":2}},"#,
            &name(n, 1)[..7],
            &name(n / 50, 2)[..6],
            &name(n, 3)[..7],
            4_000 + n % 5,
            &name(n % 7, 4)[..7]
        );
    }
    out.truncate(len);
    out
}

/// The longest document of routes takes no more room than the log has for one.
#[test]
fn four_mebibytes_of_routes_fit() {
    let d = Document::from(routes(MAX_DOCUMENT_BYTES));
    assert!(d.fits() && d.packed_len() < SizeLimits::default().document(), "{}", d.packed_len());
    assert!(!Document::from(routes(MAX_DOCUMENT_BYTES + 1)).fits());
}

#[rstest]
#[case(SizeLimits::default().document(), true)]
#[case(SizeLimits::default().document() + 1, false)]
fn what_can_not_be_packed_has_less_room(#[case] len: usize, #[case] fits: bool) {
    assert_eq!(Document::from(random_text(5, len)).fits(), fits);
}

/// Broken bytes are an error, and reserve no more memory than a document may take.
#[rstest]
#[case::longer_than_any(0, &[0xff, 0xff, 0xff, 0x7f], "allowed: 4194304")]
#[case::longer_than_it_is(0, &[0x59, 2, 0, 0], "601 were announced")]
#[case::shorter_than_it_is(0, &[1, 0, 0, 0], "")]
#[case::no_text(5, &[0xff], "utf-8")]
fn what_is_broken_is_an_error(#[case] at: usize, #[case] bytes: &[u8], #[case] why: &str) {
    let d = Document::from("z".repeat(600));
    let mut told = wire::encode(&d).unwrap();
    // The packed bytes stand at the end: the text's length, then one block.
    let packed = told.len() - d.packed_len();
    assert_eq!(told[packed..packed + 4], [0x58, 2, 0, 0]);
    told[packed + at..][..bytes.len()].copy_from_slice(bytes);
    let e = wire::decode::<Document>(&told).unwrap_err().to_string();
    assert!(e.contains(why), "{e}");
    assert!(wire::decode::<Document>(&told[..told.len() - 1]).is_err());
}
