//! Tests of `common::wire`.

use bytes::BytesMut;
use common::wire::{Codec, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, decode, encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tokio_util::codec::Decoder;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Kind {
    Unit,
    Pair(u64, Option<String>),
    Named { map: BTreeMap<String, Vec<u8>>, f: f64, big: u128 },
}

#[test]
fn decoding_restores_the_encoded_value() {
    let named = Kind::Named { map: BTreeMap::from([("a".into(), vec![1, 2, 255])]), f: 0.95, big: u128::MAX };
    for value in [Kind::Unit, Kind::Pair(7, None), Kind::Pair(u64::MAX, Some("x".into())), named] {
        assert_eq!(decode::<Kind>(&encode(&value).unwrap()).unwrap(), value);
    }
}

#[test]
fn truncated_or_oversized_input_is_an_error() {
    let bytes = encode(&Kind::Pair(1, Some("long enough".into()))).unwrap();
    assert!(decode::<Kind>(&bytes[..bytes.len() - 3]).is_err());
    let mut codec = Codec::<Kind, Kind>::default();
    let mut frame = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    assert!(codec.decode(&mut frame).is_err());
}

/// A peer that has not sent its handshake can't make the process wait for, or reserve, a long message.
#[test]
fn the_length_of_a_handshake_is_limited() {
    let length_prefix = |bytes: usize| BytesMut::from(&(bytes as u32).to_be_bytes()[..]);
    assert!(Codec::<Kind, Kind>::handshake().decode(&mut length_prefix(MAX_HANDSHAKE_BYTES + 1)).is_err());
    assert!(
        Codec::<Kind, Kind>::handshake().decode(&mut length_prefix(MAX_HANDSHAKE_BYTES)).unwrap().is_none()
    );
    assert!(
        Codec::<Kind, Kind>::default().decode(&mut length_prefix(MAX_HANDSHAKE_BYTES + 1)).unwrap().is_none()
    );
}
