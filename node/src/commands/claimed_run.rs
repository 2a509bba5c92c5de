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

/// A claim that this instance holds.
pub(super) struct ClaimedRun {
    key: ClaimKey,
    run: RunId,
}

/// What became of a request with an idempotency key.
pub(super) enum ClaimStart {
    /// It is to be run here, now.
    Granted(ClaimedRun),
    /// It ran before.
    Answered(StoredAnswer),
}

/// Claims a caller's key before anything is sent.
///
/// # Errors
/// [`ErrorKind::NoClaims`], [`ErrorKind::KeyReused`], [`ErrorKind::StillRunning`], or
/// [`ErrorKind::TargetLost`] if an earlier run's end is not known.
pub(super) async fn claim(
    app: &Arc<App>,
    caller: &CallerId,
    service: &ServiceId,
    key: &str,
    body: Fingerprint,
) -> Result<ClaimStart, Fault> {
    let key = ClaimKey::new(caller, service.as_str(), key);
    let run: RunId = random_id("c");
    let edit = ClaimEdit::Claim { body, by: app.me.clone(), run: run.clone() };
    let verdict = app.claims.submit(key, edit).await;
    let (end, start) = match verdict {
        Err(fault) => ("refused", Err(fault)),
        Ok(ClaimResult::Granted) => ("granted", Ok(ClaimStart::Granted(ClaimedRun { key, run }))),
        Ok(ClaimResult::Answered(answer)) => ("answered", Ok(ClaimStart::Answered(answer))),
        Ok(ClaimResult::Taken(holder)) => ("taken", Err(taken(app, &holder))),
        Ok(ClaimResult::Unknown) => ("unknown", Err(unknown())),
        Ok(ClaimResult::KeyReused) => {
            let text = "the idempotency key was used with another request";
            ("reused", Err(Fault::new(ErrorKind::KeyReused, text)))
        }
        Ok(ClaimResult::Full) => {
            let text = "too many claims are kept already";
            ("full", Err(Fault::new(ErrorKind::NoClaims, text)))
        }
    };
    app.metrics.claims.with_label_values(&[end]).inc();
    start
}

fn unknown() -> Fault {
    let text = "a request with this idempotency key may have run; how it ended is not known";
    Fault::new(ErrorKind::TargetLost, text).with_outcome(Outcome::Unknown)
}

fn taken(app: &App, holder: &Holder) -> Fault {
    if is_gone(app, holder) {
        return unknown();
    }
    Fault::new(ErrorKind::StillRunning, "a request with this idempotency key is running")
}

/// Whether the process that holds a claim can't end it any more.
fn is_gone(app: &App, holder: &Holder) -> bool {
    if holder.instance == app.me.instance {
        return holder.start != app.me.start;
    }
    let seen = app.view().member(&holder.instance).map(|m| (m.info.start, m.state));
    match seen {
        Some((start, state)) => start > holder.start || state > MemberState::Suspect,
        None => app.holders().gone.contains(&holder.instance),
    }
}

impl ClaimedRun {
    /// Records how the run ended, as soon as the store allows.
    pub(super) fn record_end(self, app: &Arc<App>, stage: ClaimStage) {
        self.submit(app, |run| ClaimEdit::End { run, stage });
    }

    /// Gives the claim back: nothing was run.
    pub(super) fn release(self, app: &Arc<App>) {
        self.submit(app, |run| ClaimEdit::Release { run });
    }

    fn submit(self, app: &Arc<App>, edit: impl FnOnce(RunId) -> ClaimEdit) {
        let (app, key, edit) = (app.clone(), self.key, edit(self.run));
        tokio::spawn(async move {
            if let Err(fault) = app.claims.submit(key, edit).await {
                log::warn!("claims: end of a run was not recorded: {fault}");
            }
        });
    }
}
