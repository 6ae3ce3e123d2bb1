//! Tests of `simulator::fault`.

use simulator::fault::{Fault, FaultKind};

#[test]
fn faults_are_read_or_refused() {
    let f: Fault = "20:kill:s1".parse().unwrap();
    assert_eq!((f.second, f.kind, f.target.as_str()), (20.0, FaultKind::Kill, "s1"));
    for bad in ["", "x:kill:s1", "1:melt:s1", "-1:kill:s1"] {
        assert!(bad.parse::<Fault>().unwrap_err().contains("allowed"), "{bad}");
    }
}
