use {
    super::{PerRole, ScaledTarget},
    crate::{manifest::Role, routes::ScalingConfig},
};

/// State of a service's targets on which the scaler decides.
#[derive(Debug, Clone, Copy)]
pub struct ScalingInput<'a> {
    /// Bounds and prices, with the zones in which targets are ordered.
    pub config: &'a ScalingConfig,
    /// Registered targets that are not leaving.
    pub targets: &'a [ScaledTarget<'a>],
    /// Whether the targets are engines, some of which prefill.
    pub engines: bool,
    /// Number of targets that the present work keeps busy.
    pub busy: PerRole<f64>,
    /// Number of prefilling engines whose memory holds the shared prefixes in use.
    pub caching: u32,
    /// Whether orders may be given now: the directory is known, and no earlier holder's call can be
    /// in flight.
    pub may_order: bool,
    /// Whether targets may be removed: most of the instances, and with them their work, are known.
    pub may_remove: bool,
}

/// Whether targets of a group are about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Removal {
    /// All of them stay.
    None,
    /// There are more than there shall be in the end.
    Expected,
    /// Some are ordered away and still registered.
    Ordered,
}

/// Number of targets needed, by role.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Need {
    /// For the present demand with bursts.
    pub now: PerRole<u32>,
    /// The largest of the last seconds.
    pub held: PerRole<u32>,
    /// Without any burst.
    pub least: PerRole<u32>,
}

/// Returns the number of targets that accept requests, by role.
pub fn serving(input: &ScalingInput) -> PerRole<u32> {
    let of =
        |role: Role| input.targets.iter().filter(|t| t.serving && t.role == role).count() as u32;
    PerRole { prefill: of(Role::Prefill), decode: of(Role::Decode) }
}
