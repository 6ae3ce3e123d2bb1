//! Tests of `data_plane::forwarding`.

use common::{Epoch, Revision};
use data_plane::{
    forwarding::{ForwardedRequest, sign, verify},
    placement_table::UserKey,
};

#[test]
fn only_what_a_member_signed_passes() {
    let h = ForwardedRequest {
        request_id: "j".into(),
        from: "n".into(),
        epoch: Epoch(1),
        number: 1,
        to: "m".into(),
        to_epoch: Epoch(2),
        revision: Revision(3),
        entry: "e".into(),
        tenant: None,
        service: "s".into(),
        region: "r".into(),
        key: Some(UserKey(9)),
        spent: None,
        left_ms: 5,
    };
    let s = sign(77, &h).unwrap();
    assert_eq!(verify(77, &s), Some(h));
    assert_eq!(verify(78, &s), None);
    let mut other = s.clone().into_bytes();
    other[3] = if other[3] == b'0' { b'1' } else { b'0' };
    assert_eq!(verify(77, std::str::from_utf8(&other).unwrap()), None);
    assert_eq!(verify(77, "zz.é"), None);
}
