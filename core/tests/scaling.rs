//! Orders for targets in virtual time: a platform that boots, removes and reclaims targets.

mod platform;

use {
    lentil_core::{
        clock::Time,
        plan::{PriceKind, Scaler, ScalingOutcome, ScalingReason, ZoneCounts},
    },
    platform::{Platform, Work},
};

/// Time after which the number of targets stays the same: the need of the first seconds is known
/// less precisely, and is remembered for 30 s after the last of several removals.
const SETTLED_S: f64 = 100.0;

/// Work that varies as in the deployments: by 27% around the mean with a period of 12 s.
fn wave(prefill: f64, decode: f64) -> impl Fn(f64) -> Work {
    move |t| {
        let factor = 1.0 + 0.27 * (t * std::f64::consts::TAU / 12.0).sin();
        Work { prefill: prefill * factor, decode: decode * factor }
    }
}

#[test]
fn scaler_replaces_ordinary_targets_by_fewer_spot_targets_without_loss() {
    let mut platform = Platform::start(19);
    platform.run(70.0, wave(7.0, 4.0));
    assert_eq!(platform.overloaded, 0, "no moment with less than the work needs");
    assert!(platform.count(PriceKind::Ordinary) <= 15, "{:?}", platform.scaler.counts());
    assert!(platform.targets.len() <= 38, "{}", platform.targets.len());
    assert!(platform.cost < 0.75 * 57.0 * 70.0, "{}", platform.cost);
    // Guards against removal before the replacements serve.
    let first_removal = platform.orders.iter().position(|o| o.1.to < o.1.from).unwrap();
    let spot = platform.orders[..first_removal].iter().filter(|o| o.1.kind == PriceKind::Spot);
    assert_eq!(spot.count(), 3, "{:?}", platform.orders);
}

#[test]
fn scaler_does_not_oscillate_with_the_wave_or_noise() {
    let mut platform = Platform::start(19);
    let noise = |t: f64| 1.0 + 0.3 * ((t * 7.3).sin() * (t * 3.1).cos());
    let work = wave(7.0, 4.0);
    let noisy = |t| {
        let w = work(t);
        Work { prefill: w.prefill * noise(t), decode: w.decode * noise(t + 5.0) }
    };
    platform.run(SETTLED_S, noisy);
    let settled = platform.orders.len();
    platform.run(300.0, noisy);
    assert_eq!(platform.overloaded, 0);
    let later = &platform.orders[settled..];
    assert!(later.len() <= 4, "{later:?}");
    assert!(later.iter().all(|(_, o)| o.to <= o.from), "nothing is ordered back: {later:?}");
}

#[test]
fn scaler_absorbs_a_burst_and_keeps_what_it_needed() {
    let mut platform = Platform::start(19);
    let work = wave(7.0, 4.0);
    platform.run(SETTLED_S, &work);
    let settled = platform.orders.len();
    let burst = |t| {
        let w = work(t);
        let factor = if (110.0..118.0).contains(&t) { 1.9 } else { 1.0 };
        Work { prefill: w.prefill * factor, decode: w.decode * factor }
    };
    platform.run(130.0, burst);
    assert_eq!(platform.overloaded, 0);
    let later = &platform.orders[settled..];
    assert!(later.iter().all(|(_, o)| o.to >= o.from), "{later:?}");
}

#[test]
fn scaler_adds_targets_at_once_when_all_are_busy() {
    let mut platform = Platform::start(5);
    platform.run(30.0, |_| Work { prefill: 2.0, decode: 2.0 });
    platform.run(38.0, |_| Work { prefill: 9.0, decode: 9.0 });
    let added = platform.orders.iter().find(|(at, o)| *at > 30.0 && o.to > o.from).unwrap();
    assert!(added.0 < 33.0, "{added:?}");
    assert_eq!(added.1.why, ScalingReason::Load);
}

#[test]
fn scaler_replaces_the_spot_targets_of_a_reclaimed_zone_elsewhere() {
    let mut platform = Platform::start(19);
    platform.run(SETTLED_S, wave(7.0, 4.0));
    let lost = platform.reclaim("a");
    assert!(lost >= 4, "{lost}");
    let before = platform.orders.len();
    platform.run(SETTLED_S + 8.0, wave(7.0, 4.0));
    assert_eq!(platform.overloaded, 0, "the others serve meanwhile");
    let orders = &platform.orders[before..];
    let of_zone = |o: &&(f64, _)| {
        let o: &lentil_core::plan::ScalingOrder = &o.1;
        o.zone.as_str() == "a" && o.kind == PriceKind::Spot
    };
    assert_eq!(orders.iter().filter(of_zone).count(), 0, "{orders:?}");
    assert!(!orders.is_empty());
    let needed = platform.scaler.needed().total() as usize;
    assert!(platform.targets.len() >= needed, "{} of {needed}", platform.targets.len());
    platform.run(SETTLED_S + 70.0, wave(7.0, 4.0));
    let back =
        platform.orders.iter().any(|(at, o)| *at > SETTLED_S + 10.0 && o.zone.as_str() == "a");
    assert!(back, "the zone gets spot targets again");
    assert_eq!(platform.overloaded, 0);
    assert!(platform.targets.len() <= 40, "{}", platform.targets.len());
}

