use {
    crate::{
        error::{ErrorKind, Fault},
        manifest::ClassSpec,
        route::Pick,
    },
    std::time::Duration,
};

/// Part of a class's time to the first answer that may pass in the targets' queues. Beyond it most
/// requests would be late; refusing some keeps the others in time.
const QUEUED: f64 = 0.7;
/// Shortest time after which a refused caller is told to return.
const LEAST: Duration = Duration::from_millis(100);

/// Decides whether a request joins the queue of its best target, with `left` until its final
/// answer must be given. Answers a load above what the targets can carry for seconds.
///
/// A request's own size does not count against it unless it can't be answered in time at all:
/// large requests would never be admitted otherwise.
///
/// # Errors
/// [`ErrorKind::NoCapacity`] with the time after which the queue has room.
pub fn join_queue(class: &ClassSpec, pick: &Pick, left: Duration) -> Result<(), Fault> {
    let refused = |wait: Duration, text: String| {
        Err(Fault::new(ErrorKind::NoCapacity, text).retry_in(wait.max(LEAST)))
    };
    let room = class.first.span().mul_f64(QUEUED);
    if pick.wait > room {
        let over = pick.wait - room;
        return refused(over, format!("the queue is {} ms long", pick.wait.as_millis()));
    }
    if pick.first > left {
        let over = pick.first - left;
        return refused(over, format!("the answer would begin {} ms too late", over.as_millis()));
    }
    Ok(())
}
