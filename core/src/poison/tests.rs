use {
    super::*,
    crate::{
        clock::Time,
        ids::{EngineId, Fingerprint, Incarnation, PrefixHash},
    },
    std::time::Duration,
};

const FINGERPRINT: Fingerprint = Fingerprint(1);

fn crash(engine: &str, boot: u64) -> Crash {
    Crash { engine: engine.parse().unwrap(), boot: Incarnation(boot) }
}

#[test]
fn two_crashes_cause_quarantine() {
    let now = Time::ZERO;
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.permission(FINGERPRINT, now), RunPermission::Clear);
    assert!(quarantine.record_crash(FINGERPRINT, crash("a", 1), now));
    assert_eq!(quarantine.permission(FINGERPRINT, now), RunPermission::Isolate);
    assert!(quarantine.record_crash(FINGERPRINT, crash("b", 1), now));
    assert_eq!(quarantine.permission(FINGERPRINT, now), RunPermission::Quarantined);
    assert_eq!(quarantine.permission(FINGERPRINT, now + SUSPECT_RETENTION), RunPermission::Clear);
}

#[test]
fn crash_counts_once() {
    let now = Time::ZERO;
    let mut quarantine = Quarantine::default();
    assert!(quarantine.record_crash(FINGERPRINT, crash("a", 1), now));
    assert!(!quarantine.record_crash(FINGERPRINT, crash("a", 1), now));
    assert_eq!(quarantine.permission(FINGERPRINT, now), RunPermission::Isolate);
    assert!(
        quarantine.record_crash(FINGERPRINT, crash("a", 2), now),
        "the same engine after a restart"
    );
}

#[test]
fn clear_lifts_isolation_and_quarantine_for_good() {
    let at = Time::from_millis;
    let subject = [FINGERPRINT.into()];
    let is_clear = |quarantine: &Quarantine, now| {
        quarantine.permission(FINGERPRINT, now) == RunPermission::Clear
    };
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(FINGERPRINT, crash("a", 1), at(0));
    assert!(!is_clear(&quarantine, at(0)));
    assert_eq!(quarantine.clear(&subject, at(10))[..], subject);
    assert!(is_clear(&quarantine, at(10)));
    // Long after the answer, so that only later crashes count.
    quarantine.record_crash(FINGERPRINT, crash("a", 2), at(100_000));
    quarantine.record_crash(FINGERPRINT, crash("b", 1), at(100_500));
    assert_eq!(quarantine.permission(FINGERPRINT, at(100_500)), RunPermission::Quarantined);
    quarantine.clear(&subject, at(101_000));
    assert!(is_clear(&quarantine, at(101_000)));
    // Reports of the same crashes, by gossip without their age, by a pull and from the store.
    let now = at(200_000);
    for (engine, boot, age_ms) in [("a", 2, 0), ("b", 1, 0), ("a", 2, 100_000), ("c", 1, 99_000)] {
        let age = Duration::from_millis(age_ms);
        assert!(!quarantine.record_past_crash(FINGERPRINT, crash(engine, boot), age, now));
    }
    assert!(is_clear(&quarantine, now));
    let age = Duration::from_millis(98_000);
    assert!(quarantine.record_past_crash(FINGERPRINT, crash("c", 1), age, now), "a later crash");
}

#[test]
fn crash_under_a_request_that_was_answered_lately_is_not_blamed_on_it() {
    let at = Time::from_millis;
    let mut quarantine = Quarantine::default();
    assert!(quarantine.clear(&[FINGERPRINT.into()], at(0)).is_empty());
    for boot in 0..3 {
        assert!(!quarantine.record_crash(FINGERPRINT, crash("a", boot), at(20_000)));
    }
    assert!(quarantine.is_empty());
    assert!(quarantine.record_crash(FINGERPRINT, crash("a", 9), at(61_000)));
}

#[test]
fn number_of_suspects_is_bounded() {
    let mut quarantine = Quarantine::default();
    for i in 0..MAX_SUSPECTS as u64 + 10 {
        quarantine.record_crash(Fingerprint(i), crash("a", 1), Time::from_millis(i));
    }
    assert_eq!(quarantine.len(), MAX_SUSPECTS);
    assert_eq!(quarantine.permission(Fingerprint(0), Time::ZERO), RunPermission::Clear);
}

#[test]
fn isolation_parts_are_disjoint_whatever_order_the_engines_come_in() {
    let mut engines: Vec<EngineId> = (0..7).map(|i| format!("e{i}").parse().unwrap()).collect();
    let mut seen = Vec::new();
    for rank in 0..3 {
        engines.rotate_left(2);
        seen.extend(isolation_part(engines.iter(), rank, 3));
    }
    seen.sort_unstable();
    engines.sort_unstable();
    assert_eq!(seen, engines);
    assert!(isolation_part(engines.iter(), 8, 9).is_empty());
}

