use {
    super::{AbandonReason, WatchVerdict},
    crate::{clock::Time, ids::Revision},
    std::time::Duration,
};

/// Longest time without a sign that the table is the current one, after which a pending watch counts
/// as dead.
pub const MAX_UNCONFIRMED: Duration = Duration::from_millis(2_500);
/// Time in which a working watch reports a change after another instance has reported it.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// The table of another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerTable {
    /// Its version.
    pub version: Revision,
    /// Time since it was known there to be the current one; `None` if it never was.
    pub age: Option<Duration>,
}

/// A newer version at another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Announced {
    version: Revision,
    since: Time,
}

/// Knowledge of how current the route table is.
///
/// Only reads and watches that have returned, and other instances' answers, count. A pending watch
/// shows nothing: the store may answer all other calls, and its connection return nothing further.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableFreshness {
    /// When the table was last known to be the current one.
    confirmed: Option<Time>,
    /// Newest version at another instance that no read has looked for.
    announced: Option<Announced>,
    /// Newest version for which a read has looked. This build may refuse that version.
    sought: Revision,
}

impl TableFreshness {
    /// Records that at `at` the table was the current one. A read or a watch that begins after that
    /// shows it.
    pub fn record_current(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records that a read or a watch begun at `began` has returned the current table.
    pub fn record_read(&mut self, began: Time) {
        self.record_current(began);
        if let Some(announced) = self.announced.take_if(|a| a.since <= began) {
            self.sought = announced.version;
        }
    }

    /// Records the table of another instance, which `asked` for it. `own` is the version of the own
    /// table. Without `asked` the message may have been delayed for any time, and confirms nothing.
    pub fn record_peer(&mut self, own: Revision, peer: PeerTable, asked: Option<Time>, now: Time) {
        if let (true, Some(asked), Some(age)) = (peer.version == own, asked, peer.age) {
            self.record_current(asked.earlier(age));
        }
        self.announced = self.announced.filter(|a| a.version > own);
        let since = self.announced.map_or(now, |a| a.since);
        let known = self.announced.map_or(self.sought.max(own), |a| a.version);
        if peer.version > known {
            self.announced = Some(Announced { version: peer.version, since });
        }
    }

    /// Decides about a watch that began at `began` and has not returned. `own` is the version of the
    /// table in force.
    ///
    /// ```
    /// use lentil_core::{clock::Time, ids::Revision, routes::*};
    ///
    /// let (mut freshness, own) = (TableFreshness::default(), Revision(4));
    /// let [began, now] = [100, 300].map(Time::from_millis);
    /// let verdict = freshness.judge_watch(own, began, now);
    /// assert_eq!(verdict, WatchVerdict::KeepUntil(began + MAX_UNCONFIRMED));
    /// freshness.record_peer(own, PeerTable { version: Revision(5), age: None }, None, now);
    /// let verdict = freshness.judge_watch(own, began, Time::from_millis(500));
    /// assert_eq!(verdict, WatchVerdict::Abandon(AbandonReason::Outdated(Revision(5))));
    /// ```
    pub fn judge_watch(&self, own: Revision, began: Time, now: Time) -> WatchVerdict {
        let expiry = self.confirmed.max(Some(began)).unwrap_or(began) + MAX_UNCONFIRMED;
        if now >= expiry {
            return WatchVerdict::Abandon(AbandonReason::Unconfirmed(self.age(now)));
        }
        let Some(announced) = self.announced.filter(|a| a.version > own) else {
            return WatchVerdict::KeepUntil(expiry);
        };
        let due = announced.since + REPORT_DELAY;
        match now >= due {
            true => WatchVerdict::Abandon(AbandonReason::Outdated(announced.version)),
            false => WatchVerdict::KeepUntil(due.min(expiry)),
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
