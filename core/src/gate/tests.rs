use {
    super::*,
    crate::{
        clock::Time,
        fleet::{EngineView, Registration, TargetNotices},
        ids::{EngineId, Incarnation, RequestRate, SoftwareVersion},
        manifest::Role,
        poison::RunPermission,
    },
    proptest::prelude::*,
    std::time::Duration,
};

fn registration(boot: u64, leaving: bool) -> Registration {
    Registration {
        id: "t".parse().unwrap(),
        service: "s".parse().unwrap(),
        software: "v1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 4,
        role: Role::Decode,
        leaving,
        weights: None,
        spot: None,
        leaves: None,
        boot: Incarnation(boot),
    }
}

fn view() -> EngineView {
    EngineView::from_registration(&registration(1, false))
}

fn intent(kind: SendKind) -> SendIntent<'static> {
    let permission = RunPermission::Clear;
    SendIntent { kind, boot: Incarnation(1), software: None, permit: false, permission }
}

const NOW: Time = Time::from_millis(1_000);

/// One row for each rule: the kinds of send that it denies, and how.
#[test]
fn check_denies_what_each_rule_forbids() {
    use DenialReason::*;
    let requests = [SendKind::Run, SendKind::Prefill, SendKind::Decode];
    let later = NOW + Duration::from_millis(700);
    let software: SoftwareVersion = "v2".parse().unwrap();
    let held = EngineView { held: later, ..view() };
    let leaving = EngineView { leaving: true, ..view() };
    let restarted = EngineView { boot: Incarnation(2), ..view() };
    let mut limited = view();
    limited.limit.record(RequestRate::new(5.0).ok(), NOW, NOW);
    limited.limit.record_wait(Duration::from_millis(700), NOW);
    let poison = |k| SendIntent { permission: RunPermission::Quarantined, ..intent(k) };
    let versioned = |k| SendIntent { software: Some(&software), ..intent(k) };
    let sound = view();
    for kind in requests {
        let check = |i: SendIntent, t: Option<&EngineView>| i.check(t, None, NOW);
        let another = |reason| Err(Denial::ChooseAnother(reason));
        assert_eq!(check(intent(kind), Some(&sound)), Ok(()), "{kind:?}");
        assert_eq!(check(poison(kind), Some(&sound)), Err(Denial::Refuse(Quarantined)));
        assert_eq!(check(intent(kind), None), another(Gone));
        assert_eq!(check(intent(kind), Some(&restarted)), another(Restarted));
        assert_eq!(check(intent(kind), Some(&leaving)), another(Leaving));
        let expected = if kind == SendKind::Prefill { Ok(()) } else { another(Software) };
        assert_eq!(check(versioned(kind), Some(&sound)), expected, "{kind:?}");
        assert_eq!(check(intent(kind), Some(&held)), Err(Denial::NotBefore(later, HeldBack)));
        assert_eq!(check(intent(kind), Some(&limited)), Err(Denial::NotBefore(later, RateLimit)));
        let permitted = SendIntent { permit: true, ..intent(kind) };
        assert_eq!(check(permitted, Some(&limited)), Ok(()));
        for source in [None, Some(&held), Some(&leaving)] {
            let found = intent(kind).check(Some(&sound), Some(source), NOW);
            assert_eq!(found, another(Source), "{source:?}");
        }
        assert_eq!(intent(kind).check(Some(&sound), Some(Some(&sound)), NOW), Ok(()));
    }
    let control = |t: &EngineView| SendIntent::CONTROL.check(Some(t), None, NOW);
    assert_eq!(control(&held), Err(Denial::NotBefore(later, HeldBack)));
    for target in [&sound, &leaving, &restarted, &limited] {
        assert_eq!(control(target), Ok(()));
    }
}

#[test]
fn into_fault_says_when_to_come_back() {
    let fault = Denial::NotBefore(NOW + Duration::from_secs(2), DenialReason::HeldBack);
    assert_eq!(fault.into_fault(NOW).retry, Some(Duration::from_secs(2)));
}

