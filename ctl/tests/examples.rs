//! The example files that the README refers to are valid.

use lentil_core::{manifest::Manifest, settings::Settings};

#[test]
fn examples_are_valid() {
    let hemelwacht = include_str!("../../examples/hemelwacht.json");
    let fjordsti = include_str!("../../examples/fjordsti.json");
    assert_eq!(Manifest::parse(hemelwacht).map(|m| m.engines.len()), Ok(10));
    assert_eq!(Manifest::parse(fjordsti).map(|m| m.engines.len()), Ok(10));
    Settings::parse(include_str!("../../examples/instance.json")).unwrap();
}
