use {
    crate::{clock::Time, ids::LeaseId},
    std::time::Duration,
};

/// A lease on a cell, as seen by the process that holds it.
///
/// The time to live is counted from before the grant or renewal was sent. The lease therefore
/// expires here before it expires in the store, as long as the clocks of the two drift apart by
/// less than `margin` within one `ttl`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Identifier of the lease in the store.
    pub id: LeaseId,
    /// When the grant or the latest successful renewal was sent.
    pub sent: Time,
    /// Time to live of the lease in the store.
    pub ttl: Duration,
    /// Margin for clock drift and for the delivery of an order.
    pub margin: Duration,
}

impl Lease {
    /// Returns whether the process certainly still holds the lease at `now`.
    ///
    /// ```
    /// use {lentil_core::{clock::Time, ids::LeaseId, order::Lease}, std::time::Duration};
    ///
    /// let lease = Lease {
    ///     id: LeaseId(1),
    ///     sent: Time::from_millis(0),
    ///     ttl: Duration::from_secs(6),
    ///     margin: Duration::from_secs(1),
    /// };
    /// assert!(lease.valid(Time::from_millis(4_999)));
    /// assert!(!lease.valid(Time::from_millis(5_000)));
    /// ```
    pub fn valid(&self, now: Time) -> bool {
        now < self.expires_at()
    }

    /// Returns the time from which the process must not rely on the lease.
    pub fn expires_at(&self) -> Time {
        self.sent + self.ttl.saturating_sub(self.margin)
    }

    /// Returns whether the lease should be renewed, because a third of its time to live has passed.
    pub fn renewal_due(&self, now: Time) -> bool {
        now >= self.sent + self.ttl / 3
    }

    /// Records a successful renewal that was sent at `sent`.
    pub fn record_renewal(&mut self, sent: Time) {
        self.sent = self.sent.max(sent);
    }
}
