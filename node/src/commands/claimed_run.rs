use {
    crate::app::{random_id, App},
    lentil_core::{
        claim::{ClaimEdit, ClaimKey, ClaimResult, ClaimStage, StoredAnswer},
        error::{ErrorKind, Fault, Outcome},
        ids::{CallerId, Fingerprint, RunId, ServiceId},
        mesh::MemberState,
        order::Holder,
    },
    std::sync::Arc,
};

/// A granted claim, which this instance must end with the result of its run.
pub(super) struct ClaimedRun {
    key: ClaimKey,
    run: RunId,
}

/// How a request with an idempotency key continues.
pub(super) enum ClaimStart {
    /// This instance runs it now.
    Granted(ClaimedRun),
    /// It ran before, with this answer.
    Answered(StoredAnswer),
}

/// Claims a caller's idempotency key before anything is sent to a target.
///
/// # Errors
/// [`ErrorKind::NoClaims`], [`ErrorKind::KeyReused`], [`ErrorKind::StillRunning`], or
/// [`ErrorKind::TargetLost`] if it is not known how an earlier run ended.
pub(super) async fn claim(
    app: &Arc<App>,
    caller: &CallerId,
    service: &ServiceId,
    key: &str,
    body: Fingerprint,
) -> Result<ClaimStart, Fault> {
    let key = ClaimKey::new(caller, service.as_str(), key);
    let run: RunId = random_id("c");
    let edit = ClaimEdit::Claim { body, by: app.identity.clone(), run: run.clone() };
    let result = app.claims.submit(key, edit).await;
    let (label, start) = match result {
        Err(fault) => ("refused", Err(fault)),
        Ok(ClaimResult::Granted) => ("granted", Ok(ClaimStart::Granted(ClaimedRun { key, run }))),
        Ok(ClaimResult::Answered(answer)) => ("answered", Ok(ClaimStart::Answered(answer))),
        Ok(ClaimResult::Taken(holder)) => ("taken", Err(running_fault(app, &holder))),
        Ok(ClaimResult::Unknown) => ("unknown", Err(unknown_fault())),
        Ok(ClaimResult::KeyReused) => {
            let text = "the idempotency key was already used with another request";
            ("reused", Err(Fault::new(ErrorKind::KeyReused, text)))
        }
        Ok(ClaimResult::Full) => {
            let text = "the store has no room for another claim";
            ("full", Err(Fault::new(ErrorKind::NoClaims, text)))
        }
    };
    app.metrics.claims.with_label_values(&[label]).inc();
    start
}

fn unknown_fault() -> Fault {
    let text = "a request with this idempotency key may have run; how it ended is not known";
    Fault::new(ErrorKind::TargetLost, text).with_outcome(Outcome::Unknown)
}

/// Returns the error for a key that another run has claimed.
fn running_fault(app: &App, holder: &Holder) -> Fault {
    if has_ended(app, holder) {
        return unknown_fault();
    }
    Fault::new(ErrorKind::StillRunning, "a request with this idempotency key is running")
}

/// Returns whether the process that holds a claim has ended, so that it can't end the claim.
fn has_ended(app: &App, holder: &Holder) -> bool {
    if holder.instance == app.identity.instance {
        return holder.start != app.identity.start;
    }
    let known = app.member_view().member(&holder.instance).map(|m| (m.info.start, m.state));
    match known {
        Some((start, state)) => start > holder.start || state > MemberState::Suspect,
        None => app.holders().gone.contains(&holder.instance),
    }
}

impl ClaimedRun {
    /// Records in the background how the run ended; retried while the store is unavailable.
    pub(super) fn record_end(self, app: &Arc<App>, stage: ClaimStage) {
        self.submit(app, |run| ClaimEdit::End { run, stage });
    }

    /// Releases the claim in the background, because nothing was run.
    pub(super) fn release(self, app: &Arc<App>) {
        self.submit(app, |run| ClaimEdit::Release { run });
    }

    fn submit(self, app: &Arc<App>, edit: impl FnOnce(RunId) -> ClaimEdit) {
        let (app, key, edit) = (app.clone(), self.key, edit(self.run));
        tokio::spawn(async move {
            if let Err(fault) = app.claims.submit(key, edit).await {
                log::warn!("claims: the end of a run could not be recorded: {fault}");
            }
        });
    }
}
