use {super::*, lentil_core::fleet::TargetChange};

fn batch(from: u64, to: u64, gone: usize) -> TargetBatch {
    let change = |i: usize| TargetChange::Gone(format!("e{i}").parse().unwrap());
    TargetBatch { from: Revision(from), to: Revision(to), changes: (0..gone).map(change).collect() }
}

fn recorded(batches: &[TargetBatch]) -> Vec<(u64, u64)> {
    let mut relay = ChangeRelay::default();
    batches.iter().for_each(|b| relay.record(b.clone()));
    relay.recent.iter().map(|b| (b.from.0, b.to.0)).collect()
}

#[test]
fn record_keeps_the_latest_contiguous_batches() {
    let contiguous: Vec<TargetBatch> = (0..6).map(|i| batch(i, i + 1, 1)).collect();
    assert_eq!(recorded(&contiguous), [(2, 3), (3, 4), (4, 5), (5, 6)]);
    assert_eq!(recorded(&[batch(1, 2, 1), batch(5, 6, 1)]), [(5, 6)], "a gap between them");
}

#[test]
fn record_drops_batches_that_exceed_a_datagram() {
    assert_eq!(recorded(&[batch(1, 2, MAX_CHANGES), batch(2, 3, 1)]), [(2, 3)]);
    assert_eq!(recorded(&[batch(1, 2, MAX_CHANGES + 1)]), []);
}

#[test]
fn batches_after_skips_known_batches_and_detects_gaps() {
    let batches = [batch(3, 5, 1), batch(5, 8, 1)];
    let from = |at: u64| batches_after(&batches, Revision(at)).map(<[TargetBatch]>::len);
    assert_eq!((from(2), from(3), from(4), from(5)), (None, Some(2), Some(2), Some(1)));
    assert_eq!(
        (from(8), from(9)),
        (Some(0), None),
        "already known; revision newer than the batches"
    );
    assert_eq!(batches_after(&[], Revision(1)), None);
}
