use {
    super::*,
    crate::{
        clock::Time,
        ids::{Fingerprint, Incarnation, Revision},
        order::Holder,
        poison::Crash,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const KEY: &[u8] = b"0123456789abcdef";
const TIMING: DetectorTiming = DetectorTiming { interval: Duration::from_millis(100) };

fn info(name: &str) -> MemberInfo {
    MemberInfo {
        id: name.parse().unwrap(),
        start: Incarnation(1),
        refutations: 0,
        address: "127.0.0.1:1".parse().unwrap(),
        region: "nl".parse().unwrap(),
        zone: "a".parse().unwrap(),
    }
}

fn envelope() -> Envelope {
    let from = Holder { instance: "a".parse().unwrap(), start: Incarnation(1) };
    let body = Message::Pull { have: Revision(3) };
    Envelope { from, to: None, number: 1, body }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn open_returns_the_error_of_each_fault() {
    let good = seal(&envelope(), KEY, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(open(&good, KEY, MAX_DATAGRAM_BYTES), Ok(envelope()));
    let mut future = good.clone();
    future[0] = PROTOCOL_VERSION + 1;
    let mut altered = good.clone();
    altered[3] ^= 1;
    let mut longer = good.clone();
    longer.push(0);
    let cases = [
        ("empty", vec![], FrameError::TooShort(0)),
        ("no body", vec![PROTOCOL_VERSION; 16], FrameError::TooShort(16)),
        ("future version", future, FrameError::UnsupportedVersion(2)),
        ("altered", altered, FrameError::Mac),
        ("longer", longer, FrameError::Mac),
        ("oversized", vec![PROTOCOL_VERSION; 1_401], FrameError::TooLarge(1_401)),
    ];
    for (name, bytes, want) in cases {
        assert_eq!(open(&bytes, KEY, MAX_DATAGRAM_BYTES), Err(want), "{name}");
    }
    assert_eq!(open(&good, b"another key here", MAX_DATAGRAM_BYTES), Err(FrameError::Mac));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn open_refuses_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(open(&bytes, KEY, MAX_DATAGRAM_BYTES).is_err());
    }

    #[test]
    fn open_refuses_any_flipped_bit(byte in 0usize..1_000, bit in 0u8..8) {
        let mut frame = seal(&envelope(), KEY, MAX_DATAGRAM_BYTES).unwrap();
        let byte = byte % frame.len();
        frame[byte] ^= 1 << bit;
        prop_assert!(open(&frame, KEY, MAX_DATAGRAM_BYTES).is_err());
    }

    #[test]
    fn replay_window_accepts_each_number_once(numbers in proptest::collection::vec(0u64..200, 1..300)) {
        let mut window = ReplayWindow::default();
        let mut accepted = std::collections::HashSet::new();
        for number in numbers {
            if window.accept(Incarnation(1), number) {
                prop_assert!(accepted.insert(number), "{} accepted twice", number);
            }
        }
    }
}

#[test]
fn next_heartbeats_declares_a_silent_member_suspect_then_dead() {
    let mut view = MemberView::new(info("a"), TIMING);
    view.record_heartbeat(&info("b"), at(0));
    let mut states = Vec::new();
    for t in 1..20 {
        view.next_heartbeats(3, at(t * 100));
        states.push(view.member(&"b".parse().unwrap()).unwrap().state);
    }
    assert_eq!(states[3], MemberState::Alive);
    assert_eq!(states[5], MemberState::Suspect);
    assert_eq!(*states.last().unwrap(), MemberState::Dead);
}

#[test]
fn apply_refutes_a_suspicion_of_the_own_instance() {
    let mut view = MemberView::new(info("a"), TIMING);
    view.apply(&info("a"), MemberState::Suspect, at(0));
    assert_eq!(view.me().refutations, 1);
    let mut other = MemberView::new(info("b"), TIMING);
    other.apply(&info("a"), MemberState::Alive, at(0));
    other.apply(&info("a"), MemberState::Suspect, at(0));
    other.apply(&info("a"), MemberState::Alive, at(1));
    assert_eq!(other.member(&"a".parse().unwrap()).unwrap().state, MemberState::Suspect);
    other.apply(view.me(), MemberState::Alive, at(2));
    assert_eq!(other.member(&"a".parse().unwrap()).unwrap().state, MemberState::Alive);
}

#[test]
fn apply_ignores_updates_about_an_earlier_start() {
    let mut view = MemberView::new(info("a"), TIMING);
    let restarted = MemberInfo { start: Incarnation(2), ..info("b") };
    view.apply(&restarted, MemberState::Alive, at(0));
    view.apply(&MemberInfo { refutations: 9, ..info("b") }, MemberState::Dead, at(1));
    assert_eq!(view.member(&"b".parse().unwrap()).unwrap().state, MemberState::Alive);
}

#[test]
fn view_is_bounded_per_own_and_other_regions() {
    let mut view = MemberView::new(info("a"), TIMING);
    for i in 0..1_000 {
        let region = if i % 9 == 0 { "nl" } else { "no" };
        let other = MemberInfo { region: region.parse().unwrap(), ..info(&format!("n{i}")) };
        view.apply(&other, MemberState::Alive, at(0));
    }
    assert_eq!(view.members().count(), MAX_REGION_MEMBERS + MAX_REMOTE_MEMBERS);
    let own_region = view.members().filter(|m| m.info.region.as_str() == "nl").count();
    assert_eq!(own_region, MAX_REGION_MEMBERS);
}

#[test]
fn rank_for_gives_exactly_one_instance_rank_zero() {
    let names = ["a", "b", "c", "d"];
    let firsts = names.iter().filter(|me| {
        let mut view = MemberView::new(info(me), TIMING);
        names.iter().filter(|n| n != me).for_each(|n| view.record_heartbeat(&info(n), at(0)));
        view.rank_for("cell-1", &"nl".parse().unwrap()) == 0
    });
    assert_eq!(firsts.count(), 1);
}

#[test]
fn take_updates_returns_an_update_a_bounded_number_of_times() {
    let mut view = MemberView::new(info("a"), TIMING);
    view.record_heartbeat(&info("b"), at(0));
    let sent: usize = (0..100).map(|_| view.take_updates(4).len()).sum();
    assert_eq!(sent, 12);
}

/// Exchanges heartbeats and updates between the views for `periods`; messages arrive where `linked`
/// returns true.
fn gossip(
    views: &mut [MemberView],
    periods: std::ops::Range<u64>,
    linked: impl Fn(usize, usize) -> bool,
) {
    for period in periods {
        let now = at(period * 100);
        for from in 0..views.len() {
            for target in views[from].next_heartbeats(2, now) {
                let to: usize = target.id.as_str()[1..].parse().unwrap();
                if !linked(from, to) {
                    continue;
                }
                for (a, b) in [(from, to), (to, from)] {
                    let (me, updates) = (views[a].me().clone(), views[a].take_updates(6));
                    views[b].record_heartbeat(&me, now);
                    for update in updates {
                        if let Update::Member { info, state } = update {
                            views[b].apply(&info, state, now);
                        }
                    }
                }
            }
        }
    }
}

fn count_alive(view: &MemberView) -> usize {
    view.members().filter(|m| m.state == MemberState::Alive).count()
}

#[test]
fn views_recover_all_members_after_a_partition() {
    let mut views: Vec<MemberView> =
        (0..12).map(|i| MemberView::new(info(&format!("n{i}")), TIMING)).collect();
    for (i, view) in views.iter_mut().enumerate() {
        view.apply(&info(&format!("n{}", (i + 1) % 12)), MemberState::Alive, at(0));
    }
    gossip(&mut views, 0..100, |_, _| true);
    assert!(views.iter().all(|v| count_alive(v) == 11), "every instance is found by gossip");
    gossip(&mut views, 100..300, |a, b| a % 2 == b % 2);
    assert!(
        views.iter().all(|v| count_alive(v) == 5),
        "the other side of the partition is not alive"
    );
    gossip(&mut views, 300..600, |_, _| true);
    let recovered: Vec<usize> = views.iter().map(count_alive).collect();
    assert_eq!(recovered, [11; 12]);
}

#[test]
fn fleet_size_is_the_greatest_of_list_and_view_for_a_while() {
    let mut view = MemberView::new(info("me"), TIMING);
    assert_eq!(view.fleet_size(at(5_000)), None, "the list is not known");
    view.record_listed(1, at(100));
    assert_eq!(view.fleet_size(at(500)), None, "others may still be starting");
    assert_eq!(view.fleet_size(at(1_000)), Some(1));
    view.record_listed(200, at(2_000));
    view.record_listed(3, at(3_000));
    assert_eq!(view.fleet_size(at(4_000)), Some(200));
    view.record_listed(2, at(23_500));
    assert_eq!(view.fleet_size(at(23_500)), Some(2));
    (0..4).for_each(|i| view.apply(&info(&format!("n{i}")), MemberState::Alive, at(24_000)));
    view.next_heartbeats(0, at(24_000));
    assert_eq!(view.fleet_size(at(24_000)), Some(5));
}

#[test]
fn update_that_was_never_sent_is_kept_when_too_many_wait() {
    let leaving = |i: usize| Update::Leaving {
        engine: format!("e{i}").parse().unwrap(),
        boot: Incarnation(1),
    };
    let mut view = MemberView::new(info("me"), TIMING);
    (0..64).for_each(|i| view.queue_update(leaving(i)));
    view.take_updates(64);
    let crash = Crash { engine: "e".parse().unwrap(), boot: Incarnation(1) };
    let news = Update::Crashed { subject: Fingerprint(1).into(), crash };
    view.queue_update(news.clone());
    view.take_updates(0);
    (64..100).for_each(|i| view.queue_update(leaving(i)));
    assert!(view.take_updates(64).contains(&news));
    assert_eq!(view.dropped_updates(), 37);
}

#[test]
fn duty_holder_is_the_same_in_all_complete_views() {
    let names = ["a", "b", "c", "d", "e"];
    let region = info("a").region;
    let holders: Vec<MemberInfo> = names
        .iter()
        .map(|me| {
            let mut view = MemberView::new(info(me), TIMING);
            names.iter().for_each(|n| view.apply(&info(n), MemberState::Alive, at(0)));
            view.duty_holder("i-1", &region).unwrap().clone()
        })
        .collect();
    assert!(holders.iter().all(|h| *h == holders[0]));
    let other = "uk".parse().unwrap();
    assert_eq!(MemberView::new(info("a"), TIMING).duty_holder("i-1", &other), None);
}

#[test]
fn held_share_needs_half_of_the_instances() {
    let mut view = MemberView::new(info("me"), TIMING);
    assert_eq!(view.held_share(at(5_000)), None, "the number of instances is not known");
    view.record_listed(6, at(5_000));
    assert_eq!(view.held_share(at(5_000)), None);
    for (i, expected) in
        [None, None, Some(4.0 / 6.0), Some(5.0 / 6.0), Some(1.0)].iter().enumerate()
    {
        view.apply(&info(&format!("n{i}")), MemberState::Alive, at(5_000));
        assert_eq!(view.held_share(at(5_000)), *expected, "{} in view", i + 2);
    }
    view.record_listed(600, at(6_000));
    assert_eq!(view.held_share(at(6_000)), None, "far from a full view");
    (0..40).for_each(|i| view.apply(&info(&format!("m{i}")), MemberState::Alive, at(6_000)));
    assert_eq!(view.held_share(at(6_000)), Some(46.0 / 600.0));
}

/// Views of the instances of the first of `zones` availability zones, which have heard of all others.
fn views_of_zone(instances: usize, zones: usize) -> Vec<MemberView> {
    let all: Vec<MemberInfo> = (0..instances)
        .map(|i| MemberInfo {
            zone: format!("z{}", i % zones).parse().unwrap(),
            ..info(&format!("n{i}"))
        })
        .collect();
    let view = |i: usize| {
        let mut view = MemberView::new(all[i].clone(), TIMING);
        // In another order for each, as they become known.
        (1..instances).for_each(|step| {
            view.record_heartbeat(&all[(i + step * 7) % instances], at(0));
        });
        view
    };
    (0..instances).step_by(zones).map(view).collect()
}

#[test]
fn rank_in_zone_gives_one_watcher_that_knows_its_whole_zone() {
    let mut views = views_of_zone(295, 6);
    for killed in [0, 3] {
        // Those that are known to be dead no longer count.
        for _ in 0..killed {
            let watchers: Vec<MemberInfo> = views
                .iter()
                .filter(|v| v.rank_in_zone("targets") == 0)
                .map(|v| v.me().clone())
                .collect();
            views.retain(|v| !watchers.iter().any(|w| w.id == v.me().id));
            views.iter_mut().for_each(|view| {
                watchers.iter().for_each(|dead| view.apply(dead, MemberState::Dead, at(0)));
            });
        }
        let watchers: Vec<&MemberView> =
            views.iter().filter(|v| v.rank_in_zone("targets") == 0).collect();
        assert_eq!(watchers.len(), 1, "{killed} times without its watcher");
        for view in &views {
            let id = &view.me().id;
            let reached = watchers[0].me().id == *id || watchers[0].member(id).is_some();
            assert!(reached, "{id} gets no changes");
        }
    }
}

#[test]
fn full_view_keeps_room_for_other_zones() {
    for view in views_of_zone(120, 2) {
        let near = view.members().filter(|m| m.info.zone == view.me().zone).count();
        assert_eq!(near, MAX_ZONE_MEMBERS, "{}", view.me().id);
        assert_eq!(view.members().count(), MAX_REGION_MEMBERS);
    }
}
