use {
    crate::{ids::Zone, manifest::Role},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// How a target is billed and whether the platform may take it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PriceKind {
    /// At full price; stays until it is ordered away.
    Ordinary,
    /// At a reduced price; the platform may reclaim it, all of a zone at once.
    Spot,
}

impl fmt::Display for PriceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ordinary => "ordinary",
            Self::Spot => "spot",
        })
    }
}

/// Number of targets of each kind in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCounts {
    /// Targets at full price.
    #[serde(default)]
    pub ordinary: u32,
    /// Targets that may be reclaimed.
    #[serde(default)]
    pub spot: u32,
}

impl KindCounts {
    /// Returns the number of targets of `kind`.
    pub fn of(self, kind: PriceKind) -> u32 {
        match kind {
            PriceKind::Ordinary => self.ordinary,
            PriceKind::Spot => self.spot,
        }
    }

    /// Returns the number of targets of `kind` for changes.
    pub fn of_mut(&mut self, kind: PriceKind) -> &mut u32 {
        match kind {
            PriceKind::Ordinary => &mut self.ordinary,
            PriceKind::Spot => &mut self.spot,
        }
    }

    /// Returns the number of targets of both kinds.
    pub fn total(self) -> u32 {
        self.ordinary + self.spot
    }
}

/// Number of targets of each kind in each zone.
pub type ZoneCounts = BTreeMap<Zone, KindCounts>;

/// Returns the number of targets in all zones.
pub fn total_count(counts: &ZoneCounts) -> u32 {
    counts.values().map(|c| c.total()).sum()
}

/// Targets whose number changes together: one kind in one zone.
pub type ScalingGroup = (Zone, PriceKind);

/// Order for the number of targets of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingOrder {
    /// Zone of the targets.
    pub zone: Zone,
    /// Kind of the targets.
    pub kind: PriceKind,
    /// Number ordered before.
    pub from: u32,
    /// Number that there shall be.
    pub to: u32,
    /// Reason, for the log.
    pub why: ScalingReason,
}

impl ScalingOrder {
    /// Returns the group whose number the order sets.
    pub fn group(&self) -> ScalingGroup {
        (self.zone.clone(), self.kind)
    }
}

/// Reason of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScalingReason {
    /// The targets at hand are too few for the load.
    Load,
    /// Spot targets are to replace ordinary ones.
    Price,
    /// There are more targets than the load needs.
    Surplus,
    /// The platform did not carry out the same order before.
    Refused,
    /// The directory still has another number of targets than ordered.
    Repeat,
    /// An earlier order with another number may have been carried out after this one.
    Confirm,
}

impl fmt::Display for ScalingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Load => "load",
            Self::Price => "price",
            Self::Surplus => "surplus",
            Self::Refused => "refused",
            Self::Repeat => "repeat",
            Self::Confirm => "confirm",
        })
    }
}

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScalingOutcome {
    /// The platform accepted it.
    Accepted,
    /// It was not sent, or the platform did not carry it out.
    Refused,
    /// The platform has no such targets at the moment, or has seen a higher fencing number.
    Conflict,
    /// No response arrived: it may be carried out, also later.
    Unknown,
}

/// A registered target that is not leaving.
#[derive(Debug, Clone, Copy)]
pub struct ScaledTarget<'a> {
    /// Zone in which it runs.
    pub zone: &'a Zone,
    /// Its kind.
    pub kind: PriceKind,
    /// Its role.
    pub role: Role,
    /// Whether it accepts requests now.
    pub serving: bool,
}

/// An amount for each role, such as the engines that the work of the moment keeps busy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PerRole<T> {
    /// Amount for prefilling engines; zero for plain services.
    pub prefill: T,
    /// Amount for decoding engines and targets of plain services.
    pub decode: T,
}

impl<T: Copy> PerRole<T> {
    /// Applies `f` to both amounts.
    pub fn map<U>(self, f: impl Fn(T) -> U) -> PerRole<U> {
        PerRole { prefill: f(self.prefill), decode: f(self.decode) }
    }

    /// Combines the amounts with those of `other`.
    pub fn zip<U: Copy, V>(self, other: PerRole<U>, f: impl Fn(T, U) -> V) -> PerRole<V> {
        PerRole { prefill: f(self.prefill, other.prefill), decode: f(self.decode, other.decode) }
    }
}

impl PerRole<u32> {
    /// Returns the sum of both amounts.
    pub fn total(self) -> u32 {
        self.prefill + self.decode
    }
}
