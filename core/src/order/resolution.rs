use {
    super::{EngineReport, Entry, Holder, Stage},
    crate::ids::Incarnation,
    std::fmt,
};

/// What shows that the process that gave an order can't send it any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReleaseEvidence {
    /// Nothing does.
    None,
    /// It acknowledged over the mesh that it stepped down, or is gone from the instance list,
    /// and the longest delivery has passed since.
    Ended,
}

/// What follows for an open order once its engine has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Resolution {
    /// It can't have an effect any more that the report does not show.
    Settled,
    /// Enter in the ledger what was seen of the engine, and read it again later.
    Record(Stage, Incarnation),
    /// Tell the engine to hold with a greater number, then read again.
    SendHold,
    /// Give the engine no order; it keeps serving in its role.
    Frozen(FreezeReason),
}

/// Why an engine is frozen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FreezeReason {
    /// A predecessor that may still send has an open order to it.
    Predecessor,
    /// This process's own order may still be on its way.
    Delivery,
}

impl fmt::Display for FreezeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Predecessor => "its last order may still be sent by an earlier holder",
            Self::Delivery => "its last order may still be on its way",
        })
    }
}

/// Decides about an open order from what its engine reports.
///
/// `fenced` says whether the engine refuses old fencing numbers. An engine that counts the orders
/// that it accepts takes one only in place of the next: another after it makes it void.
pub fn resolve(
    entry: &Entry,
    fenced: bool,
    report: &EngineReport,
    me: &Holder,
    proof: ReleaseEvidence,
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
        // The engine refuses the order from now on, or has carried it out.
        return match report.fence >= entry.number && !report.changing {
            true => Resolution::Settled,
            false => Resolution::SendHold,
        };
    }
    let same = report.boot == entry.boot;
    // One copy is ever sent, so a fulfilled order is a delivered one. An engine that restarted
    // may have come up in that state by itself.
    if same && entry.stage != Stage::Moved && report.fulfils(&entry.order) {
        return Resolution::Settled;
    }
    match entry.stage {
        Stage::Settled => Resolution::Settled,
        // A restart since then closed the connection that the order went out on. A restart
        // before may have come before the connection was made.
        Stage::Sent | Stage::Moved if !same => Resolution::Settled,
        _ if entry.by != *me => match proof {
            ReleaseEvidence::Ended if !report.changing => Resolution::Settled,
            _ => Resolution::Frozen(FreezeReason::Predecessor),
        },
        Stage::Sent | Stage::Moved => Resolution::Frozen(FreezeReason::Delivery),
        // This process looks at open orders between attempts to send, never during one.
        Stage::Open if same => Resolution::Record(Stage::Sent, report.boot),
        Stage::Open => Resolution::Record(Stage::Moved, report.boot),
    }
}
