use {
    super::{Caller, CompletionRequest, Reply, StreamReply},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Outcome of a request with all its retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response, with its text.
    Complete(String),
    /// Refused with an error code, without having run.
    NotRun(String),
    /// Refused or failed with an error code, and may have run.
    Unknown(String),
    /// No complete response in time, with the last error.
    Incomplete(String),
}

/// The platform's load balancer, which chooses an instance for each attempt.
pub trait Balancer: Send + Sync {
    /// Returns the address of the instance for the next attempt.
    fn pick(&self) -> SocketAddr;
}

impl Balancer for Vec<SocketAddr> {
    fn pick(&self) -> SocketAddr {
        self[rand::random::<usize>() % self.len()]
    }
}

/// The outcome of a refusal, by its `lentil-outcome` header.
fn refusal(reply: &Reply) -> CallOutcome {
    let code = reply.field("/error/code");
    match reply.header("lentil-outcome") {
        "not-run" => CallOutcome::NotRun(code),
        _ => CallOutcome::Unknown(code),
    }
}

impl Caller {
    /// Streams a completion until its end or the timeout, and resumes it at another instance
    /// when a connection fails.
    pub async fn stream_with_retries(
        &self,
        balancer: &dyn Balancer,
        request: &CompletionRequest,
        timeout: Duration,
    ) -> CallOutcome {
        let end = Instant::now() + timeout;
        let mut text = String::new();
        let mut last = String::new();
        while Instant::now() < end {
            let at = balancer.pick();
            let reply = match last.rsplit_once(':') {
                None => self.stream_completion(at, request).await,
                Some((stream, _)) => self.resume_stream(at, stream, &last).await,
            };
            let mut events = match reply {
                Ok(StreamReply::Events(events)) => events,
                Ok(StreamReply::Refused(reply)) if reply.status == 503 => {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                Ok(StreamReply::Refused(reply)) => return refusal(&reply),
                Err(_) => {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            while let Some(event) = events.next().await {
                if event.name == "error" {
                    return CallOutcome::Incomplete(event.data);
                }
                if event.is_done() {
                    return CallOutcome::Complete(text);
                }
                text.push_str(&event.text());
                last.clone_from(&event.id);
            }
        }
        CallOutcome::Incomplete("the timeout expired".into())
    }

    /// Sends a request with an idempotency key, and retries it until its outcome is known or the
    /// timeout expires.
    pub async fn post_with_retries(
        &self,
        balancer: &dyn Balancer,
        path: &str,
        key: &str,
        body: &str,
        timeout: Duration,
    ) -> CallOutcome {
        let end = Instant::now() + timeout;
        let mut outcome = CallOutcome::Incomplete("no attempt was made".into());
        while Instant::now() < end {
            match self.post_keyed(balancer.pick(), path, key, body).await {
                Ok(reply) if reply.status == 200 => return CallOutcome::Complete(reply.body),
                Ok(reply) => {
                    outcome = refusal(&reply);
                    let retryable = [409, 429, 503].contains(&reply.status);
                    if !retryable {
                        return outcome;
                    }
                }
                Err(error) => outcome = CallOutcome::Incomplete(error.to_string()),
            }
            sleep(RETRY_DELAY).await;
        }
        outcome
    }
}
