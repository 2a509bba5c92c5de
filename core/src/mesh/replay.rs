use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

const WINDOW_ENVELOPES: u64 = 64; // envelopes that may arrive out of order

/// Recognises envelopes of one sender that were received before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayWindow {
    start: Incarnation,
    top: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Whether envelope `number` of the sender's incarnation `start` is new; notes it if so.
    ///
    /// ```
    /// use lentil_core::{ids::Incarnation, mesh::ReplayWindow};
    ///
    /// let mut window = ReplayWindow::default();
    /// assert!(window.accept(Incarnation(5), 2));
    /// assert!(window.accept(Incarnation(5), 1));
    /// assert!(!window.accept(Incarnation(5), 2));
    /// assert!(!window.accept(Incarnation(4), 9));
    /// ```
    pub fn accept(&mut self, start: Incarnation, number: u64) -> bool {
        if start < self.start {
            return false;
        }
        if start > self.start {
            *self = Self { start, top: number, seen: 1 };
            return true;
        }
        if number > self.top {
            let shift = number - self.top;
            self.seen = if shift >= WINDOW_ENVELOPES { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.top = number;
            return true;
        }
        let back = self.top - number;
        if back >= WINDOW_ENVELOPES || self.seen & (1 << back) != 0 {
            return false;
        }
        self.seen |= 1 << back;
        true
    }
}
