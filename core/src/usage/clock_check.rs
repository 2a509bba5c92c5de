use {
    crate::{clock::Time, ids::InstanceId},
    std::{collections::HashMap, time::Duration},
};

/// Age at which an instance's time no longer counts.
const SAMPLE_EXPIRY: Duration = Duration::from_secs(10);
/// Fewest clocks, this instance's included, of which the median is taken: of two, either may be
/// the wrong one.
const MIN_CLOCKS: usize = 3;
/// Deviation from the median up to which a clock is left as it is. It includes the delay of the
/// message, which may be tens of milliseconds at an instance with little processor time.
const TOLERATED_MS: i64 = 200;

/// Comparison of the instances' estimates of true time, made by the holder of the duty.
#[derive(Debug, Default)]
pub struct ClockCheck {
    /// Each instance's estimate minus the own one at its arrival, in milliseconds.
    deviations: HashMap<InstanceId, (i64, Time)>,
}

impl ClockCheck {
    /// Records how far an instance's estimate is ahead of the own one.
    pub fn record(&mut self, instance: &InstanceId, deviation: i64, now: Time) {
        self.deviations.insert(instance.clone(), (deviation, now));
    }

    /// Returns the correction of the own estimate, if it deviates from the median of all, and
    /// applies it to the recorded deviations.
    pub fn own_correction(&mut self, now: Time) -> Option<i64> {
        let median = self.median(now)?;
        if median.abs() <= TOLERATED_MS {
            return None;
        }
        self.deviations.values_mut().for_each(|(deviation, _)| *deviation -= median);
        Some(median)
    }

    /// Returns whether an instance's estimate deviates so much that it should be corrected.
    pub fn is_wrong(&mut self, instance: &InstanceId, now: Time) -> bool {
        let Some(median) = self.median(now) else { return false };
        let deviation = self.deviations.get(instance);
        deviation.is_some_and(|(deviation, _)| (deviation - median).abs() > TOLERATED_MS)
    }

    fn median(&mut self, now: Time) -> Option<i64> {
        self.deviations.retain(|_, (_, at)| now - *at < SAMPLE_EXPIRY);
        let mut sorted: Vec<i64> = self.deviations.values().map(|(d, _)| *d).collect();
        sorted.push(0);
        sorted.sort_unstable();
        (sorted.len() >= MIN_CLOCKS).then(|| sorted[(sorted.len() - 1) / 2])
    }
}
