use {
    super::Split,
    crate::{clock::Time, manifest::Role},
    std::time::Duration,
};

/// Seconds that the mean of the use reaches back: longer than most gusts of one kind of work.
const MEAN_SPAN_S: f64 = 6.0;
/// Use of the busier role from which a change can pay: below it few requests wait.
const MIN_BUSY_UTILIZATION: f64 = 0.35;
/// By how much a change must lower the use of the busier role.
const MIN_UTILIZATION_GAIN: f64 = 0.06;
/// Highest use of the decoding engines that a change may lead to: streams slow down beyond it.
const MAX_DECODE_UTILIZATION: f64 = 0.55;
/// Time from the first work to the first change: a mean of less says little.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time for which a change must have seemed to pay.
const MIN_STEADY_TIME: Duration = Duration::from_secs(2);
/// Time after a change before one in the other direction: the mean has to settle, and engines
/// that go back and forth serve nobody.
const REVERSAL_DELAY: Duration = Duration::from_secs(20);
/// Engines that may be away at once, as a part of all.
const MAX_UNAVAILABLE_SHARE: f64 = 0.2;

/// How far the engines of each role are used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Utilization {
    /// Part of the time for which a prefilling engine has prompts to read.
    pub prefill: f64,
    /// Part of the decoding engines' slots that are taken.
    pub decode: f64,
}

impl Utilization {
    fn blend(self, other: Self, part: f64) -> Self {
        let mean = |a: f64, b: f64| a + (b - a) * part.min(1.0);
        Self { prefill: mean(self.prefill, other.prefill), decode: mean(self.decode, other.decode) }
    }

    /// The use of the same work with the engines split in another way.
    fn rescale(self, from: Split, to: Split) -> Self {
        let scale = |part: f64, from: usize, to: usize| part * from as f64 / to.max(1) as f64;
        Self {
            prefill: scale(self.prefill, from.prefill, to.prefill),
            decode: scale(self.decode, from.decode, to.decode),
        }
    }

    fn max_role(self) -> f64 {
        self.prefill.max(self.decode)
    }
}

/// Keeps the roles of a service's engines in balance with its work, by single changes.
///
/// It needs no rates: work that is spread over one engine more uses each of them less. The busier
/// role gets an engine if that lowers its use by more than a little for a while; a mix that swings
/// back within seconds moves nothing.
#[derive(Debug, Clone)]
pub struct RoleBalancer {
    mean: Utilization,
    /// When there was work for the first time.
    begun: Option<Time>,
    at: Time,
    toward: Option<(Role, Time)>,
    changed: Option<(Role, Time)>,
}

impl RoleBalancer {
    /// A balance that has seen nothing yet.
    pub fn new(now: Time) -> Self {
        Self { mean: Utilization::default(), begun: None, at: now, toward: None, changed: None }
    }

    /// The mean use.
    pub fn mean(&self) -> Utilization {
        self.mean
    }

    /// The role that one engine should change to now, if any, where `split` counts the engines
    /// by the role that they have or change to and `away` of them are changing.
    pub fn decide(
        &mut self,
        latest: Utilization,
        split: Split,
        away: usize,
        now: Time,
    ) -> Option<Role> {
        let passed = (now - self.at).as_secs_f64();
        self.at = now;
        if self.begun.is_none() && latest.max_role() > 0.0 {
            self.begun = Some(now);
        }
        // At first the mean of what there is: one that rises from nothing would mislead.
        let reach =
            self.begun.map_or(passed, |t| (now - t).as_secs_f64() + passed).min(MEAN_SPAN_S);
        self.mean = self.mean.blend(latest, passed / reach.max(1e-3));
        let toward = self.better(split).filter(|role| self.may_turn(*role, now));
        let since = match (toward, self.toward) {
            (Some(role), Some((old, since))) if role == old => since,
            _ => now,
        };
        self.toward = toward.map(|role| (role, since));
        let role = toward?;
        let room = ((split.total() as f64 * MAX_UNAVAILABLE_SHARE) as usize).max(1);
        let early = self.begun.is_none_or(|t| now - t < WARM_UP);
        if early || now - since < MIN_STEADY_TIME || away >= room {
            return None;
        }
        self.mean = self.mean.rescale(split, split.with_change(role)?);
        self.changed = Some((role, now));
        Some(role)
    }

    /// The role that is worth another engine.
    fn better(&self, split: Split) -> Option<Role> {
        let worse = self.mean.max_role();
        let role = match self.mean.prefill > self.mean.decode {
            true => Role::Prefill,
            false => Role::Decode,
        };
        let after = self.mean.rescale(split, split.with_change(role)?);
        let full = role == Role::Prefill && after.decode > MAX_DECODE_UTILIZATION;
        (worse >= MIN_BUSY_UTILIZATION && worse - after.max_role() >= MIN_UTILIZATION_GAIN && !full)
            .then_some(role)
    }

    fn may_turn(&self, role: Role, now: Time) -> bool {
        self.changed.is_none_or(|(last, at)| last == role || now - at >= REVERSAL_DELAY)
    }
}
