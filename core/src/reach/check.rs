/// Result of a check whether this instance reaches the targets of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReachCheck {
    /// Targets that were asked for a report.
    pub asked: usize,
    /// Targets that answered.
    pub answered: usize,
    /// Most targets that any other instance reaches; zero if none reaches the service.
    pub others: usize,
    /// Whether other instances were asked, and none of them answered.
    pub alone: bool,
}

impl ReachCheck {
    /// Returns whether no target answers, while others reach the service. If nobody reaches it, the
    /// targets themselves are down.
    ///
    /// ```
    /// use lentil_core::reach::ReachCheck;
    ///
    /// let check = ReachCheck { asked: 9, answered: 0, others: 8, alone: false };
    /// assert!(check.is_cut_off());
    /// assert!(!ReachCheck { others: 0, ..check }.is_cut_off());
    /// assert!(!ReachCheck { answered: 1, ..check }.is_cut_off());
    /// ```
    pub fn is_cut_off(&self) -> bool {
        self.asked > 0 && self.answered == 0 && self.others > 0
    }

    /// Returns whether no target answers, and no other instance reaches one.
    pub fn is_outage(&self) -> bool {
        self.asked > 0 && self.answered == 0 && self.others == 0
    }

    /// Returns whether enough targets answer to send them all requests again: half of those that were
    /// asked, or that others reach. Fewer would get the load of all.
    pub fn is_back(&self) -> bool {
        let expected = match self.others {
            0 => 1,
            others => others.min(self.asked),
        };
        self.answered > 0 && 2 * self.answered >= expected
    }
}
