use {crate::clock::Time, std::time::Duration};

const TRIP_FAILURES: u32 = 3; // failures in a row
const MIN_OPEN_TIME: Duration = Duration::from_millis(500);
const MAX_OPEN_TIME: Duration = Duration::from_secs(16);

/// Keeps requests from a target that fails, and lets single probes find out when it is back.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    open: Option<Open>,
}

#[derive(Debug, Clone)]
struct Open {
    until: Time,
    wait: Duration,
    probe: bool,
}

impl Breaker {
    /// Whether a request may go to the target now.
    pub fn allows(&self, now: Time) -> bool {
        self.open.as_ref().is_none_or(|o| now >= o.until && !o.probe)
    }

    /// Notes that a request goes out; while the breaker is open, it is the probe.
    pub fn sent(&mut self) {
        if let Some(open) = &mut self.open {
            open.probe = true;
        }
    }

    /// Notes that the target answered.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes that the target failed at `now`.
    pub fn failed(&mut self, now: Time) {
        self.failures += 1;
        if let Some(open) = &mut self.open {
            open.wait = (open.wait * 2).min(MAX_OPEN_TIME);
            open.until = now + open.wait;
            open.probe = false;
        } else if self.failures >= TRIP_FAILURES {
            self.open =
                Some(Open { until: now + MIN_OPEN_TIME, wait: MIN_OPEN_TIME, probe: false });
        }
    }

    /// Opens at once: the target is known to be down.
    pub fn trip(&mut self, now: Time) {
        self.failures = self.failures.max(TRIP_FAILURES);
        if self.open.is_none() {
            self.open =
                Some(Open { until: now + MIN_OPEN_TIME, wait: MIN_OPEN_TIME, probe: false });
        }
    }
}
