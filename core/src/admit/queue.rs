use {
    super::CallerPatience,
    crate::{
        error::{ErrorKind, Fault},
        ids::Tokens,
        manifest::ClassSpec,
        route::{Pick, RoutingRequest},
    },
    std::time::Duration,
};

/// Longest queueing time, as a share of the class's time to first token, on targets that serve in
/// order of arrival. With longer queues most requests would be late; refusing some keeps the
/// others in time.
const MAX_QUEUE_SHARE: f64 = 0.7;
/// The same for late requests. It is lower because an engine does not interrupt a prefill that it
/// has begun, so each late request delays others by its whole prompt.
const MAX_LATE_QUEUE_SHARE: f64 = 0.5;
/// Shortest retry delay sent with a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Chooses the engines for a proxied request with `choose` and decides whether it joins their
/// queues.
///
/// This limits the effect of bursts of long prompts. Engines prefill one prompt after the other, so
/// a request that will be late on any engine would make others late too. It is therefore demoted
/// to a rank behind the requests that can be in time, and it joins only short queues. `choose`
/// finds the best engines for the rank that the request has.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] with the time after which the queue is short enough, or the error of
/// `choose`.
pub fn choose_and_queue(
    request: &mut RoutingRequest,
    patience: CallerPatience,
    choose: impl Fn(&RoutingRequest) -> Result<Pick, Fault>,
) -> Result<Pick, Fault> {
    let pick = choose(request)?;
    let prefills = request.prompt > Tokens(0);
    if !prefills || pick.first_token <= request.class.first.duration() {
        return join_queue(&request.class, &pick, patience.left).map(|()| pick);
    }
    request.rank = request.rank.demoted();
    let pick = choose(request)?;
    join_late_queue(&request.class, &pick, patience.left.min(patience.idle_timeout)).map(|()| pick)
}

/// Decides whether a request joins the queue of its best target, where `left` is the time until
/// its deadline. This limits the effect of an overload of the targets that lasts for seconds.
///
/// The size of the request itself counts only if it makes an answer in time impossible: otherwise
/// large requests would never be admitted.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] with the time after which the queue is short enough.
pub fn join_queue(class: &ClassSpec, pick: &Pick, left: Duration) -> Result<(), Fault> {
    check_queue(pick, class.first.duration().mul_f64(MAX_QUEUE_SHARE), left)
}

/// Like [`join_queue`] for a late request, where `left` is the time until its caller gives up.
fn join_late_queue(class: &ClassSpec, pick: &Pick, left: Duration) -> Result<(), Fault> {
    check_queue(pick, class.first.duration().mul_f64(MAX_LATE_QUEUE_SHARE), left)
}

fn check_queue(pick: &Pick, max_wait: Duration, left: Duration) -> Result<(), Fault> {
    if pick.queue_wait > max_wait {
        let excess = pick.queue_wait - max_wait;
        return refuse(
            excess,
            format!("the wait for {} is {} ms", pick.wait, pick.queue_wait.as_millis()),
        );
    }
    if pick.first_token <= left {
        return Ok(());
    }
    let excess = pick.first_token - left;
    refuse(excess, format!("the answer would begin {} ms too late", excess.as_millis()))
}

fn refuse(retry: Duration, text: String) -> Result<(), Fault> {
    Err(Fault::new(ErrorKind::NoCapacity, text).with_retry(retry.max(MIN_RETRY_DELAY)))
}
