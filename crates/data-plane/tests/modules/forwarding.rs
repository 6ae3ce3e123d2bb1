//! Tests of `data_plane::forwarding`.

use common::{Epoch, Revision};
use data_plane::{
    forwarding::{ForwardedRequest, sign, verify},
    placement_table::UserKey,
};

/// Only a request that was signed with the members' secret, and not altered since, is accepted.
#[test]
fn only_valid_signatures_are_accepted() {
    let request = ForwardedRequest {
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
    let signed = sign(77, &request).unwrap();
    assert_eq!(verify(77, &signed), Some(request));
    assert_eq!(verify(78, &signed), None);
    let mut altered = signed.clone().into_bytes();
    altered[3] = if altered[3] == b'0' { b'1' } else { b'0' };
    assert_eq!(verify(77, std::str::from_utf8(&altered).unwrap()), None);
    assert_eq!(verify(77, "zz.é"), None);
}
