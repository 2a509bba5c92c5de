use super::*;

const VALID_SETTINGS: &str = r#"{
  "instance": "a0", "region": "nl", "zone": "ams-a", "listen": "127.0.0.1:0",
  "mesh": {"listen": "127.0.0.1:0", "key": "0123456789abcdef"},
  "platform": {"store": "127.0.0.1:1", "list": "127.0.0.1:2"}
}"#;

#[test]
fn parse_fills_in_defaults() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.control, ControlSettings::default());
}

#[test]
fn parse_reports_path_of_each_problem() {
    let cases = [
        ("\"log\": \"loud\", \"instance\"", "\"instance\"", "log"),
        ("\"key\": \"short\"", "\"key\": \"0123456789abcdef\"", "mesh.key"),
        ("\"store\": 5", "\"store\": \"127.0.0.1:1\"", "platform.store"),
        ("\"limits\": {\"memory\": 20}, \"instance\"", "\"instance\"", "limits.memory"),
        ("\"limits\": {\"descriptors\": 9}, \"instance\"", "\"instance\"", "limits.descriptors"),
        ("\"stroe\": 5, \"store\"", "\"store\"", "platform.stroe"),
    ];
    for (new, old, path) in cases {
        let problems = Settings::parse(&VALID_SETTINGS.replace(old, new)).unwrap_err();
        assert_eq!(problems[0].path, path);
    }
}
