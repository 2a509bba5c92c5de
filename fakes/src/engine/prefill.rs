use {
    std::{
        cmp::Reverse,
        collections::BTreeSet,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

type Ticket = (Reverse<u8>, u64);

/// Prompts that wait for prefill, the greatest priority first.
#[derive(Debug, Default)]
pub(super) struct PrefillQueue {
    state: Mutex<State>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    waiting: BTreeSet<Ticket>,
    next: u64,
    busy: bool,
    tokens: u64,
}

impl PrefillQueue {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tokens that wait, those in work included.
    pub(super) fn tokens(&self) -> u64 {
        self.state().tokens
    }

    /// Prefills `tokens`, which takes `work`, when its turn has come.
    pub(super) async fn run(&self, tokens: u64, priority: u8, work: Duration) {
        let ticket = {
            let mut state = self.state();
            state.next += 1;
            let ticket = (Reverse(priority), state.next);
            state.waiting.insert(ticket);
            state.tokens += tokens;
            ticket
        };
        let mut place = Place { queue: self, ticket, tokens, working: false };
        while !place.begin() {
            // Looks again at times: a notice that comes between look and wait is missed.
            let freed = self.freed.notified();
            tokio::select! {
                () = freed => {}
                () = sleep(Duration::from_millis(2)) => {}
            }
        }
        sleep(work).await;
    }
}

/// A place in the queue, given back also when its request is dropped.
struct Place<'a> {
    queue: &'a PrefillQueue,
    ticket: Ticket,
    tokens: u64,
    working: bool,
}

impl Place<'_> {
    fn begin(&mut self) -> bool {
        let mut state = self.queue.state();
        if state.busy || state.waiting.first() != Some(&self.ticket) {
            return false;
        }
        state.waiting.remove(&self.ticket);
        state.busy = true;
        self.working = true;
        true
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state();
        state.waiting.remove(&self.ticket);
        state.tokens -= self.tokens;
        if self.working {
            state.busy = false;
        }
        drop(state);
        self.queue.freed.notify_waiters();
    }
}
