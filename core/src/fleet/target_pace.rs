use {crate::clock::Time, std::time::Duration};

/// Time constant of the decay of a pace: slow phases last about half a second, and one is on average
/// halfway through when it is seen.
const DECAY: Duration = Duration::from_millis(200);
/// Age from which a pace says nothing.
const MAX_AGE: Duration = Duration::from_millis(600);
/// Range of a pace that is used; what lies outside is counted as the nearest bound.
const RANGE: (f64, f64) = (0.2, 20.0);

/// How long work takes at a target at this moment, relative to its usual time, as its latest answer
/// announced it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetPace {
    announced: Option<(f64, Time)>,
}

impl TargetPace {
    /// Records an announced pace: 1 is normal, 2.5 means that work takes two and a half times as
    /// long. Older ones than the latest are ignored.
    ///
    /// ```
    /// # use lentil_core::{clock::Time, fleet::TargetPace};
    /// let mut pace = TargetPace::default();
    /// assert_eq!(pace.at(Time::ZERO), 1.0);
    /// pace.record(2.5, Time::ZERO);
    /// assert_eq!(pace.at(Time::ZERO), 2.5);
    /// assert!(pace.at(Time::from_millis(200)) < 1.6);
    /// assert_eq!(pace.at(Time::from_millis(700)), 1.0);
    /// ```
    pub fn record(&mut self, pace: f64, now: Time) {
        if pace.is_finite() && self.announced.is_none_or(|(_, at)| now >= at) {
            self.announced = Some((pace.clamp(RANGE.0, RANGE.1), now));
        }
    }

    /// Returns whether the target announces its pace.
    pub fn is_announced(&self) -> bool {
        self.announced.is_some()
    }

    /// Returns the pace expected at `now`; 1 if none is known.
    pub fn at(&self, now: Time) -> f64 {
        let Some((pace, at)) = self.announced else { return 1.0 };
        let age = now - at;
        if age >= MAX_AGE {
            return 1.0;
        }
        1.0 + (pace - 1.0) * (-age.as_secs_f64() / DECAY.as_secs_f64()).exp()
    }

    /// Returns the seconds by which work that usually takes `work` seconds takes longer from `now`
    /// on; negative if the target is fast. A long queue outlasts a slow phase, so it is delayed by
    /// at most a part of [`DECAY`].
    pub fn delay(&self, work: f64, now: Time) -> f64 {
        let pace = self.at(now);
        if pace == 1.0 {
            return 0.0;
        }
        let lasts = DECAY.as_secs_f64();
        (1.0 - 1.0 / pace) * lasts * (1.0 - (-work * pace / lasts).exp())
    }
}