#[test]
fn notices_end_only_with_a_later_incarnation() {
    let id: EngineId = "t".parse().unwrap();
    let mut notices = TargetNotices::default();
    let left = |notices: &TargetNotices, boot| {
        notices.of(&id, Incarnation(boot)).is_some_and(|n| n.leaving)
    };
    assert!(notices.record_leaving(&id, Incarnation(2), NOW));
    assert!(!notices.record_leaving(&id, Incarnation(2), NOW), "known");
    assert!(!notices.record_leaving(&id, Incarnation(1), NOW), "late answer of an earlier process");
    assert!(left(&notices, 1) && left(&notices, 2) && !left(&notices, 3));
    notices.record_hold(&id, Incarnation(3), NOW, NOW);
    assert!(!left(&notices, 3), "the later process is not leaving");
    assert_eq!(notices.of(&id, Incarnation(3)).unwrap().held, NOW);
    notices.record_hold(&id, Incarnation(3), NOW + Duration::from_secs(5), NOW);
    let shorter = notices.record_hold(&id, Incarnation(3), NOW + Duration::from_secs(1), NOW);
    assert!(!shorter, "a shorter time does not lift a longer one");
    assert_eq!(notices.of(&id, Incarnation(3)).unwrap().held, NOW + Duration::from_secs(5));
}

#[test]
fn hold_binds_a_process_that_is_registered_later_for_a_short_time() {
    let id: EngineId = "t".parse().unwrap();
    let held = |hold: u64, boot: u64| {
        let mut notices = TargetNotices::default();
        notices.record_hold(&id, Incarnation(2), NOW + Duration::from_secs(hold), NOW);
        notices.of(&id, Incarnation(boot)).unwrap().held - NOW
    };
    assert_eq!(held(3, 3), Duration::from_secs(3));
    assert_eq!(held(60, 3), Duration::from_secs(5), "a process that starts later has not asked");
    assert_eq!(held(60, 2), Duration::from_secs(60));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(u64),
    Register { boot: u64, leaving: bool },
    Deregister,
    Answer { boot: u64, leaving: bool, hold_ms: Option<u64> },
    Choose,
    Send(SendKind),
}

fn step() -> impl Strategy<Value = Step> {
    let boot = 1..4u64;
    prop_oneof![
        (1..900u64).prop_map(Step::Wait),
        (boot.clone(), any::<bool>())
            .prop_map(|(boot, leaving)| Step::Register { boot, leaving: leaving && boot > 1 }),
        Just(Step::Deregister),
        (boot, prop::bool::weighted(0.2), prop::option::of(0..2_000u64))
            .prop_map(|(boot, leaving, hold_ms)| Step::Answer { boot, leaving, hold_ms }),
        Just(Step::Choose),
        prop::sample::select(SendKind::ALL.to_vec()).prop_map(Step::Send),
        prop::sample::select(SendKind::ALL.to_vec()).prop_map(Step::Send),
    ]
}

/// What the target's answers and entries forbid, kept without the code under test.
#[derive(Default)]
struct Oracle {
    /// Incarnation, whether it is leaving, and the end of its hold, for each answer.
    answers: Vec<(u64, bool, u64)>,
    /// Incarnation of the present entry, and whether it is known to be leaving and held until when.
    entry: Option<(u64, bool, u64)>,
}

impl Oracle {
    fn latest(&self) -> u64 {
        self.answers.iter().map(|a| a.0).max().unwrap_or(0)
    }

    /// Answers of the latest incarnation that answered, if the entry is not a later one.
    fn binding(&self) -> impl Iterator<Item = &(u64, bool, u64)> {
        let (latest, entry) = (self.latest(), self.entry.map_or(0, |e| e.0));
        // An answer counts only if no later process had answered before it.
        let in_order = self.answers.iter().enumerate().filter(move |(i, a)| {
            a.0 == latest && self.answers[..*i].iter().all(|before| before.0 <= a.0)
        });
        in_order.map(|(_, a)| a).filter(move |_| entry <= latest)
    }

