use {
    super::quarantine::StoredCrash,
    lentil_core::fleet::RecordedVersion,
    serde::{de::DeserializeOwned, Serialize},
};

/// Decodes a record that commit 51ddb42 wrote and encodes it again.
fn rewritten<T: DeserializeOwned + Serialize>(text: &str) -> String {
    serde_json::to_string(&serde_json::from_str::<Vec<T>>(text).unwrap()).unwrap()
}

/// Guards against a record that builds on both sides of an upgrade read or write differently.
#[test]
fn stored_crash_is_decoded_and_encoded_as_recorded() {
    let text = include_str!("../../tests/data/quarantine-51ddb42.json");
    assert_eq!(rewritten::<StoredCrash>(text), text);
}

/// Guards against a record that builds on both sides of an upgrade read or write differently.
#[test]
fn stored_version_is_decoded_and_encoded_as_recorded() {
    let text = include_str!("../../tests/data/software-51ddb42.json");
    assert_eq!(rewritten::<RecordedVersion>(text), text);
}
