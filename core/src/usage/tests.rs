use {
    super::*,
    crate::{
        clock::Time,
        ids::{Fence, Incarnation, Millis, WorkspaceId},
        order::Holder,
    },
    std::{collections::BTreeMap, time::Duration},
};

const LENGTH_MS: u64 = 5_000;
/// A window's number and its beginning in milliseconds since 1970.
const WINDOW: u64 = 353_445_120;
const BEGIN: u64 = WINDOW * LENGTH_MS;

fn length() -> WindowLength {
    WindowLength::from_secs_f64(5.0)
}

fn timing(fenced: bool) -> ReportTiming {
    let spacing = Duration::from_millis(50);
    ReportTiming { length: length(), deadline: Duration::from_secs(10), spacing, fenced }
}

fn workspace(i: usize) -> WorkspaceId {
    format!("huka{i}").parse().unwrap()
}

fn holder(name: &str, start: u64) -> Holder {
    Holder { instance: name.parse().unwrap(), start: Incarnation(start) }
}

/// Time `ms` after the beginning of [`WINDOW`], by both clocks.
fn at(ms: u64) -> (Time, UnixTime) {
    (Time::from_millis(100_000 + ms), UnixTime(BEGIN + ms))
}

fn counts(window: u64, counts: &[(usize, u64)]) -> WindowUsage {
    let counts = counts.iter().map(|(w, n)| (workspace(*w), *n)).collect();
    WindowUsage { window: WindowId(window), counts }
}

fn record(next: u64, reports: &[(u64, bool)]) -> UsageRecord {
    let report = |(window, accepted): &(u64, bool)| FixedReport {
        window: WindowId(*window),
        counts: BTreeMap::from([(workspace(1), *window)]),
        accepted: *accepted,
    };
    UsageRecord {
        writer: "w-0".parse().unwrap(),
        holder: holder("a", 1),
        number: Fence(1),
        next: WindowId(next),
        reports: reports.iter().map(report).collect(),
    }
}

fn reporter(number: u64, fenced: bool, acquired_ms: u64) -> Reporter {
    Reporter::new(timing(fenced), Fence(number), None, at(acquired_ms).0)
}

/// Guards against requests counted in a neighbouring window, or sent to the holder never or twice.
#[test]
fn counter_assigns_requests_to_windows_and_sends_changes_and_repeats() {
    let mut counter = UsageCounter::new(length());
    counter.record(&workspace(1), at(4_999).1);
    counter.record(&workspace(1), at(5_000).1);
    counter.record(&workspace(2), at(5_000).1);
    let changes = counter.take_changes(at(5_100).1, true);
    assert_eq!(changes, [counts(WINDOW, &[(1, 1)]), counts(WINDOW + 1, &[(1, 1), (2, 1)])]);
    // The ended window is repeated for a while, the one in progress only after a change.
    assert_eq!(counter.take_changes(at(6_100).1, true), [counts(WINDOW, &[(1, 1)])]);
    assert_eq!(counter.take_changes(at(8_000).1, true), []);
    counter.record(&workspace(2), at(8_100).1);
    assert_eq!(counter.take_changes(at(8_200).1, false), []);
    let sent = counter.take_changes(at(10_100).1, false);
    assert_eq!(sent, [counts(WINDOW + 1, &[(1, 1), (2, 2)])]);
    counter.send_again(WindowId(WINDOW));
    assert_eq!(counter.take_changes(at(20_000).1, true).len(), 2);
    counter.remove_old(at(5_000 + 60_000).1);
    assert_eq!(counter.first_window(WindowId(0)), Some(WindowId(WINDOW + 1)));
}

fn split(windows: Vec<WindowUsage>) -> Vec<UsageMessage> {
    let names = ["a".parse().unwrap(), "b".parse().unwrap()];
    UsageMessage::messages(at(0).1, windows, names.each_ref())
}

/// Guards against messages that do not fit a datagram with the 80 workspaces of a deployment, and
/// against counts that are lost or doubled by the split.
#[test]
fn messages_are_split_without_loss() {
    let all: Vec<_> = (0..2)
        .map(|w| counts(WINDOW + w, &(0..300).map(|i| (i, i as u64)).collect::<Vec<_>>()))
        .collect();
    let messages = split(all.clone());
    assert!(messages.len() > 1);
    let mut tally = UsageTally::default();
    // In reverse order and with repeats.
    for message in messages.iter().rev().chain(&messages) {
        assert!(message.windows.iter().map(|w| w.counts.len()).sum::<usize>() <= 1_400 / 10);
        for part in message.windows.clone() {
            tally.merge(&holder("a", 1), part);
        }
    }
    for expected in all {
        let mut sum = BTreeMap::new();
        tally.add_to(expected.window, &mut sum);
        assert_eq!(sum, expected.counts.into_iter().collect());
    }
    let few = counts(WINDOW, &(0..80).map(|i| (i, 1)).collect::<Vec<_>>());
    assert_eq!(split(vec![few]).len(), 1);
    assert_eq!(split(Vec::new()).len(), 1);
}

