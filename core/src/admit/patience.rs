use std::time::Duration;

/// How long a caller waits for its answer.
#[derive(Debug, Clone, Copy)]
pub struct CallerPatience {
    /// Time left until the deadline of the request, by which it must have its final answer.
    pub left: Duration,
    /// Longest time that the caller waits without receiving a part of the answer.
    pub idle_timeout: Duration,
}