#[test]
fn recently_crashed_names_the_targets_of_all_suspects_for_a_while() {
    let at = Time::from_millis;
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(FINGERPRINT, crash("a", 1), at(0));
    quarantine.record_crash(Fingerprint(2), crash("b", 1), at(10_000));
    assert_eq!(quarantine.recently_crashed(at(20_000)).len(), 2);
    let later = quarantine.recently_crashed(at(35_000));
    assert_eq!(later.into_iter().collect::<Vec<_>>(), ["b".parse().unwrap()]);
}

#[test]
fn digest_is_equal_for_the_same_requests_whatever_crashed() {
    let now = Time::from_millis(5);
    let [mut a, mut b] = [Quarantine::default(), Quarantine::default()];
    assert!(a.digest(now).is_empty());
    for (quarantine, engines) in [(&mut a, ["x", "y"]), (&mut b, ["y", "z"])] {
        for engine in engines {
            quarantine.record_crash(FINGERPRINT, crash(engine, 1), now);
        }
    }
    b.record_crash(Fingerprint(2), crash("x", 1), now);
    assert!(!a.digest(now).is_empty());
    assert_eq!(a.digest(now), b.digest(now), "a suspect alone does not count");
    b.record_crash(Fingerprint(2), crash("y", 1), now);
    assert_ne!(a.digest(now), b.digest(now));
    assert!(a.digest(now + SUSPECT_RETENTION).is_empty());
}

#[test]
fn quarantined_request_outlives_newer_suspects_in_a_full_table() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(FINGERPRINT, crash("a", 1), Time::ZERO);
    quarantine.record_crash(FINGERPRINT, crash("b", 1), Time::ZERO);
    for i in 0..MAX_SUSPECTS as u64 + 10 {
        quarantine.record_crash(Fingerprint(100 + i), crash("a", 1), Time::from_millis(i));
    }
    let permission = quarantine.permission(FINGERPRINT, Time::ZERO);
    assert_eq!(permission, RunPermission::Quarantined);
}

#[test]
fn request_is_quarantined_again_after_its_quarantine_has_ended() {
    let mut quarantine = Quarantine::default();
    for start in [Time::ZERO, Time::ZERO + SUSPECT_RETENTION * 2] {
        assert_eq!(quarantine.permission(FINGERPRINT, start), RunPermission::Clear);
        quarantine.record_crash(FINGERPRINT, crash("a", 1), start);
        quarantine.record_crash(FINGERPRINT, crash("b", 1), start);
        assert_eq!(quarantine.permission(FINGERPRINT, start), RunPermission::Quarantined);
    }
}

const PART: PrefixHash = PrefixHash(9);

fn is_quarantined(quarantine: &Quarantine, now: Time) -> bool {
    !quarantine.quarantined_among(&[PrefixHash(1).into(), PART.into()], now).is_empty()
}

/// A quarantine in which [`PART`] has crashed as many engines, the last of them at `now`.
fn crashed_by_part(count: u64, now: Time) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for boot in 0..count {
        let age = Duration::from_secs(count - 1 - boot);
        quarantine.record_past_crash(PART, crash("a", boot), age, now);
    }
    quarantine
}

#[test]
fn crashes_at_the_same_moment_count_once_for_a_part() {
    let at = Time::from_millis;
    let mut quarantine = Quarantine::default();
    for wave in 0..3 {
        assert!(!is_quarantined(&quarantine, at(wave * 200)));
        for boot in 0..8 {
            quarantine.record_crash(PART, crash("a", wave * 10 + boot), at(wave * 200 + boot * 10));
        }
    }
    assert!(is_quarantined(&quarantine, at(600)));
}

#[test]
fn third_crash_quarantines_a_part() {
    let now = Time::ZERO;
    assert!(!is_quarantined(&crashed_by_part(2, now), now));
    let quarantine = crashed_by_part(3, now);
    assert!(is_quarantined(&quarantine, now));
    assert!(!is_quarantined(&quarantine, now + SUSPECT_RETENTION));
    assert_eq!(quarantine.permission(Fingerprint(PART.0), now), RunPermission::Clear);
}

