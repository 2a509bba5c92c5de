use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// What goes wrong with the key-value service.
#[derive(Debug, Clone, Default)]
pub struct KvFaults {
    /// It refuses every call.
    pub down: bool,
    /// It answers later than it should.
    pub slow: Duration,
    /// Of so many writes to come, the answer is lost after they took effect.
    pub lose: u32,
    /// Every n-th write loses its answer after it took effect; 0 for none.
    pub lose_every: u64,
    /// Calls served in a second at most; 0 for no limit.
    pub rate: u32,
}

/// A fault table that may be changed at any time.
#[derive(Debug, Default)]
pub struct Faults<T>(Mutex<T>);

impl<T: Clone> Faults<T> {
    /// The faults now.
    pub fn get(&self) -> T {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the faults.
    pub fn set<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