/// Guards against double counts after a repeated or reordered message, and against the loss of what
/// a process counted before it was restarted under the same name.
#[test]
fn tally_counts_each_process_once() {
    let mut tally = UsageTally::default();
    assert_eq!(tally.merge(&holder("a", 1), counts(WINDOW, &[(1, 5)])), 5);
    assert_eq!(tally.merge(&holder("a", 1), counts(WINDOW, &[(1, 7), (2, 1)])), 3);
    assert_eq!(tally.merge(&holder("a", 1), counts(WINDOW, &[(1, 5)])), 0);
    assert_eq!(tally.merge(&holder("a", 2), counts(WINDOW, &[(1, 2)])), 2);
    assert_eq!(tally.merge(&holder("b", 1), counts(WINDOW, &[(2, 4)])), 4);
    let mut sum = BTreeMap::new();
    tally.add_to(WindowId(WINDOW), &mut sum);
    assert_eq!(sum, BTreeMap::from([(workspace(1), 9), (workspace(2), 5)]));
    tally.remove_old(length(), at(5_000 + 60_000).1);
    assert_eq!(tally.first_window(WindowId(0)), None);
}

/// Guards against reports with wrong windows after a jump of the wall clock.
#[test]
fn true_time_ignores_jumps_and_follows_drift() {
    let start = Time::from_millis(10);
    let mut time = TrueTime::new(Millis(BEGIN), start);
    let now = start + Duration::from_secs(100);
    assert!(time.follow(Millis(BEGIN + 107_000), now), "a jump by 7 s is noticed");
    assert_eq!(time.at(now), UnixTime(BEGIN + 100_000));
    let now = start + Duration::from_secs(200);
    assert!(!time.follow(Millis(BEGIN + 200_100), now));
    assert_eq!(time.at(now), UnixTime(BEGIN + 200_010), "100 millionths of 100 s");
    time.correct(-500);
    assert_eq!(time.at(now), UnixTime(BEGIN + 199_510));
}

/// Guards against a holder that takes over its own or one other instance's wrong clock.
#[test]
fn clock_check_takes_the_median() {
    let mut check = ClockCheck::default();
    let now = Time::from_millis(1_000);
    check.record(&"a".parse().unwrap(), 3_000, now);
    assert_eq!(check.own_correction(now), None, "of two clocks, either may be wrong");
    check.record(&"b".parse().unwrap(), -10, now);
    check.record(&"c".parse().unwrap(), -30, now);
    assert_eq!(check.own_correction(now), None);
    assert!(check.is_wrong(&"a".parse().unwrap(), now));
    assert!(!check.is_wrong(&"b".parse().unwrap(), now));
    for name in ["a", "b", "c"] {
        check.record(&name.parse().unwrap(), -4_000, now);
    }
    assert_eq!(check.own_correction(now), Some(-4_000), "the own clock is the wrong one");
    assert_eq!(check.own_correction(now), None, "and is corrected once");
    let later = now + Duration::from_secs(10);
    assert!(!check.is_wrong(&"a".parse().unwrap(), later), "old times do not count");
}

/// Guards against reports fixed before the counts have arrived, and against windows left out or
/// reported twice by a new holder.
#[test]
fn due_windows_begin_where_the_record_ends() {
    let none = |_| None;
    let mut first = reporter(1, false, 1_000);
    assert_eq!(first.next_window(none, at(9_000)), WindowId(WINDOW));
    let counted = |from: WindowId| Some(from.max(WindowId(WINDOW - 1)));
    assert_eq!(first.next_window(counted, at(9_000)), WindowId(WINDOW - 1));
    let due = |r: &Reporter, ms| r.due_windows(r.next_window(none, at(ms)), at(ms));
    assert_eq!(due(&first, 7_100), (vec![], 0));
    assert_eq!(due(&first, 7_200), (vec![WindowId(WINDOW)], 0));
    first.set_record(Some(record(WINDOW + 1, &[(WINDOW, false)])));
    assert_eq!(due(&first, 11_000), (vec![], 0));
    assert_eq!(due(&first, 17_300).0, [WindowId(WINDOW + 1), WindowId(WINDOW + 2)]);
    // The record's loss changes nothing.
    first.set_record(None);
    assert_eq!(first.next_window(none, at(9_000)), WindowId(WINDOW + 1));
    // After an outage of the store that was longer than counts are kept.
    let (windows, skipped) = due(&first, 100_000);
    assert_eq!((windows.first(), skipped), (Some(&WindowId(WINDOW + 8)), 7));
    // A successor waits until the others have sent it their counts.
    let mut second = reporter(2, false, 6_900);
    second.set_record(Some(record(WINDOW, &[])));
    assert_eq!(due(&second, 8_800), (vec![], 0));
    assert_eq!(due(&second, 8_900), (vec![WindowId(WINDOW)], 0));
}

