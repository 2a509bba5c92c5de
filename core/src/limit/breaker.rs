use {crate::clock::Time, std::time::Duration};

const TRIP_FAILURES: u32 = 3; // consecutive
const MIN_OPEN_TIME: Duration = Duration::from_millis(500);
const MAX_OPEN_TIME: Duration = Duration::from_secs(4);
/// Time after which a probe without a result no longer holds back the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Circuit breaker of one target. It opens after consecutive failures; once its wait has passed,
/// one request at a time goes through as a probe, and a probe that succeeds closes it.
///
/// A probe that never reports how it ended lapses after [`PROBE_TIMEOUT`].
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    open: Option<OpenState>,
}

#[derive(Debug, Clone)]
struct OpenState {
    /// When the breaker opened or its latest probe failed.
    failed: Time,
    wait: Duration,
    /// When the probe in flight was sent.
    probe: Option<Time>,
}

impl OpenState {
    fn new(now: Time) -> Self {
        Self { failed: now, wait: MIN_OPEN_TIME, probe: None }
    }

    /// Returns whether a probe may be sent at `now`, `wait` after the latest failure at the earliest.
    fn allows_after(&self, wait: Duration, now: Time) -> bool {
        now >= self.failed + wait && self.probe.is_none_or(|sent| now - sent >= PROBE_TIMEOUT)
    }

    /// Doubles the wait if a probe is in flight. Other failures are those of requests that were sent
    /// before the breaker opened; they fail together with those that opened it and say nothing new.
    fn record_failure(&mut self, now: Time) {
        if self.probe.take().is_some() {
            self.wait = (self.wait * 2).min(MAX_OPEN_TIME);
            self.failed = now;
        }
    }
}

impl Breaker {
    /// Returns whether a request may be sent to the target at `now`.
    pub fn allows(&self, now: Time) -> bool {
        self.open.as_ref().is_none_or(|o| o.allows_after(o.wait, now))
    }

    /// Like [`Self::allows`], but with the shortest wait, whatever number of probes has failed.
    ///
    /// For the time in which all targets of a service fail: they often fail for a common reason and
    /// return together, and there is none to which requests could go meanwhile.
    pub fn allows_early(&self, now: Time) -> bool {
        self.open.as_ref().is_none_or(|o| o.allows_after(MIN_OPEN_TIME, now))
    }

    /// Returns whether the breaker is open, so that at most a probe may be sent.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Records that a request is sent at `now`, which is the probe if the breaker is open.
    pub fn record_send(&mut self, now: Time) {
        if let Some(open) = &mut self.open {
            open.probe = Some(now);
        }
    }

    /// Records that the request passed to [`record_send`](Self::record_send) was not sent after all.
    pub fn cancel_send(&mut self) {
        if let Some(open) = &mut self.open {
            open.probe = None;
        }
    }

    /// Records an answer of the target, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure at `now`. It opens the breaker after enough consecutive failures, and
    /// doubles the wait of one whose probe is in flight.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        match &mut self.open {
            Some(open) => open.record_failure(now),
            None if self.failures >= TRIP_FAILURES => self.open = Some(OpenState::new(now)),
            None => {}
        }
    }

    /// Opens the breaker at once, for a target that is known to be down.
    pub fn trip(&mut self, now: Time) {
        self.failures = self.failures.max(TRIP_FAILURES - 1);
        self.record_failure(now);
    }
}
