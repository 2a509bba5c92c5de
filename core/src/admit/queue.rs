use {
    crate::{
        error::{ErrorKind, Fault},
        manifest::ClassSpec,
        route::Pick,
    },
    std::time::Duration,
};

/// Part of a class's time to the first answer that may pass in the queues of targets that serve in
/// order of arrival. Beyond it most requests would be late; refusing some keeps the others in time.
const QUEUED: f64 = 0.7;
/// Part of the time that a late request has left which may pass in the queue: others may still go
/// before it.
const LATE: f64 = 0.3;
/// Shortest time after which a refused caller is told to return.
const LEAST: Duration = Duration::from_millis(100);

/// Whether a request is expected to be answered within its class's objective.
pub fn in_time(class: &ClassSpec, pick: &Pick) -> bool {
    pick.first <= class.first.span()
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
    join(pick, class.first.span().mul_f64(QUEUED), left)
}

/// Decides whether a request that will be late joins a queue behind those that can be in time,
/// with `left` until its caller gives up. Answers the same load, on engines that serve by rank.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] with the time after which the queue has room.
pub fn join_late(class: &ClassSpec, pick: &Pick, left: Duration) -> Result<(), Fault> {
    join(pick, class.first.span().mul_f64(LATE), left)
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
    Err(Fault::new(ErrorKind::NoCapacity, text).retry_in(wait.max(LEAST)))
}
