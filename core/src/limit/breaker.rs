use {crate::clock::Time, std::time::Duration};

const TRIP_FAILURES: u32 = 3; // consecutive
const MIN_OPEN_TIME: Duration = Duration::from_millis(500);
const MAX_OPEN_TIME: Duration = Duration::from_secs(16);

/// Circuit breaker of one target. It opens after consecutive failures; once its wait has passed,
/// one request at a time goes through as a probe, and a probe that succeeds closes it.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    open: Option<OpenState>,
}

#[derive(Debug, Clone)]
struct OpenState {
    until: Time,
    wait: Duration,
    /// Whether a probe is in flight.
    probing: bool,
}

impl OpenState {
    fn new(now: Time) -> Self {
        Self { until: now + MIN_OPEN_TIME, wait: MIN_OPEN_TIME, probing: false }
    }
}

impl Breaker {
    /// Returns whether a request may be sent to the target at `now`.
    pub fn allows(&self, now: Time) -> bool {
        self.open.as_ref().is_none_or(|o| now >= o.until && !o.probing)
    }

    /// Returns whether the breaker is open, so that at most a probe may be sent.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Records that a request is sent, which is the probe if the breaker is open.
    pub fn record_send(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = true;
        }
    }

    /// Records that the request passed to [`record_send`](Self::record_send) was not sent after all.
    pub fn cancel_send(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = false;
        }
    }

    /// Records an answer of the target, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure at `now`. It opens the breaker after enough consecutive failures, and
    /// doubles the wait of one whose probe is in flight. Requests that were sent before it opened fail
    /// together with those that opened it, which says nothing new.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        if let Some(open) = &mut self.open {
            if !open.probing {
                return;
            }
            open.wait = (open.wait * 2).min(MAX_OPEN_TIME);
            open.until = now + open.wait;
            open.probing = false;
        } else if self.failures >= TRIP_FAILURES {
            self.open = Some(OpenState::new(now));
        }
    }

    /// Opens the breaker at once, for a target that is known to be down.
    pub fn trip(&mut self, now: Time) {
        self.failures = self.failures.max(TRIP_FAILURES);
        if self.open.is_none() {
            self.open = Some(OpenState::new(now));
        }
    }
}
