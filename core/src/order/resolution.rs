use {
    super::{EngineReport, Entry, Holder, Stage},
    crate::ids::Incarnation,
    std::fmt,
};

/// Evidence that the process that gave an order can no longer send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReleaseEvidence {
    /// No evidence.
    None,
    /// The process acknowledged over the mesh that it stepped down, or it left the instance list,
    /// and the longest possible delivery time has passed since then.
    Ended,
}

/// Next step for an open order, decided from a report of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Resolution {
    /// The order can have no effect any more that the report does not show.
    Settled,
    /// Record this stage and incarnation in the ledger, and read the engine again later.
    Record(Stage, Incarnation),
    /// Send the engine a hold with a greater fencing number, or the same order again if the engine
    /// counts orders, then read it again.
    SendHold,
    /// Send the engine no order; it keeps serving in its role.
    Frozen(FreezeReason),
}

/// Reason why an engine gets no orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FreezeReason {
    /// An earlier holder has an open order to the engine and may still send it.
    Predecessor,
    /// An order of this process may still be in flight.
    Delivery,
}

impl fmt::Display for FreezeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Predecessor => "the last order to it may still be sent by an earlier holder",
            Self::Delivery => "the last order to it may still be in flight",
        })
    }
}

/// Decides the next step for an open order from the report of its engine.
///
/// `fenced` says whether the engine refuses fencing numbers lower than the greatest it has seen. An
/// engine that counts accepted orders accepts an order only if its count still equals
/// [`Entry::before`], so any order accepted since then makes this one void.
pub fn resolve(
    entry: &Entry,
    fenced: bool,
    report: &EngineReport,
    me: &Holder,
    evidence: ReleaseEvidence,
) -> Resolution {
    if let Some((before, accepted)) = entry.before.zip(report.accepted) {
        let void = report.boot != entry.boot || accepted > before;
        return match report.changing {
            true => Resolution::Frozen(FreezeReason::Delivery),
            false if void => Resolution::Settled,
            false => Resolution::SendHold,
        };
    }
    if fenced {
        // An engine that has seen this number or a greater one has carried out the order or refuses
        // it from now on.
        return match report.fence >= entry.number && !report.changing {
            true => Resolution::Settled,
            false => Resolution::SendHold,
        };
    }
    let same_boot = report.boot == entry.boot;
    // An order is sent only once, so one whose state is reached has been delivered. This does not
    // hold after a restart: the engine may have started in that state.
    if same_boot && entry.stage != Stage::Restarted && report.fulfils(&entry.order) {
        return Resolution::Settled;
    }
    match entry.stage {
        Stage::Settled => Resolution::Settled,
        // A restart after the attempt to send closed the order's connection. For an open order
        // this is not certain: the restart may have preceded the connection.
        Stage::Sent | Stage::Restarted if !same_boot => Resolution::Settled,
        _ if entry.by != *me => match evidence {
            ReleaseEvidence::Ended if !report.changing => Resolution::Settled,
            _ => Resolution::Frozen(FreezeReason::Predecessor),
        },
        Stage::Sent | Stage::Restarted => Resolution::Frozen(FreezeReason::Delivery),
        // This process resolves open orders only between its attempts to send, never during one.
        Stage::Open if same_boot => Resolution::Record(Stage::Sent, report.boot),
        Stage::Open => Resolution::Record(Stage::Restarted, report.boot),
    }
}
