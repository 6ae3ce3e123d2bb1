//! The handshake and its reply keep the encoding of earlier versions.

use common::rpc::{Handshake, HandshakeReply};
use test_fixtures::Fixtures;

#[test]
fn compatibility_of_the_handshake() {
    let fixtures = Fixtures::of_crate(env!("CARGO_MANIFEST_DIR"));
    let handshake = Handshake {
        protocol_version: common::wire::PROTOCOL_VERSION,
        cluster: "bitacora".into(),
        service: "signal".into(),
        node: "s1".into(),
    };
    fixtures.assert_wire("hello", &handshake);
    fixtures.assert_wire("welcome", &HandshakeReply { rejected: None });
    fixtures.assert_wire("welcome-refused", &HandshakeReply { rejected: Some("cluster".into()) });
}
