//! The lines of `lentilctl instances`.

use {
    lentil_core::mesh::{MemberState, VersionRange},
    lentil_node::queries::BuildStatus,
    lentilctl::queries::build_line,
};

/// Guards against a build without an announcement that is shown as one that understands version 2.
#[test]
fn build_line_tells_announced_builds_from_others() {
    let announced = BuildStatus {
        instance: "e-1".parse().unwrap(),
        state: Some(MemberState::Alive),
        build: Some("0.2.0".into()),
        versions: Some(VersionRange::OWN),
    };
    let line = build_line(&announced);
    assert_eq!(line, "instance e-1: alive, build 0.2.0, protocol versions 1-2");
    let earlier = BuildStatus { state: None, build: None, versions: None, ..announced };
    let line = build_line(&earlier);
    let expected = "instance e-1: listed, build unknown, protocol versions 1-1 (not announced)";
    assert_eq!(line, expected);
}
