//! The examples that the README points to are good.

use lentil_core::{manifest::Manifest, settings::Settings};

#[test]
fn parse_takes_the_examples() {
    let hemelwacht = include_str!("../../examples/hemelwacht.json");
    let fjordsti = include_str!("../../examples/fjordsti.json");
    assert_eq!(Manifest::parse(hemelwacht).map(|m| m.engines.len()), Ok(10));
    assert_eq!(Manifest::parse(fjordsti).map(|m| m.engines.len()), Ok(10));
    Settings::parse(include_str!("../../examples/instance.json")).unwrap();
}
