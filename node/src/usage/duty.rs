use {
    super::holder::{HeldDuty, Lost},
    crate::{
        app::{App, Phase},
        control::HeldCell,
        ports::{PlatformApi, StoreError},
    },
    lentil_core::{clock::Time, ids::CellId, limit::Backoff},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Number of instances that try to acquire the duty: those that rank first for it.
pub(super) const CANDIDATES: usize = 2;
/// Time to live of the lease. It is shorter than that of the engines' cells, so that a successor can
/// send a report within its deadline if the holder dies right before it would have sent it.
const LEASE: Duration = Duration::from_secs(3);
/// Part of the lease on which the holder does not rely. Together with the quiet time of a successor
/// it separates the calls of the two by four seconds.
const MARGIN: Duration = Duration::from_secs(1);
/// Silence of the holder after which the first candidate tries to acquire the duty. The holder
/// renews every second what lasts for three, so the lease can't have expired earlier.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Further silence after which the next candidate tries.
const RANK_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between two attempts while the holder's lease is about to expire.
const SHORT_INTERVAL: Duration = Duration::from_millis(500);
/// Attempts at that interval; after these, a holder lives that this instance does not hear.
const SHORT_ATTEMPTS: u32 = 6;
/// Interval at which the state is checked; this makes no calls.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which an instance that gave the duty up does not try to acquire it.
const ABSTAIN_TIME: Duration = Duration::from_secs(10);
/// First pause after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause after failed calls to the store.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Candidate for the duty.
struct Candidate {
    cell: CellId,
    /// Attempts since the holder was last heard that found a holder.
    attempts: u32,
    next_attempt: Time,
    backoff: Backoff,
    store_failing: bool,
}

/// Holds the duty whenever this instance is to, until it stops.
pub(super) async fn hold_duty(app: &Arc<App>, api: Arc<dyn PlatformApi>) {
    let Some((cell, timing)) = app.usage().map(|u| (u.cell.clone(), u.timing)) else { return };
    let mut candidate = Candidate {
        cell,
        attempts: 0,
        next_attempt: Time::ZERO,
        backoff: Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
        store_failing: false,
    };
    while *app.phase.borrow() == Phase::Serving {
        if let Some(held) = candidate.try_acquire(app).await {
            app.metrics.usage_holder.set(1);
            let lost = HeldDuty::new(app, held, api.clone(), timing).run().await;
            app.metrics.usage_holder.set(0);
            // After an outage of the store, any candidate may acquire the duty at once.
            if lost != Lost::Lease {
                candidate.next_attempt = app.now() + ABSTAIN_TIME;
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

impl Candidate {
    async fn try_acquire(&mut self, app: &Arc<App>) -> Option<HeldCell> {
        let now = app.now();
        let rank = app.member_view().rank_for(self.cell.as_str(), &app.settings.region);
        // An instance that sees less than half of the others would report a part of the counts.
        let connected = app.member_view().held_share(now).is_some();
        let heard = app.usage().and_then(|u| u.heard);
        if let Some(heard) = heard {
            let silence = SILENCE + RANK_DELAY * rank as u32;
            if now - heard < silence {
                self.attempts = 0;
                return None;
            }
        }
        if rank >= CANDIDATES || !connected || now < self.next_attempt {
            return None;
        }
        match HeldCell::acquire_for(app, &self.cell, LEASE, MARGIN).await {
            Ok(held) => {
                self.log_store_state(None);
                self.attempts += 1;
                let interval = match self.attempts < SHORT_ATTEMPTS {
                    true => SHORT_INTERVAL,
                    false => LEASE * part_of_fleet(app, now),
                };
                self.next_attempt = app.now() + interval;
                held
            }
            Err(error) => {
                self.log_store_state(Some(&error));
                self.next_attempt = app.now() + self.backoff.record_failure(rand::random());
                None
            }
        }
    }

    /// Logs when the store starts to fail and when it works again, instead of each failure.
    fn log_store_state(&mut self, error: Option<&StoreError>) {
        match error {
            Some(error) if !self.store_failing => log::warn!("usage: duty not acquired: {error}"),
            None if self.store_failing => log::info!("usage: the store is available again"),
            _ => {}
        }
        self.store_failing = error.is_some();
        if error.is_none() {
            self.backoff.record_success();
        }
    }
}

/// Returns how many views of the size of this instance's make up the fleet. In a large fleet about as
/// many instances rank first by their own views.
fn part_of_fleet(app: &App, now: Time) -> u32 {
    let view = app.member_view();
    let known = view.live().count() as u32 + 1;
    view.fleet_size(now).unwrap_or(known).div_ceil(known).max(1)
}
