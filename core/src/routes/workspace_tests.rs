use {
    super::*,
    crate::{
        clock::Time,
        error::ErrorKind,
        ids::{Millis, Rank, Revision, Zone},
        settings::KeySettings,
    },
    std::time::Duration,
};

const SETTINGS: KeySettings =
    KeySettings { apply: Millis(3_000), revoke: Millis(8_000), strict: true };

fn workspace(name: &str) -> Workspace {
    Workspace { id: name.parse().unwrap(), rank: Some(Rank::new(2)) }
}

fn table() -> WorkspaceTable {
    let mut table = WorkspaceTable::default();
    table.insert(workspace("one"), ["k1", "k1b"]).unwrap();
    table.insert(workspace("two"), ["k2"]).unwrap();
    table.insert_public("h", "/open/");
    table
}

/// Returns the identified workspace, or the status of the refusal.
fn identify(prefix: &str, key: CallerKey, age_ms: u64) -> Result<Option<String>, u16> {
    let age = Duration::from_millis(age_ms);
    let route = sample_route("h", prefix, "s");
    let (table, settings) = (table(), SETTINGS);
    let found = table.identify(&route, key, age, &settings);
    found.map(|w| w.map(|w| w.id.to_string())).map_err(|f| f.kind.answer().status)
}

#[test]
fn identify_follows_key_route_and_age() {
    use CallerKey::{Absent, Invalid, Valid};
    let known = |name: &str| Ok(Some(name.to_owned()));
    let cases = [
        ("/x/", Valid("k1"), 0, known("one")),
        ("/x/", Valid("k1b"), 7_999, known("one")),
        ("/x/", Valid("k2"), 8_000, known("two")),
        ("/x/", Valid("k2"), 8_001, Err(503)),
        ("/x/", Valid("other"), 3_000, Err(401)),
        ("/x/", Valid("other"), 3_001, Err(503)),
        ("/x/", Absent, 60_000, Err(401)),
        ("/x/", Invalid, 60_000, Err(401)),
        ("/open/", Valid("k1"), 0, known("one")),
        ("/open/", Valid("other"), 0, Ok(None)),
        ("/open/", Valid("k1"), 60_000, Ok(None)),
        ("/open/", Absent, 60_000, Ok(None)),
        ("/open/", Invalid, 0, Ok(None)),
    ];
    for (n, (prefix, key, age, want)) in cases.into_iter().enumerate() {
        assert_eq!(identify(prefix, key, age), want, "case {n}");
    }
}

#[test]
fn identify_without_strict_accepts_known_keys_at_any_age() {
    let settings = KeySettings { strict: false, ..SETTINGS };
    let route = sample_route("h", "/x/", "s");
    let table = table();
    let found = table.identify(&route, CallerKey::Valid("k1"), Duration::MAX, &settings);
    assert_eq!(found.unwrap().unwrap().id.as_str(), "one");
    let refused = table.identify(&route, CallerKey::Valid("k3"), Duration::MAX, &settings);
    let fault = refused.unwrap_err();
    assert_eq!(fault.kind, ErrorKind::NotReady);
    assert!(fault.retry.is_some());
}

#[test]
fn parse_refuses_empty_long_and_binary_keys() {
    let longest = [b'k'; MAX_KEY_BYTES];
    assert!(CallerKey::parse(&longest) != CallerKey::Invalid);
    let long = [b'k'; MAX_KEY_BYTES + 1];
    for key in [&b""[..], &long, b"a b", b"a\tb", b"\xff\xfe", "\u{e9}".as_bytes()] {
        assert!(CallerKey::parse(key) == CallerKey::Invalid, "{key:?}");
    }
}

#[test]
fn insert_refuses_a_key_of_two_workspaces_and_does_not_name_it() {
    let mut table = table();
    let error = table.insert(workspace("three"), ["k3", "k2"]).unwrap_err().to_string();
    assert!(error.contains("key 1") && error.contains("two") && error.contains("three"), "{error}");
    assert!(!error.contains("k2"), "{error}");
    // The same key twice in one workspace is harmless.
    assert_eq!(table.insert(workspace("four"), ["k4", "k4", ""]), Ok(1));
}

#[test]
fn check_prices_names_the_zone_without_a_price() {
    let zones: [Zone; 2] = ["a".parse().unwrap(), "b".parse().unwrap()];
    let prices = [(zones[0].clone(), 1.0)].into();
    let service = ServiceConfig {
        scaling: Some(ScalingConfig { prices, ..Default::default() }),
        ..Default::default()
    };
    let services = [("s".parse().unwrap(), service)].into();
    let table = RouteTable::new(Default::default(), [], services, Default::default());
    assert_eq!(table.check_prices(&zones[..1]), Ok(()));
    assert!(table.check_prices(&zones).unwrap_err().contains("\"b\""));
}

#[test]
fn age_counts_from_the_last_call_that_shows_the_table_current() {
    let at = Time::from_millis;
    let (own, current) = (Revision(4), Some(Duration::ZERO));
    let mut freshness = TableFreshness::default();
    assert_eq!(freshness.age(at(5)), Duration::MAX);
    let newer = PeerTable { version: Revision(5), age: current };
    freshness.record_peer(own, newer, Some(at(5)), at(6));
    assert_eq!(freshness.age(at(6)), Duration::MAX, "the other table is a newer one");
    freshness.record_read(at(10));
    let same = PeerTable { version: own, age: current };
    freshness.record_peer(own, same, None, at(25));
    assert_eq!(freshness.age(at(30)), Duration::from_millis(20), "the message may be old");
    freshness.record_peer(own, same, Some(at(25)), at(30));
    assert_eq!(freshness.age(at(30)), Duration::from_millis(5));
    freshness.record_read(at(20));
    assert_eq!(freshness.age(at(45)), Duration::from_millis(20), "an earlier read returns late");
    freshness.record_current(at(40));
    assert_eq!(freshness.age(at(45)), Duration::from_millis(5));
}
