//! The first messages of a connection keep the form in which an earlier version sent them.

use common::link::{Hello, Welcome};
use test_fixtures::Fixtures;

#[test]
fn compatibility_of_the_hello() {
    let fixtures = Fixtures::of_crate(env!("CARGO_MANIFEST_DIR"));
    let hello = Hello {
        proto: common::wire::PROTO,
        cluster: "bitacora".into(),
        service: "signal".into(),
        node: "s1".into(),
    };
    fixtures.assert_wire("hello", &hello);
    fixtures.assert_wire("welcome", &Welcome { bounced: None });
    fixtures.assert_wire("welcome-refused", &Welcome { bounced: Some("cluster".into()) });
}
