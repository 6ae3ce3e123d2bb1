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
fn values_come_back_whole() {
    let named = Kind::Named { map: BTreeMap::from([("a".into(), vec![1, 2, 255])]), f: 0.95, big: u128::MAX };
    for k in [Kind::Unit, Kind::Pair(7, None), Kind::Pair(u64::MAX, Some("x".into())), named] {
        assert_eq!(decode::<Kind>(&encode(&k).unwrap()).unwrap(), k);
    }
}

#[test]
fn cut_or_oversized_input_is_an_error() {
    let b = encode(&Kind::Pair(1, Some("long enough".into()))).unwrap();
    assert!(decode::<Kind>(&b[..b.len() - 3]).is_err());
    let mut c = Codec::<Kind, Kind>::default();
    let mut src = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    assert!(c.decode(&mut src).is_err());
}

/// Who has not said yet who it is can't make a process wait for, or reserve, a long message.
#[test]
fn a_hello_is_short() {
    let declared = |bytes: usize| BytesMut::from(&(bytes as u32).to_be_bytes()[..]);
    assert!(Codec::<Kind, Kind>::handshake().decode(&mut declared(MAX_HANDSHAKE_BYTES + 1)).is_err());
    assert!(Codec::<Kind, Kind>::handshake().decode(&mut declared(MAX_HANDSHAKE_BYTES)).unwrap().is_none());
    assert!(Codec::<Kind, Kind>::default().decode(&mut declared(MAX_HANDSHAKE_BYTES + 1)).unwrap().is_none());
}
