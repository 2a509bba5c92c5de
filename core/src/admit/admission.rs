use {
    super::Shares,
    crate::{
        clock::Time,
        error::{ErrorKind, Fault},
        ids::WorkspaceId,
        manifest::ClassSpec,
        route::Pick,
    },
    std::time::Duration,
};

/// Part of a class's time to the first token that may pass in queues before shares are enforced.
const CONTENDED_WAIT_SHARE: f64 = 0.25;

/// Who asks and how much.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The workspace.
    pub workspace: &'a WorkspaceId,
    /// Its share.
    pub share: f64,
    /// Targets of the request's class.
    pub class: &'a ClassSpec,
    /// Time that has passed since the request arrived.
    pub waited: Duration,
}

/// Decides whether a request is taken on when its best engines are `pick`.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] if it can't be answered in time, [`ErrorKind::OverShare`] if
/// capacity is contended and the workspace has had more than its share; both say when to return.
pub fn admit(ask: &AdmissionRequest, pick: &Pick, shares: &Shares, now: Time) -> Result<(), Fault> {
    let first = ask.class.first.duration();
    let late = (ask.waited + pick.first).saturating_sub(first);
    let after_end = (ask.waited + pick.end).saturating_sub(ask.class.deadline.duration());
    let wait = late.max(after_end);
    if !wait.is_zero() {
        let text = format!("the answer would come {} ms too late", wait.as_millis().max(1));
        return Err(Fault::new(ErrorKind::NoCapacity, text).with_min_retry(wait));
    }
    let contended = pick.wait > first.mul_f64(CONTENDED_WAIT_SHARE);
    if contended && shares.is_over_share(ask.workspace, ask.share, now) {
        let text = format!("workspace {:?} is over its share", ask.workspace.as_str());
        return Err(Fault::new(ErrorKind::OverShare, text).with_min_retry(pick.first));
    }
    Ok(())
}
