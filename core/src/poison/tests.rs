use {
    super::*,
    crate::{
        clock::Time,
        ids::{Fingerprint, Incarnation},
    },
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
fn clear_lifts_isolation_but_not_quarantine() {
    let now = Time::ZERO;
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(FINGERPRINT, crash("a", 1), now);
    quarantine.clear(FINGERPRINT);
    assert_eq!(quarantine.permission(FINGERPRINT, now), RunPermission::Clear);
    quarantine.record_crash(FINGERPRINT, crash("a", 1), now);
    quarantine.record_crash(FINGERPRINT, crash("b", 1), now);
    quarantine.clear(FINGERPRINT);
    assert_eq!(quarantine.permission(FINGERPRINT, now), RunPermission::Quarantined);
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
