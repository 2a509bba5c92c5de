use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

/// Number of latest envelopes that are accepted out of order; one bit each in `received`.
const WINDOW_ENVELOPES: u64 = 64;

/// Replay window: detects envelopes of one sender that were received before or are too old.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayWindow {
    start: Incarnation,
    highest: u64,
    /// Bit `n` is set if envelope `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Records envelope `number` of the sender's incarnation `start`; returns true if it is new.
    ///
    /// Envelopes of incarnations before the latest are refused.
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
            *self = Self { start, highest: number, received: 1 };
            return true;
        }
        if number > self.highest {
            let shift = number - self.highest;
            self.received = if shift >= WINDOW_ENVELOPES { 0 } else { self.received << shift };
            self.received |= 1;
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        if age >= WINDOW_ENVELOPES || self.received & (1 << age) != 0 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}
