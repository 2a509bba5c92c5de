use {
    crate::{clock::Time, ids::LeaseId},
    std::time::Duration,
};

/// This process's own view of a lease that it holds.
///
/// The lease is counted from before its grant or renewal was sent, so that it ends here before it
/// ends in the store, as long as the two clocks drift apart by less than `margin` over one `ttl`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The store's name for it.
    pub id: LeaseId,
    /// When the grant or the latest renewal that succeeded was sent.
    pub sent: Time,
    /// Its length in the store.
    pub ttl: Duration,
    /// Allowance for drift and for the way of an order.
    pub margin: Duration,
}

impl Lease {
    /// Whether authority is certain at `now`.
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

    /// When authority ends.
    pub fn expires_at(&self) -> Time {
        self.sent + self.ttl.saturating_sub(self.margin)
    }

    /// Whether it is time to renew: a third of the length has passed.
    pub fn renewal_due(&self, now: Time) -> bool {
        now >= self.sent + self.ttl / 3
    }

    /// Notes a renewal that was sent at `sent` and succeeded.
    pub fn renewed(&mut self, sent: Time) {
        self.sent = self.sent.max(sent);
    }
}
