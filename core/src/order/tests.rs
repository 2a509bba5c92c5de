use {
    super::*,
    crate::{
        ids::{EngineId, Fence, Incarnation},
        manifest::Role,
    },
    std::collections::BTreeMap,
};

fn holder(name: &str) -> Holder {
    Holder { instance: name.parse().unwrap(), start: Incarnation(1) }
}

fn report(boot: u64, role: Role, fence: u64) -> EngineReport {
    EngineReport {
        boot: Incarnation(boot),
        role,
        changing: false,
        fence: Fence(fence),
        accepted: None,
        version: "1".parse().unwrap(),
        adapters: BTreeMap::new(),
    }
}

fn entry(by: &str) -> Entry {
    Entry {
        number: Fence(5),
        order: Order::Role(Role::Prefill),
        by: holder(by),
        boot: Incarnation(1),
        before: None,
        stage: Stage::Open,
    }
}

#[test]
fn resolve_without_order_counts() {
    use {
        super::FreezeReason::*,
        ReleaseEvidence::*,
        Resolution::{Frozen, Record, SendHold, Settled},
        Role::*,
    };
    let boot = Incarnation;
    // name, fenced, given by this process, stage, reported boot, role and fence, evidence, result
    let cases = [
        ("fenced, not seen", true, true, Stage::Open, 1, Decode, 4, None, SendHold),
        ("fenced, seen", true, true, Stage::Open, 1, Prefill, 5, None, Settled),
        ("fenced, newer seen", true, false, Stage::Open, 1, Decode, 9, None, Settled),
        ("fenced, restarted", true, false, Stage::Open, 2, Decode, 0, None, SendHold),
        ("own, done", false, true, Stage::Open, 1, Prefill, 0, None, Settled),
        (
            "own, not done",
            false,
            true,
            Stage::Open,
            1,
            Decode,
            0,
            None,
            Record(Stage::Sent, boot(1)),
        ),
        (
            "own, restarted",
            false,
            true,
            Stage::Open,
            2,
            Decode,
            0,
            None,
            Record(Stage::Restarted, boot(2)),
        ),
        ("own, in flight", false, true, Stage::Sent, 1, Decode, 0, None, Frozen(Delivery)),
        ("own, same role", false, true, Stage::Restarted, 1, Prefill, 0, None, Frozen(Delivery)),
        ("own, restarted since", false, true, Stage::Sent, 2, Decode, 0, None, Settled),
        ("other's, done", false, false, Stage::Open, 1, Prefill, 0, None, Settled),
        ("other's, not done", false, false, Stage::Open, 1, Decode, 0, None, Frozen(Predecessor)),
        ("other's, restarted", false, false, Stage::Open, 2, Prefill, 0, None, Frozen(Predecessor)),
        ("other's, restarted since", false, false, Stage::Sent, 2, Decode, 0, None, Settled),
        ("other's, with evidence", false, false, Stage::Open, 1, Decode, 0, Ended, Settled),
    ];
    for (name, fenced, own, stage, boot, role, fence, evidence, expected) in cases {
        let by = if own { "a" } else { "b" };
        let entry = Entry { stage, ..entry(by) };
        let got = resolve(&entry, fenced, &report(boot, role, fence), &holder("a"), evidence);
        assert_eq!(got, expected, "{name}");
    }
}

#[test]
fn restarted_stage_is_stored_as_moved() {
    assert_eq!(serde_json::to_string(&Stage::Restarted).unwrap(), "\"moved\"");
    assert_eq!(serde_json::from_str::<Stage>("\"moved\"").unwrap(), Stage::Restarted);
}

#[test]
fn open_refuses_an_order_before_the_last_is_settled() {
    let me = holder("a");
    let engine = "e".parse().unwrap();
    let mut ledger = Ledger::take_over(None, me.clone(), "w".parse().unwrap());
    let first =
        ledger.open(&me, &engine, Order::Role(Role::Prefill), Incarnation(1), None).unwrap();
    let second = ledger.open(&me, &engine, Order::Role(Role::Decode), Incarnation(1), None);
    assert_eq!(second, Err(OrderError::Unsettled { engine: engine.clone(), number: first }));
    ledger.settle(&engine, first);
    let next = ledger.open(&me, &engine, Order::Role(Role::Decode), Incarnation(1), None).unwrap();
    assert!(next > first);
}

#[test]
fn open_refuses_an_earlier_holder() {
    let mut ledger = Ledger::take_over(None, holder("a"), "w".parse().unwrap());
    ledger = Ledger::take_over(Some(&ledger), holder("b"), "x".parse().unwrap());
    let late = ledger.open(&holder("a"), &"e".parse().unwrap(), Order::Hold, Incarnation(1), None);
    assert_eq!(late, Err(OrderError::NotHolder(holder("b"))));
}

#[test]
fn resolve_with_order_counts() {
    use super::{FreezeReason::Delivery, Resolution::*};
    let me = holder("a");
    // name, accepted orders, boot, changing, result
    let cases = [
        ("may still arrive", 3, 1, false, SendHold),
        ("carried out", 4, 1, false, Settled),
        ("being carried out", 4, 1, true, Frozen(Delivery)),
        ("another order accepted first", 6, 1, false, Settled),
        ("restarted, count reset", 0, 2, false, Settled),
    ];
    for (name, accepted, boot, changing, expected) in cases {
        // An order of another holder needs no release evidence: the count makes it void.
        let entry = Entry { before: Some(3), ..entry("b") };
        let accepted = Some(accepted);
        let report = EngineReport { accepted, changing, ..report(boot, Role::Decode, 0) };
        assert_eq!(resolve(&entry, false, &report, &me, ReleaseEvidence::None), expected, "{name}");
    }
}

#[test]
fn remove_settled_removes_only_settled_orders_of_removed_engines() {
    let me = holder("a");
    let mut ledger = Ledger::take_over(None, me.clone(), "w".parse().unwrap());
    let (left, open): (EngineId, EngineId) = ("e".parse().unwrap(), "f".parse().unwrap());
    for engine in [&left, &open] {
        ledger.open(&me, engine, Order::Role(Role::Prefill), Incarnation(1), Some(0)).unwrap();
    }
    ledger.settle(&left, ledger.entries[&left].number);
    ledger.remove_settled(|_| false);
    assert_eq!(ledger.entries.len(), 2);
    ledger.remove_settled(|_| true);
    assert_eq!(ledger.entries.keys().collect::<Vec<_>>(), [&open], "open orders are kept");
}
