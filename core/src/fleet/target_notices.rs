use {
    crate::{
        clock::Time,
        ids::{EngineId, Incarnation},
    },
    std::{collections::HashMap, time::Duration},
};

/// Time within which the directory tells of a process that answers already. A time that was asked for
/// may come from such a process, and binds its later entry for so long at most.
const REGISTRATION_DELAY: Duration = Duration::from_secs(5);

/// Most targets whose notices are kept; beyond it the oldest is forgotten.
const MAX_NOTICES: usize = 16_384;

/// What targets said of themselves in their answers to this instance: that they are leaving, or want
/// no requests for a time.
///
/// A notice binds this instance on its own. It outlasts the target's entry in the directory, and that the
/// target is leaving ends only with a later incarnation: neither an answer without it, nor an older
/// entry, nor the late answer of an earlier process lifts it.
#[derive(Debug, Clone, Default)]
pub struct TargetNotices {
    notices: HashMap<EngineId, Notice>,
}

/// Notices of one incarnation of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// Incarnation that gave them; zero if it is not known.
    pub boot: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Until when it wants no requests.
    pub held: Time,
    /// When it gave the latest notice.
    given: Time,
}

impl Notice {
    /// Returns what it says of a process that is registered as a later incarnation.
    fn for_later(&self, boot: Incarnation) -> Self {
        let held = self.held.min(self.given + REGISTRATION_DELAY);
        Self { boot, leaving: false, held, given: self.given }
    }
}

impl TargetNotices {
    /// Returns the notices that bind a process that is registered as this incarnation.
    ///
    /// ```
    /// use lentil_core::{clock::Time, fleet::TargetNotices, ids::Incarnation};
    ///
    /// let id = "r1".parse()?;
    /// let mut notices = TargetNotices::default();
    /// notices.record_leaving(&id, Incarnation(2), Time::ZERO);
    /// assert!(notices.of(&id, Incarnation(2)).is_some_and(|n| n.leaving));
    /// assert!(notices.of(&id, Incarnation(1)).is_some(), "an older entry");
    /// assert!(notices.of(&id, Incarnation(3)).is_some_and(|n| !n.leaving), "started again");
    /// # Ok::<(), lentil_core::ids::NameError>(())
    /// ```
    pub fn of(&self, id: &EngineId, boot: Incarnation) -> Option<Notice> {
        let notice = self.notices.get(id)?;
        Some(if boot <= notice.boot { *notice } else { notice.for_later(boot) })
    }

    /// Records that the target is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, id: &EngineId, boot: Incarnation, now: Time) -> bool {
        let Some(notice) = self.notice(id, boot, now) else { return false };
        !std::mem::replace(&mut notice.leaving, true)
    }

    /// Records that the target wants no requests until `until`; returns whether that is later than
    /// what was known.
    pub fn record_hold(
        &mut self,
        id: &EngineId,
        boot: Incarnation,
        until: Time,
        now: Time,
    ) -> bool {
        let Some(notice) = self.notice(id, boot, now) else { return false };
        let later = until > notice.held;
        notice.held = notice.held.max(until);
        later
    }

    /// Returns the notice to change, or `None` if a later incarnation has given one.
    fn notice(&mut self, id: &EngineId, boot: Incarnation, now: Time) -> Option<&mut Notice> {
        if !self.notices.contains_key(id) && self.notices.len() >= MAX_NOTICES {
            self.forget_oldest();
        }
        let fresh = Notice { boot, leaving: false, held: Time::ZERO, given: now };
        let notice = self.notices.entry(id.clone()).or_insert(fresh);
        if boot < notice.boot {
            return None;
        }
        if boot > notice.boot {
            *notice = notice.for_later(boot);
        }
        notice.given = now;
        Some(notice)
    }

    fn forget_oldest(&mut self) {
        let oldest = self.notices.iter().min_by_key(|(_, n)| n.given).map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.notices.remove(&id);
        }
    }
}
