/// Bytes that may be held for the bodies of requests, part of which only small bodies may use.
#[derive(Debug, Clone, Copy)]
pub struct BodyBudget {
    capacity: usize,
    /// Part for small bodies only.
    reserved: usize,
    used: usize,
}

/// Largest body that may use the reserved part.
pub const SMALL_BODY: usize = 32 << 10;

impl BodyBudget {
    /// Creates a budget of `capacity` bytes, `reserved` of them for small bodies.
    pub fn new(capacity: usize, reserved: usize) -> Self {
        Self { capacity, reserved, used: 0 }
    }

    /// Takes `more` bytes for a body that holds `held`; returns whether there was room.
    ///
    /// ```
    /// use lentil_core::intake::BodyBudget;
    ///
    /// let mut budget = BodyBudget::new(1 << 20, 100_000);
    /// assert!(budget.take(0, 900_000));
    /// // The rest is for small bodies.
    /// assert!(!budget.take(0, 100_000));
    /// assert!(budget.take(0, 10_000));
    /// budget.give_back(900_000);
    /// assert!(budget.take(0, 100_000));
    /// ```
    pub fn take(&mut self, held: usize, more: usize) -> bool {
        let fits = self.fits(held, more);
        if fits {
            self.used += more;
        }
        fits
    }

    /// Returns whether there is room for `more` bytes for a body that holds `held`.
    pub fn fits(&self, held: usize, more: usize) -> bool {
        let reserved = if held + more <= SMALL_BODY { 0 } else { self.reserved };
        self.used + more + reserved <= self.capacity
    }

    /// Returns whether a new body of `bytes` fits once others have given back `freed`.
    pub fn fits_after(&self, freed: usize, bytes: usize) -> bool {
        Self { used: self.used.saturating_sub(freed), ..*self }.fits(0, bytes)
    }

    /// Returns `bytes` to the budget.
    pub fn give_back(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns all bytes of the budget.
    pub fn capacity(&self) -> usize {
        self.capacity
    }
}
