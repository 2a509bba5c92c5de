use {
    super::{EngineReport, Entry, Holder},
    std::fmt,
};

/// What shows that the process that gave an order can't send it any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Proof {
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
    /// Tell the engine to hold with a greater number, then read again.
    Raise,
    /// Give the engine no order; it keeps serving in its role.
    Frozen(Frozen),
}

/// Why an engine is frozen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Frozen {
    /// A predecessor that may still send has an open order to it.
    Predecessor,
    /// This process's own order may still be on its way.
    Delivery,
}

impl fmt::Display for Frozen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Predecessor => "its last order may still be sent by an earlier holder",
            Self::Delivery => "its last order may still be on its way",
        })
    }
}

/// Decides about an open order from what its engine reports.
///
/// `fenced` says whether the engine refuses old fencing numbers.
pub fn resolve(
    entry: &Entry,
    fenced: bool,
    report: &EngineReport,
    me: &Holder,
    proof: Proof,
) -> Resolution {
    if fenced {
        // The engine refuses the order from now on, or has carried it out.
        return match report.fence >= entry.number && !report.changing {
            true => Resolution::Settled,
            false => Resolution::Raise,
        };
    }
    // One copy is ever sent, so a fulfilled order is a delivered one. An engine that restarted
    // may have come up in that state by itself.
    if report.boot == entry.boot && report.fulfils(&entry.order) {
        return Resolution::Settled;
    }
    let own = entry.by == *me;
    // A restart closed the connection that the order went out on. A predecessor may not have
    // opened its connection yet.
    if own && report.boot != entry.boot {
        return Resolution::Settled;
    }
    match (own, proof) {
        (false, Proof::Ended) if !report.changing => Resolution::Settled,
        (false, _) => Resolution::Frozen(Frozen::Predecessor),
        (true, _) => Resolution::Frozen(Frozen::Delivery),
    }
}