#[test]
fn scaler_uses_other_zones_while_one_has_no_spot_targets() {
    let mut platform = Platform::start(19);
    platform.unavailable = Some("b".parse().unwrap());
    platform.run(SETTLED_S, wave(7.0, 4.0));
    let refused: Vec<f64> = platform
        .orders
        .iter()
        .filter(|(_, o)| o.zone.as_str() == "b" && o.kind == PriceKind::Spot)
        .map(|(at, _)| *at)
        .collect();
    assert!((1..=5).contains(&refused.len()), "{refused:?}");
    assert!(refused.windows(2).all(|w| w[1] - w[0] >= 15.0), "{refused:?}");
    assert_eq!(platform.scaler.counts()[&"b".parse().unwrap()].spot, 0);
    assert!(platform.count(PriceKind::Spot) >= 12, "{:?}", platform.scaler.counts());
    assert_eq!(platform.overloaded, 0);
}

#[test]
fn scaler_ignores_a_slow_target() {
    let mut platform = Platform::start(19);
    platform.run(SETTLED_S, wave(7.0, 4.0));
    let settled = platform.orders.len();
    // One engine of each role has a queue all the time.
    let work = wave(7.0, 4.0);
    let slow = |t| {
        let w = work(t);
        let more = if (105.0..111.0).contains(&t) { 1.0 } else { 0.0 };
        Work { prefill: w.prefill + more, decode: w.decode + more }
    };
    platform.run(140.0, slow);
    assert!(platform.orders.len() <= settled + 1, "{:?}", &platform.orders[settled..]);
}

#[test]
fn scaler_orders_nothing_before_the_load_is_known() {
    let mut platform = Platform::start(19);
    platform.run(20.0, |_| Work { prefill: 0.0, decode: 0.0 });
    assert!(platform.orders.is_empty(), "an idle service keeps its targets");
    platform.run(25.0, wave(7.0, 4.0));
    assert!(platform.orders.is_empty(), "{:?}", platform.orders);
    platform.may_order = false;
    platform.run(60.0, wave(7.0, 4.0));
    assert!(platform.orders.is_empty(), "an earlier holder's call may be in flight");
}

/// Guards against removal by a holder that sees the work of few instances.
#[test]
fn scaler_adds_but_does_not_remove_while_most_instances_are_unknown() {
    let mut platform = Platform::start(5);
    platform.may_remove = false;
    platform.run(60.0, |_| Work { prefill: 1.0, decode: 1.0 });
    platform.run(80.0, |_| Work { prefill: 9.0, decode: 9.0 });
    assert!(platform.orders.iter().all(|(_, o)| o.to > o.from), "{:?}", platform.orders);
    assert!(platform.orders.iter().any(|(at, _)| *at > 60.0));
}

#[test]
fn scaler_repeats_an_order_until_the_directory_shows_it() {
    let mut platform = Platform::start(19);
    // Each call gets no response and has no effect.
    platform.lose = Some(false);
    platform.run(60.0, wave(7.0, 4.0));
    let first = platform.orders.first().unwrap().1.group();
    let times: Vec<f64> =
        platform.orders.iter().filter(|(_, o)| o.group() == first).map(|(at, _)| *at).collect();
    assert!(times.len() >= 3, "{times:?}");
    let gaps: Vec<f64> = times.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).all(|g| g[1] >= g[0]), "the pause grows: {gaps:?}");
    assert_eq!(platform.overloaded, 0);
}

#[test]
fn scaler_corrects_a_call_that_is_carried_out_late() {
    let mut platform = Platform::start(19);
    platform.run(SETTLED_S, wave(7.0, 4.0));
    // A lower number of an earlier call takes effect.
    let zone = "c".parse().unwrap();
    let ordered = platform.scaler.counts()[&zone];
    platform.set_count(&zone, PriceKind::Ordinary, ordered.ordinary - 2);
    platform.run(SETTLED_S + 12.0, wave(7.0, 4.0));
    let repeated = platform.orders.iter().any(|(at, o)| {
        *at > SETTLED_S
            && o.zone == zone
            && o.kind == PriceKind::Ordinary
            && o.to == ordered.ordinary
    });
    assert!(repeated, "{:?}", platform.orders);
    assert_eq!(platform.registered(&zone, PriceKind::Ordinary), ordered.ordinary);
    assert_eq!(platform.overloaded, 0);
}

