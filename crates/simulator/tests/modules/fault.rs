//! Tests of `simulator::fault`.

use simulator::fault::{Fault, FaultKind};

#[test]
fn faults_are_parsed_or_refused() {
    let fault: Fault = "20:kill:s1".parse().unwrap();
    assert_eq!((fault.second, fault.kind, fault.target.as_str()), (20.0, FaultKind::Kill, "s1"));
    for invalid in ["", "x:kill:s1", "1:melt:s1", "-1:kill:s1"] {
        assert!(invalid.parse::<Fault>().unwrap_err().contains("allowed"), "{invalid}");
    }
}
