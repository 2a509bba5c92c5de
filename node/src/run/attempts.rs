//! Makes one attempt after another until a request is answered or given up.

use {
    super::{
        attempt::{Attempt, AttemptEnd},
        engine_choice::{EngineChoice, MigratedRun},
        piece::MAX_QUEUED_PIECES,
        send::MAX_DENIALS,
        task::Task,
        Pieces, RunRequest,
    },
    crate::{app::App, ports::Target},
    lentil_core::{
        error::{ErrorKind, Fault},
        gate::Denial,
    },
    smallvec::SmallVec,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Delay before engines are chosen again when none was available.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum attempts for one request; migrations don't count.
const MAX_ATTEMPTS: u32 = 6;

/// Starts a task that runs the request, and returns the pieces of its answer as they arrive.
pub fn start(app: Arc<App>, request: RunRequest) -> Pieces {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    tokio::spawn(Task::new(app, request, sender).run());
    Pieces::new(receiver)
}

impl Task {
    async fn run(mut self) {
        let Ok(_permit) = self.app.run_permits.clone().try_acquire_owned() else {
            let fault = Fault::new(ErrorKind::NoCapacity, "too many requests are in progress");
            return self.fail(fault).await;
        };
        self.count_request();
        if let Err(fault) = self.bind_resumed_stream().await {
            return self.fail(fault).await;
        }
        let (mut attempts, mut denials) = (0, 0);
        let mut migration = None;
        loop {
            let (choice, migrated) = match migration.take() {
                Some((choice, migrated)) => (choice, Some(migrated)),
                None => match self.choose_checked(attempts).await {
                    Ok(choice) => (choice, None),
                    Err(fault) if self.may_wait(&fault, attempts) => {
                        sleep(NO_TARGET_RETRY_DELAY).await;
                        continue;
                    }
                    Err(fault) => return self.fail(fault).await,
                },
            };
            let migrates = migrated.is_some();
            attempts += u32::from(!migrates);
            let ended = self.attempt(choice, migrated).await;
            self.release_isolated();
            match ended {
                AttemptEnd::Completed => return self.finish(),
                AttemptEnd::CallerGone => return self.caller_left(),
                AttemptEnd::Migrated(choice, migrated) => migration = Some((*choice, migrated)),
                AttemptEnd::Denied(denial) => {
                    attempts -= u32::from(!migrates);
                    denials += 1;
                    if denials >= MAX_DENIALS || matches!(denial, Denial::Refuse(_)) {
                        let fault = denial.into_fault(self.app.now());
                        return self.fail(fault).await;
                    }
                }
                AttemptEnd::Failed(fault) => {
                    let quarantined = fault.kind == ErrorKind::Quarantined;
                    if quarantined || attempts >= MAX_ATTEMPTS || !self.may_retry(&fault) {
                        return self.fail(fault).await;
                    }
                    self.app.metrics.retries.inc();
                    self.await_crash_reports().await;
                }
            }
        }
    }

    /// Chooses targets once it is known whether the service is reached.
    async fn choose_checked(&mut self, attempts: u32) -> Result<EngineChoice, Fault> {
        self.check_version_left()?;
        self.await_reach_check().await;
        self.take_trial().await;
        self.choose(attempts)
    }

    /// Makes one attempt. For a proxied request it ends at the deadline or when the caller
    /// disconnects.
    async fn attempt(&mut self, choice: EngineChoice, migrated: Option<MigratedRun>) -> AttemptEnd {
        let Some(deadline) = self.request.proxied.as_ref().map(|r| r.deadline) else {
            return Attempt::new(self, choice, migrated).run().await;
        };
        let targets: SmallVec<[Target; 2]> =
            [Some(choice.decode.clone()), choice.prefill.clone()].into_iter().flatten().collect();
        let remaining = deadline - self.app.now();
        let sender = self.sender.clone();
        let relays = choice.decode.instance().is_some();
        let lost_by_cut = self.lost_by_cut();
        let ended = tokio::select! {
            biased;
            () = sender.closed() => None,
            () = lost_by_cut, if !relays => {
                let text = "the instance was cut off from the service";
                Some(Ok(AttemptEnd::Failed(Fault::new(ErrorKind::TargetLost, text))))
            }
            ended = timeout(remaining, Attempt::new(self, choice, migrated).run()) => Some(ended),
        };
        if matches!(ended, Some(Err(_))) {
            self.record_missed_deadline();
        }
        if !matches!(ended, Some(Ok(_))) {
            self.investigate_abandoned();
            // Nothing more is heard of the attempt, which may have been the probe of a breaker.
            targets.iter().for_each(|target| self.cancel_send(target));
        }
        match ended {
            None => AttemptEnd::CallerGone,
            Some(Ok(ended)) => ended,
            Some(Err(_)) => {
                let text = "no target answered in time";
                AttemptEnd::Failed(Fault::new(ErrorKind::TargetTimeout, text))
            }
        }
    }
}
