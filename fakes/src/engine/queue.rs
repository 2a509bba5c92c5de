use {
    std::{
        cmp::Reverse,
        collections::BTreeSet,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// Position in the queue: the priority, then the order of arrival.
type Position = (Reverse<u8>, u64);

/// Queue of prompts that wait for prefill, by descending priority; one is prefilled at a time.
#[derive(Debug, Default)]
pub(super) struct PrefillQueue {
    state: Mutex<QueueState>,
    released: Notify,
}

#[derive(Debug, Default)]
struct QueueState {
    waiting: BTreeSet<Position>,
    next: u64,
    busy: bool,
    tokens: u64,
}

impl PrefillQueue {
    fn state(&self) -> std::sync::MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of queued tokens, including those of the prompt that is being prefilled.
    pub(super) fn tokens(&self) -> u64 {
        self.state().tokens
    }

    /// Waits for its turn, then prefills `tokens` for a duration of `work`.
    pub(super) async fn prefill(&self, tokens: u64, priority: u8, work: Duration) {
        let position = {
            let mut state = self.state();
            state.next += 1;
            let position = (Reverse(priority), state.next);
            state.waiting.insert(position);
            state.tokens += tokens;
            position
        };
        let mut entry = QueueEntry { queue: self, position, tokens, active: false };
        while !entry.try_start() {
            // Polls as well, since a notification between the check and the wait is missed.
            let released = self.released.notified();
            tokio::select! {
                () = released => {}
                () = sleep(Duration::from_millis(2)) => {}
            }
        }
        sleep(work).await;
    }
}

/// An entry in the queue, removed on drop, so also when its request is cancelled.
struct QueueEntry<'a> {
    queue: &'a PrefillQueue,
    position: Position,
    tokens: u64,
    active: bool,
}

impl QueueEntry<'_> {
    fn try_start(&mut self) -> bool {
        let mut state = self.queue.state();
        if state.busy || state.waiting.first() != Some(&self.position) {
            return false;
        }
        state.waiting.remove(&self.position);
        state.busy = true;
        self.active = true;
        true
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state();
        state.waiting.remove(&self.position);
        state.tokens -= self.tokens;
        if self.active {
            state.busy = false;
        }
        drop(state);
        self.queue.released.notify_waiters();
    }
}
