use {
    super::*,
    crate::{
        clock::Time,
        ids::{Fingerprint, Incarnation},
    },
};

const PRINT: Fingerprint = Fingerprint(1);

fn crash(engine: &str, boot: u64) -> Crash {
    Crash { engine: engine.parse().unwrap(), boot: Incarnation(boot) }
}

#[test]
fn crashed_twice_is_quarantined() {
    let now = Time::ZERO;
    let mut q = Quarantine::default();
    assert_eq!(q.permission(PRINT, now), RunPermission::Clear);
    assert!(q.record_crash(PRINT, crash("a", 1), now));
    assert_eq!(q.permission(PRINT, now), RunPermission::Isolate);
    assert!(q.record_crash(PRINT, crash("b", 1), now));
    assert_eq!(q.permission(PRINT, now), RunPermission::Quarantined);
    assert_eq!(q.permission(PRINT, now + SUSPECT_RETENTION), RunPermission::Clear);
}

#[test]
fn crashed_counts_one_crash_once() {
    let now = Time::ZERO;
    let mut q = Quarantine::default();
    assert!(q.record_crash(PRINT, crash("a", 1), now));
    assert!(!q.record_crash(PRINT, crash("a", 1), now));
    assert_eq!(q.permission(PRINT, now), RunPermission::Isolate);
    assert!(q.record_crash(PRINT, crash("a", 2), now), "the same engine after a restart");
}

#[test]
fn cleared_frees_a_neighbour_but_no_culprit() {
    let now = Time::ZERO;
    let mut q = Quarantine::default();
    q.record_crash(PRINT, crash("a", 1), now);
    q.clear(PRINT);
    assert_eq!(q.permission(PRINT, now), RunPermission::Clear);
    q.record_crash(PRINT, crash("a", 1), now);
    q.record_crash(PRINT, crash("b", 1), now);
    q.clear(PRINT);
    assert_eq!(q.permission(PRINT, now), RunPermission::Quarantined);
}

#[test]
fn crashed_keeps_a_bounded_number() {
    let mut q = Quarantine::default();
    for i in 0..MAX_SUSPECTS as u64 + 10 {
        q.record_crash(Fingerprint(i), crash("a", 1), Time::from_millis(i));
    }
    assert_eq!(q.len(), MAX_SUSPECTS);
    assert_eq!(q.permission(Fingerprint(0), Time::ZERO), RunPermission::Clear);
}
