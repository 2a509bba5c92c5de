use {
    super::PerRole,
    crate::clock::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Time constant of the slow average: two periods of the demand, so that it stays nearly constant
/// over a period.
const SLOW_SPAN_S: f64 = 24.0;
/// Time constant of the fast average, which shows peaks but not single requests.
const FAST_SPAN_S: f64 = 1.0;
/// Time from the first work until the need is known: an average over less time is unreliable.
const WARM_UP: Duration = Duration::from_secs(6);
/// Time from the first work until a whole period of the demand has been seen. Before it, the need may
/// be that of a trough.
const FULL_PERIOD: Duration = Duration::from_secs(12);
/// Ratio of a burst to the mean, for which there must be room at any time: a target that is ordered
/// when a burst begins serves only when most bursts are over.
const BURST_FACTOR: f64 = 1.9;
/// Share of a group of targets that may be busy in a burst, so that queues stay short although some
/// targets are slow for seconds.
const BURST_UTILIZATION: f64 = 0.65;
/// Share of a group of targets that may be busy for a second.
const PEAK_UTILIZATION: f64 = 0.8;
/// Ratio of the cycle's peak to the mean, for which there must be room after the loss of all spot
/// targets of a zone.
const CYCLE_FACTOR: f64 = 1.27;
/// Time for which a need is remembered: two periods of the demand and some more. Targets that were
/// needed within it are kept.
const HOLD: Duration = Duration::from_secs(30);
/// Interval between two remembered needs.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the work of a service's targets, in targets that it keeps busy, and derives how many are
/// needed in each role.
#[derive(Debug, Clone)]
pub struct LoadMeter {
    slow: PerRole<f64>,
    fast: PerRole<f64>,
    /// When there was work for the first time.
    started: Option<Time>,
    updated_at: Time,
    /// Needs, and the part of them that is not room for bursts.
    samples: VecDeque<(Time, [PerRole<u32>; 2])>,
}

impl LoadMeter {
    /// Creates a meter without any recorded work.
    pub fn new(now: Time) -> Self {
        Self {
            slow: PerRole::default(),
            fast: PerRole::default(),
            started: None,
            updated_at: now,
            samples: VecDeque::new(),
        }
    }

    /// Records the number of targets that are busy in each role at `now`.
    pub fn record(&mut self, busy: PerRole<f64>, now: Time) {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.updated_at = now;
        if self.started.is_none() && busy.prefill.max(busy.decode) > 0.0 {
            self.started = Some(now);
        }
        let Some(started) = self.started else { return };
        // Early on, the averages span only the time since the first work: one that rises from zero
        // would be too low.
        let age = (now - started).as_secs_f64() + elapsed;
        let blend = |mean: PerRole<f64>, span: f64| {
            let weight = (elapsed / age.min(span).max(1e-3)).min(1.0);
            mean.zip(busy, |m, b| m + (b - m) * weight)
        };
        self.slow = blend(self.slow, SLOW_SPAN_S);
        self.fast = blend(self.fast, FAST_SPAN_S);
        if !self.warming_up(now) {
            self.sample(now);
        }
    }

    /// Returns whether too little work has been recorded to know the need.
    pub fn warming_up(&self, now: Time) -> bool {
        self.started.is_none_or(|t| now - t < WARM_UP)
    }

    /// Returns whether the work of a whole period of the demand was recorded.
    pub fn period_seen(&self, now: Time) -> bool {
        self.started.is_some_and(|t| now - t >= FULL_PERIOD)
    }

    /// Returns the average number of busy targets over the last second.
    pub fn fast(&self) -> PerRole<f64> {
        self.fast
    }

    /// Returns the number of targets that serve the present demand, bursts included.
    ///
    /// ```
    /// use lentil_core::{clock::Time, plan::{LoadMeter, PerRole}};
    ///
    /// let mut meter = LoadMeter::new(Time::ZERO);
    /// let busy = PerRole { prefill: 0.0, decode: 6.5 };
    /// (1..100).for_each(|i| meter.record(busy, Time::from_millis(i * 100)));
    /// assert_eq!(meter.need().decode, 19);
    /// ```
    pub fn need(&self) -> PerRole<u32> {
        let burst = |slow: f64| (slow * BURST_FACTOR / BURST_UTILIZATION).ceil() as u32;
        self.slow.map(burst).zip(self.peak(), u32::max)
    }

    /// Returns the number of targets that serve the work of the last second.
    pub fn peak(&self) -> PerRole<u32> {
        self.fast.map(|fast| (fast / PEAK_UTILIZATION).ceil() as u32)
    }

    /// Returns the largest need of the last [`HOLD`].
    pub fn held_need(&self) -> PerRole<u32> {
        let needs = self.samples.iter().map(|(_, [need, _])| *need);
        needs.fold(self.need(), |max, need| max.zip(need, u32::max))
    }

    /// Returns the largest [`Self::peak`] of the last [`HOLD`].
    pub fn held_peak(&self) -> PerRole<u32> {
        let peaks = self.samples.iter().map(|(_, [_, peak])| *peak);
        peaks.fold(self.peak(), |max, peak| max.zip(peak, u32::max))
    }

    /// Returns the number of targets below which the objectives suffer without any burst.
    pub fn least(&self) -> PerRole<u32> {
        self.slow.map(|slow| (slow * CYCLE_FACTOR / PEAK_UTILIZATION).ceil() as u32)
    }

    fn sample(&mut self, now: Time) {
        let latest = [self.need(), self.peak()];
        match self.samples.back_mut() {
            Some((at, last)) if now - *at < SAMPLE_INTERVAL => {
                *last = [0, 1].map(|i| last[i].zip(latest[i], u32::max));
            }
            _ => self.samples.push_back((now, latest)),
        }
        while self.samples.front().is_some_and(|(at, _)| now - *at > HOLD) {
            self.samples.pop_front();
        }
    }
}
