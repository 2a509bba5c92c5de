use {
    super::WorkspaceUsage,
    crate::{
        clock::Time,
        error::{ErrorKind, Fault},
        ids::WorkspaceId,
        manifest::ClassSpec,
        route::Pick,
    },
    std::time::Duration,
};

/// Queueing time, as a share of the class's time to first token, from which capacity counts as
/// contended and workspace shares are enforced.
const CONTENDED_WAIT_SHARE: f64 = 0.25;

/// Properties of a request on which its admission depends.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Workspace that sends the request.
    pub workspace: &'a WorkspaceId,
    /// Fair share of the workspace, relative to the shares of the others.
    pub share: f64,
    /// Latency targets of the request's class.
    pub class: &'a ClassSpec,
    /// Time since the request arrived.
    pub waited: Duration,
}

/// Decides whether a request is admitted if it runs on the engines of `pick`.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] if the request would miss its latency targets,
/// [`ErrorKind::OverShare`] if capacity is contended and the workspace has used more than its
/// share. Both carry the time after which to retry.
pub fn admit(
    request: &AdmissionRequest,
    pick: &Pick,
    usage: &WorkspaceUsage,
    now: Time,
) -> Result<(), Fault> {
    let first = request.class.first.duration();
    let first_late = (request.waited + pick.first_token).saturating_sub(first);
    let end_late = (request.waited + pick.end).saturating_sub(request.class.deadline.duration());
    let late = first_late.max(end_late);
    if !late.is_zero() {
        let text = format!("the answer would come {} ms too late", late.as_millis().max(1));
        return Err(Fault::new(ErrorKind::NoCapacity, text).with_min_retry(late));
    }
    let contended = pick.queue_wait > first.mul_f64(CONTENDED_WAIT_SHARE);
    if contended && usage.is_over_share(request.workspace, request.share, now) {
        let text = format!("workspace {:?} is over its share", request.workspace.as_str());
        return Err(Fault::new(ErrorKind::OverShare, text).with_min_retry(pick.first_token));
    }
    Ok(())
}