#[test]
fn scaler_confirms_a_number_that_an_uncertain_call_may_replace() {
    let mut platform = Platform::start(19);
    platform.run(40.0, wave(7.0, 4.0));
    let (_, last) = platform.orders.last().unwrap().clone();
    let now = Time::from_secs_f64(40.0);
    let lower = lentil_core::plan::ScalingOrder { from: last.to, to: last.to - 1, ..last.clone() };
    platform.scaler.begin(&lower, now);
    platform.scaler.end(&lower, ScalingOutcome::Unknown, now);
    let higher = lentil_core::plan::ScalingOrder { from: lower.to, to: last.to, ..last.clone() };
    platform.scaler.begin(&higher, now);
    platform.scaler.end(&higher, ScalingOutcome::Accepted, now);
    platform.run(60.0, wave(7.0, 4.0));
    let confirmed = platform.orders.iter().find(|(_, o)| o.why == ScalingReason::Confirm);
    let (at, order) = confirmed.expect("the number is ordered once more");
    assert!(*at >= 48.0, "once the uncertain call can't be carried out any more");
    assert_eq!((order.group(), order.to), (last.group(), last.to));
}

#[test]
fn scaler_continues_from_the_numbers_of_its_predecessor() {
    let mut platform = Platform::start(19);
    platform.run(SETTLED_S, wave(7.0, 4.0));
    let (counts, orders) = (platform.scaler.counts().clone(), platform.orders.len());
    platform.scaler = Scaler::new(counts.clone(), Time::from_secs_f64(SETTLED_S));
    platform.run(SETTLED_S + 60.0, wave(7.0, 4.0));
    let later = &platform.orders[orders..];
    assert!(later.len() <= 2, "{later:?}");
    assert_eq!(platform.overloaded, 0);
}

#[test]
fn scaler_respects_the_bounds_of_each_zone() {
    let mut platform = Platform::start(19);
    (platform.config.min, platform.config.max) = (12, 20);
    platform.run(120.0, |_| Work { prefill: 2.0, decode: 2.0 });
    platform.run(240.0, |_| Work { prefill: 60.0, decode: 60.0 });
    let mut counts = ZoneCounts::new();
    for (_, order) in &platform.orders {
        let zone = counts
            .entry(order.zone.clone())
            .or_insert(lentil_core::plan::KindCounts { ordinary: 19, spot: 0 });
        *zone.of_mut(order.kind) = order.to;
        assert!((12..=20).contains(&zone.total()), "{order:?}: {zone:?}");
    }
    assert!(platform.targets.len() == 60, "{}", platform.targets.len());
}

#[test]
fn scaler_without_spot_targets_removes_ordinary_ones_only() {
    let mut platform = Platform::start(19);
    platform.config.spot = None;
    platform.run(SETTLED_S, wave(7.0, 4.0));
    assert_eq!(platform.count(PriceKind::Spot), 0);
    assert!(platform.targets.len() <= 38, "{}", platform.targets.len());
    assert_eq!(platform.overloaded, 0);
}

/// Guards against a removal that waits for a role change, which waits for the removal.
#[test]
fn scaler_ends_a_shortage_of_a_role_although_all_targets_may_be_removed() {
    let mut platform = Platform::start(19);
    platform.config.spot = None;
    platform.set_roles(6);
    platform.run(90.0, wave(4.0, 4.0));
    let (need, split) = (platform.scaler.needed(), platform.split());
    assert!(split.prefill >= need.prefill && split.decode >= need.decode, "{split:?} {need:?}");
    assert!(platform.targets.len() <= 35, "{}", platform.targets.len());
    assert_eq!(platform.overloaded, 0);
}

#[test]
fn scaler_keeps_the_split_of_roles() {
    let mut platform = Platform::start(19);
    // The platform registers all new targets as decoding ones.
    platform.new_role = Some(lentil_core::manifest::Role::Decode);
    platform.run(100.0, wave(9.0, 3.0));
    let need = platform.scaler.needed();
    let split = platform.split();
    assert!(split.prefill >= need.prefill && split.decode >= need.decode, "{split:?} {need:?}");
    assert_eq!(platform.overloaded, 0);
    assert_eq!(platform.wasted_changes, 0, "a role change of a target that was then removed");
}
