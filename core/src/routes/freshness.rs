use {crate::clock::Time, std::time::Duration};

/// Knowledge of how current the route table is.
///
/// The table is followed by long watches, which send nothing while nothing changes. Meanwhile each
/// other call that the store answers shows that the watch would have reported a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableFreshness {
    /// When the table was last known to be the current one.
    confirmed: Option<Time>,
    /// When the pending watch was begun.
    watching: Option<Time>,
}

impl TableFreshness {
    /// Records that a read or a watch begun at `began` has returned the current table.
    pub fn record_read(&mut self, began: Time) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// Records that a watch for changes begins.
    pub fn record_watch(&mut self, now: Time) {
        self.watching = Some(now);
    }

    /// Records that a read or a watch has failed.
    pub fn record_failure(&mut self) {
        self.watching = None;
    }

    /// Records that the store has answered another call, which was begun at `began`.
    pub fn record_contact(&mut self, began: Time) {
        if self.watching.is_some_and(|since| since <= began) {
            self.record_read(began);
        }
    }

    /// Returns the time since the table was known to be the current one; the longest possible one
    /// if it never was.
    ///
    /// ```
    /// use {lentil_core::{clock::Time, routes::TableFreshness}, std::time::Duration};
    ///
    /// let mut freshness = TableFreshness::default();
    /// freshness.record_read(Time::from_millis(100));
    /// assert_eq!(freshness.age(Time::from_millis(350)), Duration::from_millis(250));
    /// ```
    pub fn age(&self, now: Time) -> Duration {
        self.confirmed.map_or(Duration::MAX, |at| now - at)
    }
}