/// Guards against a fixed report that changes, and against a record that grows without bound.
#[test]
fn propose_keeps_fixed_reports_until_they_are_accepted() {
    let mut reporter = reporter(2, false, 0);
    reporter.set_record(Some(record(WINDOW + 2, &[(WINDOW, true), (WINDOW + 1, false)])));
    let new = BTreeMap::from([(workspace(9), 9)]);
    let windows = [WINDOW + 1, WINDOW + 2].map(|w| (WindowId(w), new.clone()));
    let writer = || (holder("b", 1), "w-1".parse().unwrap());
    let (proposal, given_up) = reporter.propose(windows, writer(), at(17_500).1);
    let old = BTreeMap::from([(workspace(1), WINDOW + 1)]);
    let kept: Vec<_> = proposal.reports.iter().map(|r| (r.window.0, &r.counts)).collect();
    assert_eq!(kept, [(WINDOW + 1, &old), (WINDOW + 2, &new)]);
    assert_eq!((proposal.next, proposal.number), (WindowId(WINDOW + 3), Fence(2)));
    assert_eq!(given_up, []);
    reporter.set_record(Some(proposal));
    reporter.record_call(WindowId(WINDOW + 1), CallEnd::Accepted, 0.0, at(17_600).0);
    let (proposal, given_up) = reporter.propose([], writer(), at(15_000 + 60_000).1);
    assert_eq!(proposal.reports, []);
    assert_eq!(given_up, [WindowId(WINDOW + 2)], "too old to be sent");
}

/// Guards against a value of a later build that this one can't read.
#[test]
fn record_ignores_unknown_fields() {
    let mut value = serde_json::to_value(record(WINDOW + 1, &[(WINDOW, false)])).unwrap();
    value["later"] = serde_json::json!({"a": 1});
    value["reports"][0]["later"] = serde_json::json!(2);
    value["reports"][0].as_object_mut().unwrap().remove("accepted");
    let read: UsageRecord = serde_json::from_value(value).unwrap();
    assert_eq!(read, record(WINDOW + 1, &[(WINDOW, false)]));
}

/// Guards against calls of a successor before those of its predecessor are over, and against reports
/// that are late although they could have been sent.
#[test]
fn next_call_waits_for_calls_of_a_predecessor() {
    let called = |fenced, number, acquired, ms| {
        let mut reporter = reporter(number, fenced, acquired);
        let mut record = record(WINDOW + 1, &[(WINDOW, false)]);
        record.number = Fence(number);
        reporter.set_record(Some(record));
        reporter.next_call(at(ms)).map(|r| r.window.0)
    };
    assert_eq!(called(false, 1, 7_000, 7_000), Some(WINDOW), "there is no predecessor");
    assert_eq!(called(true, 2, 7_000, 9_900), None);
    assert_eq!(called(true, 2, 7_000, 10_000), Some(WINDOW));
    assert_eq!(called(false, 2, 7_000, 12_900), None);
    assert_eq!(called(false, 2, 7_000, 13_000), Some(WINDOW));
    // Due at 15 s: the call is made at 13.5 s, or three seconds after a late acquisition.
    assert_eq!(called(false, 2, 10_000, 13_400), None);
    assert_eq!(called(false, 2, 10_000, 13_500), Some(WINDOW));
    assert_eq!(called(false, 2, 12_000, 14_900), None);
    assert_eq!(called(false, 2, 12_000, 15_000), Some(WINDOW));
}

/// Guards against a report that blocks the others, calls without a pause, and calls of a holder that
/// was superseded.
#[test]
fn next_call_alternates_between_open_reports() {
    let mut reporter = reporter(1, false, 0);
    reporter.set_record(Some(record(WINDOW + 2, &[(WINDOW, false), (WINDOW + 1, false)])));
    let window = |r: &Reporter, ms| r.next_call(at(ms)).map(|r| r.window.0);
    assert_eq!(window(&reporter, 12_000), Some(WINDOW));
    reporter.record_call(WindowId(WINDOW), CallEnd::Open, 1.0, at(12_000).0);
    assert_eq!(window(&reporter, 12_400), None);
    assert_eq!(window(&reporter, 12_500), Some(WINDOW + 1));
    reporter.record_call(WindowId(WINDOW + 1), CallEnd::Accepted, 1.0, at(12_500).0);
    assert_eq!(window(&reporter, 12_510), None, "calls are limited to a rate");
    assert_eq!(window(&reporter, 12_550), Some(WINDOW));
    assert_eq!(window(&reporter, 65_000), None, "the report is given up");
    let mut later = record(WINDOW + 3, &[(WINDOW, false)]);
    later.number = Fence(2);
    reporter.set_record(Some(later));
    assert_eq!(window(&reporter, 13_000), None);
    assert!(reporter.is_superseded());
}
