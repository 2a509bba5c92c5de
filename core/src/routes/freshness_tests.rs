use {
    super::*,
    crate::{clock::Time, ids::Revision},
    std::time::Duration,
};

const OWN: Revision = Revision(4);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn peer(version: u64, age_ms: u64) -> PeerTable {
    PeerTable { version: Revision(version), age: Some(Duration::from_millis(age_ms)) }
}

fn is_abandoned(freshness: &TableFreshness, began: u64, now: u64) -> bool {
    matches!(freshness.judge_watch(OWN, at(began), at(now)), WatchVerdict::Abandon(_))
}

#[test]
fn judge_watch_keeps_one_that_others_confirm() {
    let mut freshness = TableFreshness::default();
    freshness.record_read(at(0));
    for asked in (1_000..20_000).step_by(1_000) {
        assert!(!is_abandoned(&freshness, 10, asked), "at {asked} ms");
        freshness.record_peer(OWN, peer(4, 1_000), Some(at(asked)), at(asked + 2));
    }
    assert_eq!(freshness.age(at(19_002)), Duration::from_millis(1_002));
    assert!(!is_abandoned(&freshness, 10, 20_499));
    assert!(is_abandoned(&freshness, 10, 20_500));
}

#[test]
fn judge_watch_abandons_one_that_nothing_confirms() {
    let unconfirmed = |peer: Option<(PeerTable, Option<Time>)>| {
        let mut freshness = TableFreshness::default();
        freshness.record_read(at(0));
        if let Some((peer, asked)) = peer {
            freshness.record_peer(OWN, peer, asked, at(2_000));
        }
        is_abandoned(&freshness, 100, 2_600)
    };
    let unknown = PeerTable { version: OWN, age: None };
    assert!(unconfirmed(None));
    assert!(unconfirmed(Some((peer(3, 0), Some(at(2_000))))), "an older table");
    assert!(unconfirmed(Some((unknown, Some(at(2_000))))), "a table that may be old");
    assert!(unconfirmed(Some((peer(4, 1_950), Some(at(2_000))))), "a table that is old");
    assert!(unconfirmed(Some((peer(4, 0), None))), "a message that may be old");
    assert!(!unconfirmed(Some((peer(4, 0), Some(at(2_000))))));
}

#[test]
fn judge_watch_gives_the_own_one_time_to_report_a_newer_version() {
    let mut freshness = TableFreshness::default();
    freshness.record_read(at(0));
    freshness.record_peer(OWN, peer(5, 0), None, at(100));
    freshness.record_peer(OWN, peer(6, 0), None, at(200));
    assert!(!is_abandoned(&freshness, 10, 299));
    assert!(is_abandoned(&freshness, 10, 300));
    assert!(matches!(
        freshness.judge_watch(Revision(6), at(10), at(300)),
        WatchVerdict::KeepUntil(_)
    ));
    // Once version 6 is in force, a later one has its own time.
    freshness.record_peer(Revision(6), peer(7, 0), None, at(5_000));
    let verdict = freshness.judge_watch(Revision(6), at(4_000), at(5_100));
    assert_eq!(verdict, WatchVerdict::KeepUntil(at(5_200)));
}

/// Guards against endless reads for a version that another build applies and this one refuses.
#[test]
fn judge_watch_ignores_a_version_that_a_read_did_not_bring() {
    let mut freshness = TableFreshness::default();
    freshness.record_peer(OWN, peer(5, 0), None, at(100));
    freshness.record_read(at(50));
    assert!(is_abandoned(&freshness, 60, 300), "the read began before it was announced");
    freshness.record_read(at(310));
    freshness.record_peer(OWN, peer(5, 0), None, at(400));
    assert!(!is_abandoned(&freshness, 320, 1_000));
    freshness.record_peer(OWN, peer(6, 0), None, at(1_000));
    assert!(is_abandoned(&freshness, 320, 1_200));
}
