use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Faults injected into the key-value service.
#[derive(Debug, Clone, Default)]
pub struct KvFaults {
    /// Whether all calls are refused.
    pub down: bool,
    /// Delay before each call is processed.
    pub delay: Duration,
    /// Number of next writes whose response is lost after the write took effect.
    pub lose_next: u32,
    /// Every n-th write loses its response after it took effect; 0 for none.
    pub lose_every: u64,
    /// Largest number of calls served per second; 0 for no limit.
    pub call_rate: u32,
}

/// Faults of a fake, which a test can change while the fake runs.
#[derive(Debug, Default)]
pub struct InjectedFaults<T>(Mutex<T>);

impl<T: Clone> InjectedFaults<T> {
    /// Returns a copy of the current faults.
    pub fn get(&self) -> T {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the faults in place, and returns the result of `change`.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
