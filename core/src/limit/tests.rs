use {
    super::*,
    crate::{clock::Time, ids::RequestRate},
};

#[test]
fn breaker_lets_one_probe_through() {
    let at = Time::from_millis;
    let mut breaker = Breaker::default();
    for _ in 0..3 {
        assert!(breaker.allows(at(0)));
        breaker.record_failure(at(0));
    }
    assert!(!breaker.allows(at(499)));
    assert!(breaker.allows(at(500)));
    breaker.record_send(at(500));
    assert!(!breaker.allows(at(501)), "a second probe");
    breaker.record_failure(at(510));
    assert!(!breaker.allows(at(1_509)));
    breaker.record_send(at(1_510));
    breaker.record_success();
    assert!(breaker.allows(at(1_510)));
}

#[test]
fn breaker_counts_failures_of_the_same_moment_once() {
    let at = Time::from_millis;
    let mut breaker = Breaker::default();
    // A lost connection fails all requests that a target had in work.
    (0..20).for_each(|_| breaker.record_failure(at(0)));
    assert!(breaker.allows(at(500)), "the target is tried again after the first wait");
}

#[test]
fn breaker_probes_again_after_a_probe_that_found_the_target_down() {
    let at = Time::from_millis;
    let mut breaker = Breaker::default();
    breaker.trip(at(0));
    breaker.record_send(at(500));
    breaker.trip(at(510));
    assert!(!breaker.allows(at(1_509)), "the wait is doubled");
    assert!(breaker.allows(at(1_510)));
}

#[test]
fn breaker_probes_again_after_any_end_of_a_probe() {
    let at = Time::from_millis;
    type End = fn(&mut Breaker, Time);
    let ends: [(&str, End, u64); 5] = [
        ("answered", |b, _| b.record_success(), 510),
        ("not sent after all", |b, _| b.cancel_send(), 510),
        ("failed", Breaker::record_failure, 1_510),
        ("target down", Breaker::trip, 1_510),
        ("no result", |_, _| {}, 2_500),
    ];
    for (name, end, allowed) in ends {
        let mut breaker = Breaker::default();
        breaker.trip(at(0));
        breaker.record_send(at(500));
        end(&mut breaker, at(510));
        assert!(breaker.allows(at(allowed)), "{name}");
        assert!(!breaker.allows(at(allowed - 1)) || allowed == 510, "{name}: too early");
    }
}

proptest::proptest! {
    #[test]
    fn breaker_allows_a_request_after_its_longest_wait(
        steps in proptest::collection::vec((0..5_u8, 0..3_000_u64), 0..60)
    ) {
        let (mut breaker, mut at) = (Breaker::default(), 0);
        for (event, elapsed) in steps {
            at += elapsed;
            let now = Time::from_millis(at);
            match event {
                0 => breaker.record_send(now),
                1 => breaker.cancel_send(),
                2 => breaker.record_failure(now),
                3 => breaker.trip(now),
                _ => breaker.record_success(),
            }
        }
        proptest::prop_assert!(breaker.allows(Time::from_millis(at + 4_000)));
    }
}

#[test]
fn breaker_needs_consecutive_failures() {
    let now = Time::ZERO;
    let mut breaker = Breaker::default();
    for _ in 0..5 {
        breaker.record_failure(now);
        breaker.record_failure(now);
        breaker.record_success();
    }
    assert!(breaker.allows(now));
}

#[test]
fn retry_budget_stays_under_its_share() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += u32::from(budget.take());
    }
    assert!(retries <= 1_050, "{retries}");
}

#[test]
fn resend_budget_limits_every_window() {
    use std::time::Duration;
    let limit = ResendLimit { ratio: 0.2, slack: 12.0, window: Duration::from_secs(10) };
    let mut budget = ResendBudget::default();
    let mut taken: Vec<u64> = Vec::new();
    let mut sent: Vec<u64> = Vec::new();
    for ms in (0..60_000).step_by(20) {
        let now = Time::from_millis(ms);
        budget.record_request(&limit, now);
        sent.push(ms);
        if budget.take(&limit, Some(3), 1, now) {
            taken.push(ms);
        }
    }
    assert!(taken.len() > 100, "{}", taken.len());
    for start in (0..50_000).step_by(100) {
        let within = |times: &[u64]| {
            times.iter().filter(|t| (start..start + 10_000).contains(*t)).count() as f64
        };
        let bound = 0.2 * within(&sent) + 4.0;
        assert!(
            within(&taken) <= bound,
            "{} resends from {start} ms, bound {bound}",
            within(&taken)
        );
    }
}

#[test]
fn resend_of_a_disaggregated_request_counts_twice() {
    let limit = ResendLimit { ratio: 0.0, slack: 10.0, window: std::time::Duration::from_secs(10) };
    let mut budget = ResendBudget::default();
    // 8 of the 10 resends are usable, and each request takes 2: one for its prefill, one for its
    // run.
    let taken = (0..20).filter(|_| budget.take(&limit, Some(1), 2, Time::ZERO)).count();
    assert_eq!(taken, 4);
}

#[test]
fn resends_without_a_known_fleet_are_limited_to_the_share_of_requests() {
    let limit = ResendLimit { ratio: 0.5, slack: 10.0, window: std::time::Duration::from_secs(10) };
    let mut budget = ResendBudget::default();
    assert!(!budget.take(&limit, None, 1, Time::ZERO));
    (0..10).for_each(|_| budget.record_request(&limit, Time::ZERO));
    assert_eq!((0..20).filter(|_| budget.take(&limit, None, 1, Time::ZERO)).count(), 4);
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::new(per_second).ok()
}

#[test]
fn limit_is_lowered_by_any_answer_and_raised_by_later_requests_only() {
    let at = Time::from_millis;
    let mut limit = AnnouncedLimit::default();
    assert!(limit.record(rate(10.0), at(0), at(100)));
    assert!(
        !limit.record(rate(20.0), at(50), at(110)),
        "sent before the lower limit was announced"
    );
    assert_eq!(limit.rate(), rate(10.0));
    assert!(limit.record(rate(5.0), at(40), at(120)));
    assert!(limit.record(rate(20.0), at(121), at(130)));
    assert_eq!((limit.rate(), limit.age(at(180)).as_millis()), (rate(20.0), 50));
}

#[test]
fn limit_outlasts_an_older_answer_without_one() {
    let at = Time::from_millis;
    let mut limit = AnnouncedLimit::default();
    assert!(!limit.record(None, at(0), at(1)));
    assert!(limit.record(rate(10.0), at(2), at(100)));
    assert!(!limit.record(rate(10.0), at(90), at(200)), "the same limit again");
    assert!(!limit.record(None, at(150), at(210)));
    assert_eq!(limit.rate(), rate(10.0));
    assert!(limit.record(None, at(201), at(220)));
    assert_eq!(limit.rate(), None);
}