    /// Ends of the times that were asked for. Each may have come from a process that is registered
    /// later; all are shorter than the delay of the directory.
    fn held(&self) -> u64 {
        let in_order =
            |i: usize, a: &(u64, bool, u64)| self.answers[..i].iter().all(|before| before.0 <= a.0);
        let binding = self.answers.iter().enumerate().filter(|(i, a)| in_order(*i, a));
        binding.map(|(_, a)| a.2).max().unwrap_or(0)
    }

    /// Notes what binds the process of the present entry; it stays so.
    fn update_entry(&mut self) {
        let leaving = self.binding().any(|a| a.1);
        let held = self.held();
        if let Some(entry) = &mut self.entry {
            *entry = (entry.0, entry.1 || leaving, entry.2.max(held));
        }
    }

    fn register(&mut self, boot: u64, leaving: bool) {
        let (left, held) = self.entry.filter(|e| e.0 == boot).map_or((false, 0), |e| (e.1, e.2));
        self.entry = Some((boot, leaving || left, held));
        self.update_entry();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// No send goes out that a rule forbids at that moment, and none is denied without a rule.
    #[test]
    fn check_denies_exactly_what_is_forbidden_at_that_moment(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let id: EngineId = "t".parse().unwrap();
        let (mut now, mut view, mut chosen) = (0u64, None::<EngineView>, 0u64);
        let mut notices = TargetNotices::default();
        let mut oracle = Oracle::default();
        for step in steps {
            let time = Time::from_millis(now);
            match step {
                Step::Wait(ms) => now += ms,
                Step::Register { boot, leaving } => {
                    match view.as_mut().filter(|v| v.boot.0 == boot) {
                        Some(engine) => engine.leaving |= leaving,
                        None => {
                            let mut engine =
                                EngineView::from_registration(&registration(boot, leaving));
                            if let Some(notice) = notices.of(&id, engine.boot) {
                                engine.apply_notice(notice);
                            }
                            view = Some(engine);
                        }
                    }
                    oracle.register(boot, leaving);
                }
                Step::Deregister => {
                    view = None;
                    oracle.entry = None;
                }
                Step::Answer { boot, leaving, hold_ms } => {
                    let boot_id = Incarnation(boot);
                    if leaving {
                        notices.record_leaving(&id, boot_id, time);
                    }
                    let until = hold_ms.map_or(0, |ms| now + ms);
                    if hold_ms.is_some() {
                        notices.record_hold(&id, boot_id, Time::from_millis(until), time);
                    }
                    if leaving || hold_ms.is_some() {
                        oracle.answers.push((boot, leaving, until));
                    }
                    oracle.update_entry();
                    if let Some(engine) = &mut view {
                        let boot = engine.boot;
                        notices.of(&id, boot).into_iter().for_each(|n| engine.apply_notice(n));
                    }
                }
                Step::Choose => chosen = view.as_ref().map_or(chosen, |v| v.boot.0),
                Step::Send(kind) => {
                    let send = SendIntent { boot: Incarnation(chosen), ..intent(kind) };
                    let send = if kind == SendKind::Control { SendIntent::CONTROL } else { send };
                    let result = send.check(view.as_ref(), None, time);
                    let held = oracle.entry.is_some_and(|e| now < e.2);
                    let left = oracle.entry.is_some_and(|e| e.1);
                    let other = oracle.entry.is_some_and(|e| chosen != 0 && e.0 != chosen);
                    let forbidden = match kind {
                        SendKind::Control => held,
                        _ => view.is_none() || held || left || other,
                    };
                    prop_assert_eq!(result.is_err(), forbidden, "{:?}", result);
                    if let Err(denial) = result {
                        let reason = match denial.reason() {
                            DenialReason::Gone => view.is_none(),
                            DenialReason::Restarted => other,
                            DenialReason::Leaving => left,
                            DenialReason::HeldBack => held,
                            _ => false,
                        };
                        prop_assert!(reason, "{:?}", denial);
                    }
                }
            }
        }
    }
}
