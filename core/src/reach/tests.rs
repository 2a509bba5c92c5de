use {
    super::*,
    crate::{clock::Time, ids::EngineId},
    proptest::prelude::*,
    std::time::Duration,
};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn engine(n: usize) -> EngineId {
    format!("i-{n}").parse().unwrap()
}

fn relay(n: u16, near: bool) -> Relay {
    let address = ([127, 0, 0, 1], n).into();
    Relay { id: format!("e-{n}").parse().unwrap(), address, near, targets: 4 }
}

const CUT: ReachCheck = ReachCheck { asked: 4, answered: 0, others: 4, alone: false };

#[test]
fn record_failure_suspects_after_two_targets_in_a_row() {
    let mut reach = ServiceReach::default();
    assert!(!reach.record_failure(&engine(1), 4, at(10)));
    assert!(!reach.record_failure(&engine(1), 4, at(11)), "the same target again");
    assert!(reach.record_failure(&engine(2), 4, at(12)));
}

#[test]
fn record_failure_suspects_after_one_target_if_nothing_is_heard() {
    for (silence, suspected) in [(249, false), (250, true)] {
        let mut reach = ServiceReach::default();
        reach.record_sign(at(900));
        reach.record_send(at(1_000));
        assert_eq!(reach.record_failure(&engine(1), 4, at(1_000 + silence)), suspected);
    }
}

#[test]
fn record_failure_is_forgotten_once_a_target_is_heard() {
    let mut reach = ServiceReach::default();
    reach.record_failure(&engine(1), 4, at(10));
    reach.record_sign(at(11));
    assert!(!reach.record_failure(&engine(2), 4, at(12)));
}

#[test]
fn record_failure_suspects_after_the_only_target() {
    assert!(ServiceReach::default().record_failure(&engine(1), 1, at(10)));
}

#[test]
fn record_failure_does_not_check_again_at_once() {
    let mut reach = ServiceReach::default();
    reach.begin_check(at(10));
    reach.record_failure(&engine(1), 2, at(20));
    assert!(!reach.record_failure(&engine(2), 2, at(1_009)));
    assert!(reach.record_failure(&engine(2), 2, at(1_010)));
}

#[test]
fn take_due_check_needs_waiting_requests_and_silence() {
    let mut reach = ServiceReach::default();
    assert_eq!(reach.take_due_check(at(5_000)), None, "nothing waits");
    reach.record_send(at(5_000));
    assert_eq!(reach.take_due_check(at(5_999)), None);
    reach.record_sign(at(5_999));
    assert_eq!(reach.take_due_check(at(6_100)), None, "a target was heard");
    assert_eq!(reach.take_due_check(at(6_999)), Some(DueCheck::Silence));
    assert_eq!(reach.take_due_check(at(7_000)), None, "it has begun");
    reach.record_end();
    assert_eq!(reach.take_due_check(at(9_000)), None);
}

#[test]
fn record_check_changes_the_state_once() {
    let mut reach = ServiceReach::default();
    assert_eq!(reach.record_check(&CUT, at(1_000)), Some(ReachChange::CutOff));
    assert_eq!(reach.record_check(&CUT, at(1_100)), None);
    let few = ReachCheck { answered: 1, ..CUT };
    assert_eq!(reach.record_check(&few, at(1_200)), None, "one target would get the load of four");
    let half = ReachCheck { answered: 2, ..CUT };
    let back = Some(ReachChange::Back(Duration::from_millis(500)));
    assert_eq!(reach.record_check(&half, at(1_500)), back);
    assert!(!reach.is_cut_off());
}

#[test]
fn record_check_leaves_an_outage_of_all_targets_to_the_breakers() {
    let down = ReachCheck { others: 0, ..CUT };
    assert_eq!(ServiceReach::default().record_check(&down, at(1_000)), None);
}

#[test]
fn record_check_ends_a_cut_once_nobody_reaches_the_service() {
    let mut reach = ServiceReach::default();
    reach.record_check(&CUT, at(1_000));
    let outage = ReachCheck { others: 0, ..CUT };
    assert_eq!(reach.record_check(&outage, at(1_500)), Some(ReachChange::Outage));
    assert!(!reach.is_cut_off());
    assert_eq!(reach.record_check(&CUT, at(2_500)), Some(ReachChange::CutOff));
}

#[test]
fn take_due_check_repeats_a_check_that_no_target_answered() {
    let mut reach = ServiceReach::default();
    reach.record_failure(&engine(1), 4, at(900));
    reach.begin_check(at(1_000));
    reach.record_check(&ReachCheck { others: 0, ..CUT }, at(1_000));
    assert_eq!(reach.take_due_check(at(1_999)), None);
    assert_eq!(reach.take_due_check(at(2_000)), Some(DueCheck::Silence));
    reach.record_sign(at(2_100));
    assert_eq!(reach.take_due_check(at(4_000)), None);
}

