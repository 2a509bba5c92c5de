/// Highest number of unused retries that the budget accumulates.
const MAX_SAVED_RETRIES: f64 = 50.0;

/// Retry budget: allows retries as a share of first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget that grows by `share` retries for each first attempt. It starts full, with
    /// 50 retries.
    ///
    /// ```
    /// use lentil_core::limit::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.1);
    /// let initial = (0..100).filter(|_| budget.take()).count();
    /// assert_eq!(initial, 50);
    /// (0..20).for_each(|_| budget.record_request());
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 2);
    /// ```
    pub fn new(share: f64) -> Self {
        Self { share, saved: MAX_SAVED_RETRIES }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry if the budget allows it.
    pub fn take(&mut self) -> bool {
        // Allows for rounding: ten times a share of 0.1 add up to slightly less than 1.
        let allowed = self.saved > 1.0 - 1e-9;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
