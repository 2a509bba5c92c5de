/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 50.0;

/// Allows retries as a share of fresh requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget of `share` retries for each fresh request, with a few to begin with.
    ///
    /// ```
    /// use lentil_core::limit::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.1);
    /// let begun = (0..100).filter(|_| budget.take()).count();
    /// assert_eq!(begun, 50);
    /// (0..20).for_each(|_| budget.record_request());
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 2);
    /// ```
    pub fn new(share: f64) -> Self {
        Self { share, saved: MAX_SAVED_RETRIES }
    }

    /// Notes a fresh request.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry if the budget allows it.
    pub fn take(&mut self) -> bool {
        // Sums of tenths fall short of whole numbers by rounding.
        let allowed = self.saved > 1.0 - 1e-9;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
