use {
    super::Split,
    crate::{clock::Time, manifest::Role},
    std::time::Duration,
};

/// Time constant of the average utilization: longer than most bursts of one kind of work.
const MEAN_SPAN_S: f64 = 6.0;
/// Utilization of the busier role from which a change can pay off: below it few requests wait.
const MIN_BUSY_UTILIZATION: f64 = 0.35;
/// Least amount by which a change must lower the utilization of the busier role.
const MIN_UTILIZATION_GAIN: f64 = 0.06;
/// Highest utilization of the decoding engines that a change may lead to: streams slow down
/// beyond it.
const MAX_DECODE_UTILIZATION: f64 = 0.55;
/// Time from the first work to the first change: an average over less time is unreliable.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time for which a change must have been worthwhile before it is made.
const MIN_STEADY_TIME: Duration = Duration::from_secs(2);
/// Time after a change before one in the opposite direction: the average has to settle, and an
/// engine serves no requests while it changes back and forth.
const REVERSAL_DELAY: Duration = Duration::from_secs(20);
/// Fewest decoding engines if there are others: with a single one, the service stops for seconds when
/// that one leaves.
pub const MIN_DECODING: usize = 2;
/// Share of the engines that may be out of service for a role change at the same time.
const MAX_UNAVAILABLE_SHARE: f64 = 0.2;

/// Utilization of the engines of each role.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Utilization {
    /// Share of the time for which a prefilling engine has prompts to prefill.
    pub prefill: f64,
    /// Share of the decoding engines' slots that are in use.
    pub decode: f64,
}

impl Utilization {
    fn blend(self, other: Self, weight: f64) -> Self {
        let mean = |a: f64, b: f64| a + (b - a) * weight.min(1.0);
        Self { prefill: mean(self.prefill, other.prefill), decode: mean(self.decode, other.decode) }
    }

    /// Returns the utilization that the same work causes after a change of the split.
    fn rescale(self, from: Split, to: Split) -> Self {
        let scale = |used: f64, from: usize, to: usize| used * from as f64 / to.max(1) as f64;
        Self {
            prefill: scale(self.prefill, from.prefill, to.prefill),
            decode: scale(self.decode, from.decode, to.decode),
        }
    }

    fn max_role(self) -> f64 {
        self.prefill.max(self.decode)
    }
}

/// Balances the roles of a service's engines with its work, by single role changes.
///
/// The balancer needs no engine rates: the same work spread over one more engine lowers the
/// utilization of each. It gives the busier role another engine if that lowers its utilization by
/// more than a little for some time. A mix that swings back within seconds causes no change.
///
/// A service needs decoding engines to answer at all: below [`MIN_DECODING`] one is changed at once.
#[derive(Debug, Clone)]
pub struct RoleBalancer {
    mean: Utilization,
    /// When the engines had work for the first time.
    started: Option<Time>,
    updated_at: Time,
    /// The role that is worth another engine, and since when.
    wanted: Option<(Role, Time)>,
    /// The latest change and its time.
    last_change: Option<(Role, Time)>,
}

impl RoleBalancer {
    /// Creates a balancer without any recorded utilization.
    pub fn new(now: Time) -> Self {
        Self {
            mean: Utilization::default(),
            started: None,
            updated_at: now,
            wanted: None,
            last_change: None,
        }
    }

    /// Returns the average utilization over the last seconds.
    pub fn mean(&self) -> Utilization {
        self.mean
    }

    /// Records the `latest` utilization and returns the role that one engine should change to now,
    /// if any.
    ///
    /// `split` counts the engines by the role that they have or are changing to; `unavailable` of
    /// them are changing.
    pub fn decide(
        &mut self,
        latest: Utilization,
        split: Split,
        unavailable: usize,
        now: Time,
    ) -> Option<Role> {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.updated_at = now;
        if self.started.is_none() && latest.max_role() > 0.0 {
            self.started = Some(now);
        }
        // Early on, the average spans only the time since the first work: an average that rises
        // from zero would be too low.
        let span =
            self.started.map_or(elapsed, |t| (now - t).as_secs_f64() + elapsed).min(MEAN_SPAN_S);
        self.mean = self.mean.blend(latest, elapsed / span.max(1e-3));
        if split.decode < MIN_DECODING && (split.decode == 0 || split.prefill > 1) {
            // Without decoding engines requests are refused rather than sent, so the utilization
            // shows no work.
            let extends = split.prefill > 0;
            self.last_change = extends.then_some((Role::Decode, now)).or(self.last_change);
            return extends.then_some(Role::Decode);
        }
        let wanted = self.role_to_extend(split).filter(|role| self.change_allowed(*role, now));
        let since = match (wanted, self.wanted) {
            (Some(role), Some((old, since))) if role == old => since,
            _ => now,
        };
        self.wanted = wanted.map(|role| (role, since));
        let role = wanted?;
        let max_unavailable = ((split.total() as f64 * MAX_UNAVAILABLE_SHARE) as usize).max(1);
        let warming_up = self.started.is_none_or(|t| now - t < WARM_UP);
        if warming_up || now - since < MIN_STEADY_TIME || unavailable >= max_unavailable {
            return None;
        }
        self.mean = self.mean.rescale(split, split.with_change(role)?);
        self.last_change = Some((role, now));
        Some(role)
    }

    /// Returns whether an engine may change to `role` now: the last change in the opposite direction is
    /// long enough ago.
    pub fn allows(&self, role: Role, now: Time) -> bool {
        self.change_allowed(role, now)
    }

    /// Records a change that was decided elsewhere.
    pub fn record_change(&mut self, role: Role, now: Time) {
        self.last_change = Some((role, now));
    }

    /// Returns the role for which another engine is worthwhile.
    fn role_to_extend(&self, split: Split) -> Option<Role> {
        let busier = self.mean.max_role();
        let role = match self.mean.prefill > self.mean.decode {
            true => Role::Prefill,
            false => Role::Decode,
        };
        let after = self.mean.rescale(split, split.with_change(role)?);
        let to_prefill = role == Role::Prefill;
        let too_few = to_prefill && split.decode <= MIN_DECODING;
        let decode_full = to_prefill && after.decode > MAX_DECODE_UTILIZATION;
        (busier >= MIN_BUSY_UTILIZATION
            && busier - after.max_role() >= MIN_UTILIZATION_GAIN
            && !(too_few || decode_full))
            .then_some(role)
    }

    fn change_allowed(&self, role: Role, now: Time) -> bool {
        self.last_change.is_none_or(|(last, at)| last == role || now - at >= REVERSAL_DELAY)
    }
}