#[test]
fn has_lost_requests_only_after_silence() {
    for (silence, lost) in [(100, false), (600, true)] {
        let mut reach = ServiceReach::default();
        reach.record_sign(at(1_000));
        reach.record_check(&CUT, at(1_000 + silence));
        assert_eq!(reach.has_lost_requests(), lost, "{silence} ms");
    }
}

#[test]
fn is_evident_for_a_second_and_not_while_cut_off() {
    let mut reach = ServiceReach::default();
    assert!(!reach.is_evident(at(10)));
    reach.record_sign(at(100));
    assert!(reach.is_evident(at(1_099)));
    assert!(!reach.is_evident(at(1_100)));
    reach.record_sign(at(2_000));
    reach.record_check(&CUT, at(2_001));
    assert!(!reach.is_evident(at(2_002)), "open connections may live on");
}

#[test]
fn take_asked_check_is_due_without_evidence_only() {
    let mut reach = ServiceReach::default();
    assert!(reach.take_asked_check(at(1_000)));
    assert!(!reach.take_asked_check(at(1_199)), "too soon");
    reach.record_sign(at(1_200));
    assert!(!reach.take_asked_check(at(1_300)), "a target was heard");
    assert!(reach.take_asked_check(at(2_300)));
}

#[test]
fn choose_spreads_requests_and_prefers_the_zone() {
    let mut relays = Relays::default();
    relays.record(relay(1, false), at(100));
    relays.record(relay(2, true), at(100));
    let mut counts = [0; 2];
    for draw in 0..10 {
        let chosen = relays.choose(&[], draw, at(200)).unwrap().id.clone();
        counts[usize::from(chosen.as_str() == "e-2")] += 1;
        relays.count(&chosen, true);
    }
    assert_eq!(counts, [5, 5]);
    let first = relays.choose(&[], 0, at(200)).unwrap();
    assert!(first.near, "both have as many");
}

#[test]
fn choose_leaves_out_what_failed_or_was_not_confirmed() {
    let mut relays = Relays::default();
    relays.record(relay(1, true), at(100));
    relays.record(relay(2, true), at(100));
    let excluded = ["e-1".parse().unwrap()];
    assert_eq!(relays.choose(&excluded, 7, at(200)).unwrap().id.as_str(), "e-2");
    relays.record_failure(&"e-2".parse().unwrap());
    assert_eq!(relays.choose(&excluded, 7, at(200)), None);
    assert_eq!(relays.choose(&[], 7, at(200)).unwrap().id.as_str(), "e-1");
    assert_eq!(relays.choose(&[], 7, at(2_100)), None);
    relays.record(relay(2, true), at(2_100));
    assert_eq!(relays.choose(&[], 7, at(2_200)).unwrap().id.as_str(), "e-2");
}

proptest! {
    #[test]
    fn relays_are_bounded_and_chosen_evenly(
        count in 1_u16..30,
        ends in proptest::collection::vec(any::<bool>(), 1..200),
    ) {
        let mut relays = Relays::default();
        (1..=count).for_each(|n| relays.record(relay(n, n % 3 == 0), at(100)));
        let known = relays.count_valid(at(100));
        prop_assert!(known <= MAX_RELAYS);
        let mut open: Vec<(crate::ids::InstanceId, u32)> = Vec::new();
        for (draw, end) in ends.iter().enumerate() {
            let id = relays.choose(&[], draw as u64, at(200)).unwrap().id.clone();
            let least = if open.len() < known { 0 } else { open.iter().map(|o| o.1).min().unwrap() };
            let slot = match open.iter().position(|o| o.0 == id) {
                Some(slot) => slot,
                None => { open.push((id.clone(), 0)); open.len() - 1 }
            };
            prop_assert_eq!(open[slot].1, least);
            if !end {
                relays.count(&id, true);
                open[slot].1 += 1;
            }
        }
    }

    #[test]
    fn service_reach_relays_only_if_no_target_answers_and_another_instance_does(
        asked in 0_usize..20, answered in 0_usize..20, others in 0_usize..20,
    ) {
        let answered = answered.min(asked);
        let check = ReachCheck { asked, answered, others, alone: false };
        let mut reach = ServiceReach::default();
        reach.record_check(&check, at(1_000));
        prop_assert_eq!(reach.is_cut_off(), asked > 0 && answered == 0 && others > 0);
        let mut cut = ServiceReach::default();
        cut.record_check(&CUT, at(1_000));
        cut.record_check(&check, at(2_000));
        prop_assert!(cut.is_cut_off() || answered > 0 || others == 0);
    }
}

#[test]
fn service_is_down_only_if_other_instances_say_so() {
    let outage = ReachCheck { others: 0, ..CUT };
    let mut reach = ServiceReach::default();
    reach.record_check(&ReachCheck { alone: true, ..outage }, at(1_000));
    reach.record_check(&CUT, at(1_500));
    assert!(!reach.is_down_since(at(0)));
    reach.record_check(&outage, at(2_000));
    assert!(reach.is_down_since(at(2_000)));
    assert!(!reach.is_down_since(at(2_001)));
}
