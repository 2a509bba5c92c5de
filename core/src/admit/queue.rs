use {
    crate::{
        error::{ErrorKind, Fault},
        ids::Tokens,
        manifest::ClassSpec,
        route::{Pick, RoutingRequest},
    },
    std::time::Duration,
};

/// Part of a class's time to the first answer that may pass in the queues of targets that serve in
/// order of arrival. Beyond it most requests would be late; refusing some keeps the others in time.
const MAX_QUEUE_SHARE: f64 = 0.7;
/// The same for late requests: an engine does not put a prompt aside that it has begun to read, so
/// each of them delays others by a whole prompt.
const MAX_LATE_QUEUE_SHARE: f64 = 0.5;
/// Shortest time after which a refused caller is told to return.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a caller stays.
#[derive(Debug, Clone, Copy)]
pub struct CallerPatience {
    /// Time until the final answer must be given.
    pub left: Duration,
    /// Longest time without a piece of the answer.
    pub silence: Duration,
}

/// Chooses engines for a request that is passed on, and decides whether it joins their queues.
///
/// Answers gusts of long prompts: engines read one prompt after the other, so a request that will
/// be late however it is placed would make others late as well. It steps back behind those that
/// can be in time, and joins short queues only. `choose` finds the best engines for the
/// rank that the work has.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] with the time after which the queue has room, or what `choose` finds.
pub fn choose_and_queue(
    work: &mut RoutingRequest,
    stay: CallerPatience,
    choose: impl Fn(&RoutingRequest) -> Result<Pick, Fault>,
) -> Result<Pick, Fault> {
    let pick = choose(work)?;
    let reads = work.prompt > Tokens(0);
    if !reads || pick.first <= work.class.first.duration() {
        return join_queue(&work.class, &pick, stay.left).map(|()| pick);
    }
    work.rank = work.rank.demoted();
    let pick = choose(work)?;
    join_late(&work.class, &pick, stay.left.min(stay.silence)).map(|()| pick)
}

/// Decides whether a request joins the queue of its best target, with `left` until its final
/// answer must be given. Answers a load above what the targets can carry for seconds.
///
/// A request's own size does not count against it unless it can't be answered in time at all:
/// large requests would never be admitted otherwise.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] with the time after which the queue has room.
pub fn join_queue(class: &ClassSpec, pick: &Pick, left: Duration) -> Result<(), Fault> {
    join(pick, class.first.duration().mul_f64(MAX_QUEUE_SHARE), left)
}

/// The same for a request that will be late, with `left` until its caller gives up.
fn join_late(class: &ClassSpec, pick: &Pick, left: Duration) -> Result<(), Fault> {
    join(pick, class.first.duration().mul_f64(MAX_LATE_QUEUE_SHARE), left)
}

fn join(pick: &Pick, room: Duration, left: Duration) -> Result<(), Fault> {
    if pick.wait > room {
        let over = pick.wait - room;
        return refuse(over, format!("the queue is {} ms long", pick.wait.as_millis()));
    }
    if pick.first <= left {
        return Ok(());
    }
    let over = pick.first - left;
    refuse(over, format!("the answer would begin {} ms too late", over.as_millis()))
}

fn refuse(wait: Duration, text: String) -> Result<(), Fault> {
    Err(Fault::new(ErrorKind::NoCapacity, text).with_retry(wait.max(MIN_RETRY_DELAY)))
}
