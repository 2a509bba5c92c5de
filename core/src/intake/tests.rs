use {super::*, crate::clock::Time};

fn at(seconds: f64) -> Time {
    Time::from_secs_f64(100.0 + seconds)
}

#[test]
fn shares_sum_is_within_the_memory() {
    for memory in [120.0, 160.0, 260.0, 400.0, 512.0] {
        let shares = IntakeShares::new(Megabytes(memory), 3_075);
        // A buffer that grows holds up to twice the bytes of its answer.
        let answers = 2 * (shares.answers + shares.relayed);
        let connections = shares.callers.bytes + shares.relays.bytes + 2 * shares.probes.bytes;
        let sum = shares.bodies + answers + connections;
        assert!(sum as f64 <= memory * 1e6 * 0.8, "{sum} of {memory} MB");
        let largest = 4 << 20;
        assert!(BodyBudget::new(shares.bodies, shares.small).fits(0, largest));
    }
}

#[test]
fn shares_leave_sockets_for_targets() {
    for descriptors in [400, 1_024, 3_075, 10_250] {
        let shares = IntakeShares::new(Megabytes(120.0), descriptors);
        let all = shares.callers.count + shares.relays.count + 2 * shares.probes.count;
        assert!(all as u64 * 3 < descriptors * 2, "{all} of {descriptors}");
    }
}

#[test]
fn yielding_body_is_not_the_one_that_progresses() {
    let mut arrivals = Arrivals::default();
    let (stalled, slow, new) =
        (arrivals.begin(at(0.0)), arrivals.begin(at(0.0)), arrivals.begin(at(4.0)));
    arrivals.record(stalled, 4 << 20, 4 << 20, at(0.1));
    for tenth in 1..40 {
        arrivals.record(slow, 16 << 10, 16 << 10, at(f64::from(tenth) / 10.0));
    }
    assert_eq!(arrivals.yielding(new, at(4.0)), Some(stalled));
    arrivals.end(stalled);
    assert_eq!(arrivals.yielding(new, at(4.0)), None);
}

#[test]
fn yielding_body_may_send_single_bytes() {
    let mut arrivals = Arrivals::default();
    let (drip, new) = (arrivals.begin(at(0.0)), arrivals.begin(at(1.0)));
    for tenth in 0..10 {
        arrivals.record(drip, 1, 1_024, at(f64::from(tenth) / 10.0));
    }
    assert_eq!(arrivals.yielding(new, at(1.0)), Some(drip));
}

#[test]
fn stalled_body_is_given_up_sooner_while_stopping() {
    let mut arrivals = Arrivals::default();
    let id = arrivals.begin(at(0.0));
    assert!(arrivals.stalled(false, at(9.0)).is_empty());
    assert_eq!(arrivals.stalled(true, at(1.0)), [id]);
    assert_eq!(arrivals.stalled(false, at(10.0)), [id]);
}