#[test]
fn answer_on_a_part_clears_it_of_crashes_before_and_soon_after() {
    let at = Time::from_millis;
    let mut quarantine = crashed_by_part(3, at(0));
    let parts = [PrefixHash(1).into(), PART.into()];
    assert_eq!(quarantine.clear(&parts, at(10))[..], [PART.into()]);
    assert!(!is_quarantined(&quarantine, at(10)));
    for boot in 0..6 {
        assert!(!quarantine.record_crash(PART, crash("b", boot), at(20_000)));
    }
    assert!(quarantine.clear(&[PART.into()], at(20_000)).is_empty());
    // A part may begin to crash targets after a change of their software.
    for boot in 0..3 {
        let now = at(100_000 + boot * 500);
        assert!(quarantine.record_crash(PART, crash("b", boot), now));
    }
    assert!(is_quarantined(&quarantine, at(101_000)));
}

#[test]
fn quarantined_part_is_tried_three_times_in_its_retention() {
    let mut quarantine = crashed_by_part(3, Time::ZERO);
    let mut trials = Vec::new();
    for second in 0..SUSPECT_RETENTION.as_secs() {
        let now = Time::from_millis(second * 1_000);
        if quarantine.take_trial(&[PART.into()], now) {
            trials.push(second);
            assert!(!quarantine.take_trial(&[PART.into()], now), "one at a time");
            quarantine.record_crash(PART, crash("t", second), now);
        }
    }
    assert_eq!(trials, [15, 75, 315]);
}

#[test]
fn trial_without_a_result_is_repeated_later() {
    let at = Time::from_millis;
    let mut quarantine = crashed_by_part(3, at(0));
    assert!(quarantine.take_trial(&[PART.into()], at(15_000)));
    assert!(!quarantine.take_trial(&[PART.into()], at(44_999)));
    assert!(quarantine.take_trial(&[PART.into()], at(45_000)));
    assert!(!quarantine.take_trial(&[PrefixHash(1).into()], at(45_000)), "a part without crashes");
}

#[test]
fn number_of_cleared_subjects_is_bounded() {
    let part = |number| Subject::Part(PrefixHash(number));
    let mut cleared = ClearedSubjects::default();
    (0..20_000).for_each(|n| cleared.insert(part(n), Time::ZERO));
    let held = (0..20_000).filter(|n| cleared.contains(part(*n), Time::ZERO)).count();
    assert!((4_096..=8_192).contains(&held), "{held}");
    assert!(cleared.contains(part(19_999), Time::from_millis(29_999)));
    assert!(!cleared.contains(part(19_999), Time::from_millis(61_000)));
}

#[test]
fn number_of_lifted_blames_is_bounded() {
    let mut cleared = ClearedSubjects::default();
    let subject = |number: u64| Subject::Request(Fingerprint(number));
    let count = MAX_SUSPECTS as u64 + 10;
    (0..count).for_each(|n| cleared.lift(subject(n), [crash("a", n)], Time::from_millis(n)));
    let (at, now) = (Time::ZERO, Time::from_millis(1_000_000));
    let held = (0..count).filter(|n| cleared.covers(subject(*n), &crash("a", *n), at, now)).count();
    assert_eq!(held, MAX_SUSPECTS);
    assert!(cleared.covers(subject(count - 1), &crash("a", 0), at, now));
}

#[test]
fn quarantined_request_is_tried_three_times_in_its_retention() {
    let at = |second: u64| Time::from_millis(second * 1_000);
    let subject = [FINGERPRINT.into()];
    let mut quarantine = Quarantine::default();
    for boot in 0..2 {
        quarantine.record_crash(FINGERPRINT, crash("a", boot), at(0));
    }
    assert_eq!(quarantine.time_to_trial(&subject, at(5)), Duration::from_secs(10));
    let mut trials = Vec::new();
    for second in 0..SUSPECT_RETENTION.as_secs() {
        if quarantine.take_trial(&subject, at(second)) {
            trials.push(second);
            quarantine.record_crash(FINGERPRINT, crash("t", second), at(second));
        }
    }
    assert_eq!(trials, [15, 75, 315]);
    assert_eq!(quarantine.permission(FINGERPRINT, at(3_900)), RunPermission::Quarantined);
    assert_eq!(quarantine.time_to_trial(&subject, at(3_900)), Duration::from_secs(15));
}

/// Guards against targets that crash together and use up the trials of a request that ran on all.
#[test]
fn quarantined_request_is_tried_soon_after_many_targets_crashed_at_once() {
    let mut quarantine = Quarantine::default();
    for boot in 0..20 {
        quarantine.record_crash(FINGERPRINT, crash("a", boot), Time::from_millis(boot * 300));
    }
    assert!(quarantine.take_trial(&[FINGERPRINT.into()], Time::from_millis(15_300)));
}
