use {super::store_keys::HolderRecord, lentil_core::ids::Incarnation};

/// Guards against a record that builds on both sides of an upgrade read or write differently.
#[test]
fn holder_record_is_decoded_and_encoded_as_recorded() {
    let text = include_str!("../../tests/data/holder-51ddb42.json");
    let record: HolderRecord = serde_json::from_str(text).unwrap();
    assert_eq!(record.writer.as_str(), "w-5");
    assert_eq!(record.holder.instance.as_str(), "e-1");
    assert_eq!(record.holder.start, Incarnation(1_767_225_600_123));
    assert_eq!(serde_json::to_string(&record).unwrap(), text);
}
